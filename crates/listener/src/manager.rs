//! The connections of one listener: accepted, limited in number, and closed gracefully when the node stops.

use crate::connection::ClientConnection;
use crate::eviction::{CLOSE_GRACE, evict_connection};
use crate::lifecycle::{ACCEPT_PERIOD, LAST_REQUEST_PERIOD, SharedLifecycle};
use sillward_lifecycle::Event;
use sillward_logging::{log, log_peer};
use sillward_runtime::Stream;
use sillward_runtime::net::{TcpListener, TcpStream};
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::{Instant, sleep, timeout};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long a connection must have been idle to be closed while the node drains: a new one is about to send a request.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// How often the timeouts of connections are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The protocol spoken on a connection.
pub trait ConnectionHandler: 'static {
    /// Serves a client until its connection ends. If the future is dropped, the connection closes at once.
    fn serve(
        self: Rc<Self>,
        stream: Stream,
        connection: Rc<ClientConnection>,
    ) -> impl Future<Output = ()>;
}

/// Which processes accept from a listening socket.
#[derive(Clone, Copy, PartialEq)]
pub enum ListenerOwnership {
    /// This one alone: connections that wait in its queue when it closes are reset.
    Exclusive,
    /// Also the one that replaces it: connections that wait in the queue are left to that one.
    Shared,
}

/// What becomes of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterRequest {
    /// It waits for the client's next request.
    KeepAlive,
    /// It ends.
    Close,
}

/// A connection's key, in the order of acceptance.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionId(u64);

/// Accepts the connections of one listener, and owns their number, their timeouts and their end.
pub struct ConnectionManager {
    lifecycle: Rc<SharedLifecycle>,
    last_id: Cell<ConnectionId>,
    /// The longest time that a request may take, as it is when it is called.
    longest_deadline: Box<dyn Fn() -> Duration>,
    connections: RefCell<BTreeMap<ConnectionId, Rc<ClientConnection>>>,
    max_connections: Cell<usize>,
    /// A connection that was accepted and waits for capacity. It outlives a cancelled accept, since it may carry a
    /// request already.
    pending: RefCell<Option<TcpStream>>,
    /// Notified when a connection has ended or become idle, and when the limit has changed.
    capacity_changed: Notify,
}

impl ConnectionManager {
    /// A manager of at most `max_connections`, whose requests have their response within `longest_deadline`.
    pub fn new(
        lifecycle: Rc<SharedLifecycle>,
        max_connections: usize,
        longest_deadline: impl Fn() -> Duration + 'static,
    ) -> Rc<Self> {
        Rc::new(ConnectionManager {
            lifecycle,
            last_id: Cell::new(ConnectionId(0)),
            longest_deadline: Box::new(longest_deadline),
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

    /// Changes the limit. Connections that are open stay open.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        self.capacity_changed.notify_one();
    }

    /// What becomes of connections after their next response: they end if the node is out of service or shutting down.
    pub fn after_request(&self) -> AfterRequest {
        if self.lifecycle.is_draining() {
            AfterRequest::Close
        } else {
            AfterRequest::KeepAlive
        }
    }

    /// To be called when a connection has no open request any more.
    pub fn request_finished(&self, connection: &ClientConnection, after_request: AfterRequest) {
        match after_request {
            AfterRequest::KeepAlive => connection.become_idle(),
            AfterRequest::Close => connection.become_closing(),
        }
        if self.is_full() {
            self.capacity_changed.notify_one(); // a pending connection may replace this one
        }
    }

    /// Serves clients until `shutdown`, then shuts down gracefully: new connections are accepted for a while, requests get
    /// their responses, and the connections are closed. Returns when all have ended, or when the longest deadline has passed.
    pub async fn run<H: ConnectionHandler>(
        self: Rc<Self>,
        handler: Rc<H>,
        listener: TcpListener,
        ownership: ListenerOwnership,
        shutdown: impl Future<Output = ()>,
    ) {
        spawn_local(self.clone().check_timeouts());
        // A cancelled accept loses nothing: what it accepted is in `pending`.
        tokio::select! {
            biased;
            () = shutdown => {}
            () = self.accept_connections(&handler, &listener) => {}
        }
        log("told to stop: not ready any more, finishing open requests");
        self.lifecycle.handle(Event::ShutDown);
        self.serve_pending(&handler);
        match ownership {
            ListenerOwnership::Exclusive => {
                self.drain_accept_queue(&handler, &listener).await;
                drop(listener);
            }
            ListenerOwnership::Shared => {
                drop(listener);
                // Clients keep using their connections, and learn from the next response that it is the last.
                sleep(ACCEPT_PERIOD).await;
            }
        }
        sleep(LAST_REQUEST_PERIOD).await;
        self.close_all().await;
    }

    /// Accepts what the platform still sends, and then what waits in the queue: a connection in the queue may carry a request
    /// already, and closing the listener would reset it.
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

    /// Requests the close of all connections, and waits for their end. Every request has its response by its deadline; a
    /// client that is connected after that has sent part of a request at most.
    async fn close_all(&self) {
        self.connections
            .borrow()
            .values()
            .for_each(|connection| connection.request_close());
        let all_ended = async {
            while self.connection_count() > 0 {
                self.capacity_changed.notified().await;
            }
        };
        let longest_deadline = (self.longest_deadline)();
        if timeout(longest_deadline, all_ended).await.is_err() {
            log("a client did not end its connection in time");
        }
    }

    /// Enforces the timeouts of connections, for as long as the process runs.
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

    /// Closes idle connections while the node drains, but none on which a request has begun to come.
    fn close_idle(&self, now: Instant) {
        for connection in self.connections.borrow().values() {
            let idle = connection
                .idle_since()
                .is_some_and(|since| now > since.instant() + DRAINING_IDLE_TIMEOUT);
            if idle && connection.is_quiet() {
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
            Err(e) => {
                // The process is out of descriptors, or the client has left already: neither is a reason to end.
                log_peer(format_args!("cannot accept: {e}"));
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
            // Once terminated, the handler's future is dropped, and the connection with it.
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
