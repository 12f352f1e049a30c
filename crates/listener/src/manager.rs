//! Accepts the connections of one listener, limits their number, and closes them gracefully when the node stops.

use crate::connection::ClientConnection;
use crate::eviction::{CLOSE_GRACE, evict_connection};
use crate::lifecycle::{ACCEPT_PERIOD, LAST_REQUEST_PERIOD, SharedLifecycle};
use sillward_lifecycle::ShutdownSchedule;
use sillward_logging::{log, log_peer};
use sillward_runtime::Stream;
use sillward_runtime::net::{TcpListener, TcpStream};
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::{Instant, sleep, timeout, timeout_at};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long a connection must have been idle to be closed while the node is draining: a client that has just
/// connected is about to send a request.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval between checks of the timeouts of connections.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The protocol spoken on a connection.
pub trait ConnectionHandler: 'static {
    /// Serves a client until its connection ends. Dropping the future closes the connection immediately.
    fn serve(
        self: Rc<Self>,
        stream: Stream,
        connection: Rc<ClientConnection>,
    ) -> impl Future<Output = ()>;
}

/// Which processes accept from a listening socket.
#[derive(Clone, Copy, PartialEq)]
pub enum ListenerOwnership {
    /// Only this process. Connections in the accept queue are reset when the socket closes.
    Exclusive,
    /// Also the process that replaces it in a hot restart, which accepts the connections left in the accept queue.
    Shared,
}

/// What happens to a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterRequest {
    /// The connection waits for the client's next request.
    KeepAlive,
    /// The connection is closed.
    Close,
}

/// Identifies a connection. The IDs are in the order of acceptance.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionId(u64);

/// Accepts the connections of one listener, and enforces their limit, their timeouts and their close.
pub struct ConnectionManager {
    lifecycle: Rc<SharedLifecycle>,
    last_id: Cell<ConnectionId>,
    /// Returns the longest time that a request is meant to take under the current settings.
    max_request_duration: Box<dyn Fn() -> Duration>,
    connections: RefCell<BTreeMap<ConnectionId, Rc<ClientConnection>>>,
    max_connections: Cell<usize>,
    /// An accepted connection that waits for capacity. It is kept when the accept loop is cancelled, since it may already
    /// carry a request.
    pending: RefCell<Option<TcpStream>>,
    /// Notified when a connection has ended or become idle, and when the limit has changed.
    capacity_changed: Notify,
}

impl ConnectionManager {
    /// Creates a manager of at most `max_connections` connections. No request is meant to take longer than
    /// `max_request_duration`.
    pub fn new(
        lifecycle: Rc<SharedLifecycle>,
        max_connections: usize,
        max_request_duration: impl Fn() -> Duration + 'static,
    ) -> Rc<Self> {
        Rc::new(ConnectionManager {
            lifecycle,
            last_id: Cell::new(ConnectionId(0)),
            max_request_duration: Box::new(max_request_duration),
            connections: RefCell::default(),
            max_connections: Cell::new(max_connections),
            pending: RefCell::default(),
            capacity_changed: Notify::new(),
        })
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Changes the connection limit. Open connections stay open.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        self.capacity_changed.notify_one();
    }

    /// What happens to a connection after its next response: it is closed if the node is out of service or shutting down.
    pub fn after_request(&self) -> AfterRequest {
        if self.lifecycle.is_draining() {
            AfterRequest::Close
        } else {
            AfterRequest::KeepAlive
        }
    }

    /// Must be called when a connection no longer has an open request.
    pub fn request_finished(&self, connection: &ClientConnection, after_request: AfterRequest) {
        match after_request {
            AfterRequest::KeepAlive => connection.mark_idle(),
            AfterRequest::Close => connection.mark_closing(),
        }
        if self.is_full() {
            self.capacity_changed.notify_one(); // a pending connection may replace this one
        }
    }

    /// Serves clients until `shutdown` completes, then shuts down gracefully: accepts new connections for a limited time,
    /// lets requests get their responses, and closes the connections. Returns when all connections have ended, or at the end
    /// of the shutdown's schedule.
    pub async fn run<H: ConnectionHandler>(
        self: Rc<Self>,
        handler: Rc<H>,
        listener: TcpListener,
        ownership: ListenerOwnership,
        shutdown: impl Future<Output = ()>,
    ) {
        spawn_local(self.clone().check_timeouts());
        // Cancelling the accept loop loses no connection: one that was accepted but not served is in `pending`.
        tokio::select! {
            biased;
            () = shutdown => {}
            () = self.accept_connections(&handler, &listener) => {}
        }
        log("told to stop: no longer ready, finishing open requests");
        let schedule = self.lifecycle.shut_down((self.max_request_duration)());
        self.serve_pending(&handler);
        match ownership {
            ListenerOwnership::Exclusive => {
                self.drain_accept_queue(&handler, &listener).await;
                drop(listener);
            }
            ListenerOwnership::Shared => {
                drop(listener);
                // Clients keep using their connections until a response tells them that the connection closes.
                sleep(ACCEPT_PERIOD).await;
            }
        }
        sleep(LAST_REQUEST_PERIOD).await;
        self.close_all(schedule).await;
    }

    /// Accepts the connections that the platform still sends, and then those in the accept queue. A queued connection may
    /// already carry a request, and closing the listener would reset it.
    async fn drain_accept_queue<H: ConnectionHandler>(
        self: &Rc<Self>,
        handler: &Rc<H>,
        listener: &TcpListener,
    ) {
        let _ = timeout(ACCEPT_PERIOD, self.accept_connections(handler, listener)).await;
        self.serve_pending(handler);
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.serve(handler, stream);
        }
    }

    /// Requests the close of all connections and waits until they have ended.
    ///
    /// Every request that was accepted has a response, or the start of one, by the end of the schedule. A response that has
    /// begun has no deadline: the process waits until its client has it, or until client or backend make no progress. All
    /// other clients have sent no more than part of a request, and are disconnected.
    async fn close_all(&self, schedule: ShutdownSchedule) {
        self.connections
            .borrow()
            .values()
            .for_each(|connection| connection.request_close());
        let all_ended = async {
            while self.connection_count() > 0 {
                self.capacity_changed.notified().await;
            }
        };
        let exits_by = self.lifecycle.instant(schedule.exits_by());
        let mut all_ended = std::pin::pin!(all_ended);
        if timeout_at(exits_by, all_ended.as_mut()).await.is_err() {
            self.disconnect_unless_responding();
            all_ended.await;
        }
    }

    /// Ends all connections except those whose clients are being given a response, and those when they have it.
    fn disconnect_unless_responding(&self) {
        let connections = self.connections.borrow();
        let mut responding = 0;
        for connection in connections.values() {
            if connection.is_responding() {
                responding += 1;
                connection.request_finish();
            } else {
                connection.terminate();
            }
        }
        log(format_args!(
            "{} client connections were still open at the end of the graceful shutdown's schedule; \
             {responding} of them are being given a response, and the process exits after it",
            connections.len()
        ));
    }

    /// Enforces the timeouts of connections for as long as the process runs.
    async fn check_timeouts(self: Rc<Self>) {
        loop {
            sleep(TIMEOUT_CHECK_INTERVAL).await;
            let now = Instant::now();
            self.connections
                .borrow()
                .values()
                .for_each(|connection| connection.enforce_timeouts(now));
            if self.lifecycle.may_close_idle() {
                self.close_idle(now);
            }
        }
    }

    /// Closes idle connections while the node is draining, except those that have received part of a request.
    fn close_idle(&self, now: Instant) {
        for connection in self.connections.borrow().values() {
            let idle = connection
                .idle_since()
                .is_some_and(|since| now > since.instant() + DRAINING_IDLE_TIMEOUT);
            if idle && connection.read_would_block() {
                connection.close();
            }
        }
    }

    /// Accepts and serves connections. Never returns.
    async fn accept_connections<H: ConnectionHandler>(
        self: &Rc<Self>,
        handler: &Rc<H>,
        listener: &TcpListener,
    ) {
        loop {
            if self.pending.borrow().is_none() {
                self.accept_one(listener).await;
            }
            while self.pending.borrow().is_some() && self.is_full() {
                self.evict_connection();
                let _ = timeout(CLOSE_GRACE, self.capacity_changed.notified()).await;
            }
            self.serve_pending(handler);
        }
    }

    async fn accept_one(&self, listener: &TcpListener) {
        match listener.accept().await {
            Ok((stream, _)) => {
                self.pending.replace(Some(stream));
            }
            Err(error) => {
                // The process has no file descriptors left, or the client has already disconnected. Neither is fatal.
                log_peer(format_args!("cannot accept a client connection: {error}"));
                self.evict_connection();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    fn is_full(&self) -> bool {
        self.connection_count() >= self.max_connections.get()
    }

    fn evict_connection(&self) {
        evict_connection(
            self.connections.borrow().values(),
            self.max_connections.get(),
        );
    }

    fn serve_pending<H: ConnectionHandler>(self: &Rc<Self>, handler: &Rc<H>) {
        let pending = self.pending.borrow_mut().take();
        if let Some(stream) = pending {
            self.serve(handler, stream);
        }
    }

    fn serve<H: ConnectionHandler>(self: &Rc<Self>, handler: &Rc<H>, stream: TcpStream) {
        let (stream, socket) = Stream::new(stream);
        let connection = ClientConnection::new(socket);
        let id = self.next_id();
        self.connections.borrow_mut().insert(id, connection.clone());
        let manager = self.clone();
        let handler = handler.clone();
        spawn_local(async move {
            // Termination drops the handler's future, which closes the connection.
            tokio::select! {
                biased;
                () = handler.serve(stream, connection.clone()) => {}
                () = connection.terminated() => {}
            }
            manager.connections.borrow_mut().remove(&id);
            manager.capacity_changed.notify_one();
        });
    }

    fn next_id(&self) -> ConnectionId {
        let ConnectionId(last) = self.last_id.get();
        let id = ConnectionId(last + 1);
        self.last_id.set(id);
        id
    }
}
