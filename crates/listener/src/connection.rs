//! The state, timeouts and close of one client connection.

use sillward_logging::log_peer;
use sillward_runtime::time::{Instant, timeout_at};
use sillward_runtime::{Stream, StreamHandle};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long a client may take to send a request's head, or the whole request if the protocol reads requests completely. The
/// time starts when the connection is accepted, or with the first byte of a later request. The platform allows clients 2 s;
/// the margin is small because a silent client occupies a connection for this time.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2050);
/// How long a closing connection without an open request may stay open.
pub const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of bytes that are read and discarded on a connection before it is closed.
pub const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// How long a client may acknowledge no byte of a response before its connection is terminated.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a connection without an open request is kept open for the next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 2048;

/// The state of a connection. The methods of [`ClientConnection`] make the transitions.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionState {
    /// Accepted, and no request was read yet.
    AwaitingFirstRequest,
    /// Between two requests.
    Idle { since: Instant },
    /// A request's head, or the whole request, was read, and its response has not ended.
    RequestOpen,
    /// Its close was requested while it was idle, or its last response has ended.
    Closing { since: Instant },
}

/// A timeout that has expired.
enum ExpiredTimeout {
    Write,
    RequestHead,
    Idle,
    Linger,
}

/// Since when a connection has been idle. The order is the order of eviction: connections that never sent a request come
/// first, so that silent clients do not displace active ones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum IdleSince {
    Accept(Instant),
    LastRequest(Instant),
}

impl IdleSince {
    pub(crate) fn instant(self) -> Instant {
        match self {
            IdleSince::Accept(since) | IdleSince::LastRequest(since) => since,
        }
    }
}

/// A client connection, shared by its protocol handler and the manager that accepted it.
pub struct ClientConnection {
    socket: StreamHandle,
    accepted: Instant,
    state: Cell<ConnectionState>,
    /// Whether the client has been given the start of a response to the open request.
    response_started: Cell<bool>,
    /// Asks the handler to close the connection after its open request, if any.
    close_requested: Notify,
    /// Asks the handler to end the connection once the responses that it has begun are written.
    finish_requested: Notify,
    /// Ends the connection immediately.
    terminated: Notify,
}

impl ClientConnection {
    /// Creates the state of a connection that was just accepted.
    pub(crate) fn new(socket: StreamHandle) -> Rc<Self> {
        Rc::new(ClientConnection {
            socket,
            accepted: Instant::now(),
            state: Cell::new(ConnectionState::AwaitingFirstRequest),
            response_started: Cell::default(),
            close_requested: Notify::new(),
            finish_requested: Notify::new(),
            terminated: Notify::new(),
        })
    }

    /// Must be called when a request's head, or the whole request, was read.
    pub fn request_opened(&self) {
        self.state.set(ConnectionState::RequestOpen);
    }

    /// Must be called when the start of a response is given to the client while its request is still open.
    pub fn response_started(&self) {
        self.response_started.set(true);
    }

    /// Whether the client is being given a response: one whose request is open until its last byte, or one of which bytes are
    /// still unwritten. Such a response has no deadline. It ends when the client has it, or when client or backend make no
    /// progress.
    pub(crate) fn is_responding(&self) -> bool {
        let started = self.has_open_request() && self.response_started.get();
        started || self.is_write_blocked()
    }

    /// Marks the connection as waiting for the next request. Called when its open request has ended.
    pub(crate) fn mark_idle(&self) {
        self.response_started.set(false);
        self.socket.reset_first_received();
        self.state.set(ConnectionState::Idle {
            since: Instant::now(),
        });
    }

    /// Marks the connection as closing. Called when its last request has ended.
    pub(crate) fn mark_closing(&self) {
        self.response_started.set(false);
        self.socket.reset_first_received();
        self.set_closing();
    }

    /// Whether a request is open.
    pub fn has_open_request(&self) -> bool {
        self.state.get() == ConnectionState::RequestOpen
    }

    /// The number of bytes that have arrived and were not read.
    pub fn unread_bytes(&self) -> usize {
        let unread = self.socket.unread_bytes().unwrap_or_default();
        usize::try_from(unread).unwrap_or(usize::MAX)
    }

    /// Whether the connection is open and has no unread bytes.
    pub fn read_would_block(&self) -> bool {
        self.socket.read_would_block()
    }

    /// Whether the client is still connected, as far as can be determined without reading. A client that has shut down its
    /// sending side counts as disconnected.
    fn is_connected(&self) -> bool {
        !self.socket.has_peer_closed()
    }

    /// Returns a function that checks whether the client is still connected, for callers that do not handle connections.
    pub fn connected_check(self: &Rc<Self>) -> Rc<dyn Fn() -> bool> {
        let connection = self.clone();
        Rc::new(move || connection.is_connected())
    }

    /// Since when the connection has been idle; `None` if a request is open or partly received, or if response bytes are
    /// still unwritten.
    pub(crate) fn idle_since(&self) -> Option<IdleSince> {
        let idle_since = match self.state.get() {
            ConnectionState::AwaitingFirstRequest => IdleSince::Accept(self.accepted),
            ConnectionState::Idle { since } => IdleSince::LastRequest(since),
            ConnectionState::RequestOpen | ConnectionState::Closing { .. } => return None,
        };
        let unused = self.socket.first_received_at().is_none() && !self.socket.is_write_blocked();
        unused.then_some(idle_since)
    }

    /// Since when the connection has been closing; `None` if it is not.
    pub(crate) fn closing_since(&self) -> Option<Instant> {
        match self.state.get() {
            ConnectionState::Closing { since } => Some(since),
            _ => None,
        }
    }

    /// Whether writes are blocked because the client does not read.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.socket.is_write_blocked()
    }

    /// Closes or terminates the connection if a timeout has expired.
    pub(crate) fn enforce_timeouts(&self, now: Instant) {
        match self.expired_timeout(now) {
            None => {}
            Some(ExpiredTimeout::Write | ExpiredTimeout::Linger) => self.terminate(),
            Some(ExpiredTimeout::RequestHead) => {
                log_peer("closed a client connection: timed out waiting for a request head");
                self.terminate();
            }
            Some(ExpiredTimeout::Idle) => self.close(),
        }
    }

    fn expired_timeout(&self, now: Instant) -> Option<ExpiredTimeout> {
        let stalled = self.socket.write_stalled_since();
        if stalled.is_some_and(|since| now > since + WRITE_TIMEOUT) {
            return Some(ExpiredTimeout::Write);
        }
        match self.state.get() {
            ConnectionState::RequestOpen => None,
            // A response with unwritten bytes is not truncated here: the write timeout applies to it.
            ConnectionState::Closing { since } => (now > since + LINGER_TIMEOUT
                && stalled.is_none())
            .then_some(ExpiredTimeout::Linger),
            ConnectionState::AwaitingFirstRequest => {
                self.expired_between_requests(now, Some(self.accepted), self.accepted)
            }
            ConnectionState::Idle { since } => {
                self.expired_between_requests(now, self.socket.first_received_at(), since)
            }
        }
    }

    /// The timeout that has expired on a connection that is idle, or that received the first byte of a request's head at
    /// `head_started_at`.
    fn expired_between_requests(
        &self,
        now: Instant,
        head_started_at: Option<Instant>,
        idle_since: Instant,
    ) -> Option<ExpiredTimeout> {
        let head_overdue =
            head_started_at.is_some_and(|started_at| now > started_at + READ_TIMEOUT);
        if head_overdue {
            // Unread bytes may be the rest of the head, which the node reads late because it was delayed itself.
            return self
                .read_would_block()
                .then_some(ExpiredTimeout::RequestHead);
        }
        (now > idle_since + IDLE_TIMEOUT).then_some(ExpiredTimeout::Idle)
    }

    /// Starts to close a connection, which must have no open request. The handler closes it as soon as it can.
    pub(crate) fn close(&self) {
        self.set_closing();
        self.request_close();
    }

    /// Asks the handler to close the connection once its open request, if any, has its response.
    pub(crate) fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Waits for a request to close the connection. Returns once per request.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Asks the handler to end the connection once the responses that it has begun are written.
    pub(crate) fn request_finish(&self) {
        self.finish_requested.notify_one();
    }

    /// Waits for a request to end the connection after the responses that have begun. Only a protocol with several open
    /// requests on a connection has to heed it: a requested close ends the others.
    pub async fn finish_requested(&self) {
        self.finish_requested.notified().await;
    }

    /// Ends the connection immediately.
    pub(crate) fn terminate(&self) {
        self.terminated.notify_one();
    }

    /// Waits until the connection must end immediately.
    pub(crate) async fn terminated(&self) {
        self.terminated.notified().await;
    }

    /// Shuts down the sending side, then reads and discards incoming bytes until the client closes the connection, within
    /// the limits [`LINGER_TIMEOUT`] and [`MAX_DISCARDED_BYTES`]. Closing a socket with unread bytes resets the connection,
    /// and the client may lose the rest of the last response.
    pub async fn lingering_close(&self, stream: &Stream) {
        self.set_closing();
        let _ = stream.shutdown_write(); // fails if it is shut down already, or the connection is broken
        let until = Instant::now() + LINGER_TIMEOUT;
        let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
        let mut discarded = 0;
        while let Ok(Ok(count)) = timeout_at(until, stream.read(&mut buffer)).await {
            discarded += count;
            if count == 0 || discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    }

    fn set_closing(&self) {
        self.state.set(ConnectionState::Closing {
            since: Instant::now(),
        });
    }
}
