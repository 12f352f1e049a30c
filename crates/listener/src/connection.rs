//! One client connection: its state, its timeouts and its close.

use sillward_logging::log_peer;
use sillward_runtime::time::{Instant, timeout_at};
use sillward_runtime::{Stream, StreamHandle};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long a client may take from its connection, or from the first byte of a later request, to the end of the request's
/// head, or to its last byte where a protocol reads requests completely. The platform allows clients 2 s; the margin is small,
/// since clients that send nothing occupy the node for so long.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2050);
/// How long a connection stays open after its close was requested, if no request is open on it.
pub const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The most bytes that are read and discarded on a connection before it is closed.
pub const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// How long a client may accept no byte of a response before its connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a connection without an open request is kept for the client's next one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const DISCARD_BUFFER: usize = 2048;

/// What a connection is doing. See the methods of [`ClientConnection`] for the transitions.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionState {
    /// Accepted; no request has been read yet.
    AwaitingFirstRequest,
    /// Between two requests.
    Idle { since: Instant },
    /// A request's head, or all of the request, has been read, and its response has not ended.
    RequestOpen,
    /// Its close was requested, or its last response has ended.
    Closing { since: Instant },
}

/// A timeout that has passed.
enum ExpiredTimeout {
    Write,
    RequestHead,
    Idle,
    Linger,
}

/// Since when a connection has been idle. The order is the one in which idle connections are closed for new ones: those that
/// never sent a request come first, so that silent clients do not displace active ones.
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

/// A client's connection, shared by its protocol's handler and the manager that accepted it.
pub struct ClientConnection {
    socket: StreamHandle,
    accepted: Instant,
    state: Cell<ConnectionState>,
    /// Asks the handler to close the connection when it can.
    close_requested: Notify,
    /// Ends the connection at once.
    terminated: Notify,
}

impl ClientConnection {
    /// A connection that has just been accepted.
    pub(crate) fn new(socket: StreamHandle) -> Rc<Self> {
        Rc::new(ClientConnection {
            socket,
            accepted: Instant::now(),
            state: Cell::new(ConnectionState::AwaitingFirstRequest),
            close_requested: Notify::new(),
            terminated: Notify::new(),
        })
    }

    /// To be called when a request's head, or all of the request, has been read.
    pub fn request_opened(&self) {
        self.state.set(ConnectionState::RequestOpen);
    }

    /// No request is open any more: the connection waits for the next one.
    pub(crate) fn become_idle(&self) {
        self.socket.reset_first_received();
        self.state.set(ConnectionState::Idle {
            since: Instant::now(),
        });
    }

    /// No request is open any more: the connection is to end.
    pub(crate) fn become_closing(&self) {
        self.socket.reset_first_received();
        self.set_closing();
    }

    /// Whether a request is open.
    pub fn has_open_request(&self) -> bool {
        self.state.get() == ConnectionState::RequestOpen
    }

    /// Whether the connection is open and no byte waits to be read.
    pub fn is_quiet(&self) -> bool {
        self.socket.read_would_block()
    }

    /// Whether the client is still connected, as far as it shows without reading. One that has shut down its sending side
    /// counts as disconnected.
    fn is_connected(&self) -> bool {
        !self.socket.has_peer_closed()
    }

    /// A check whether the client is still connected, for callers that know nothing of connections.
    pub fn connected_check(self: &Rc<Self>) -> Rc<dyn Fn() -> bool> {
        let connection = self.clone();
        Rc::new(move || connection.is_connected())
    }

    /// Since when the connection has been idle, if no request is open or begun and no response waits to be written.
    pub(crate) fn idle_since(&self) -> Option<IdleSince> {
        let idle_since = match self.state.get() {
            ConnectionState::AwaitingFirstRequest => IdleSince::Accept(self.accepted),
            ConnectionState::Idle { since } => IdleSince::LastRequest(since),
            ConnectionState::RequestOpen | ConnectionState::Closing { .. } => return None,
        };
        let unused = self.socket.first_received_at().is_none()
            && self.socket.write_blocked_since().is_none();
        unused.then_some(idle_since)
    }

    /// Since when the connection has been closing, if it is.
    pub(crate) fn closing_since(&self) -> Option<Instant> {
        match self.state.get() {
            ConnectionState::Closing { since } => Some(since),
            _ => None,
        }
    }

    /// Whether bytes wait to be written that the client does not take.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.socket.write_blocked_since().is_some()
    }

    /// Closes the connection if a timeout has passed.
    pub(crate) fn enforce_timeouts(&self, now: Instant) {
        match self.expired_timeout(now) {
            None => {}
            Some(ExpiredTimeout::Write | ExpiredTimeout::Linger) => self.terminate(),
            Some(ExpiredTimeout::RequestHead) => {
                log_peer("a client's request head was too slow");
                self.terminate();
            }
            Some(ExpiredTimeout::Idle) => self.close(),
        }
    }

    fn expired_timeout(&self, now: Instant) -> Option<ExpiredTimeout> {
        let blocked = self.socket.write_blocked_since();
        if blocked.is_some_and(|since| now > since + WRITE_TIMEOUT) {
            return Some(ExpiredTimeout::Write);
        }
        match self.state.get() {
            ConnectionState::RequestOpen => None,
            // A response that the client still takes is not cut off.
            ConnectionState::Closing { since } => (now > since + LINGER_TIMEOUT
                && blocked.is_none())
            .then_some(ExpiredTimeout::Linger),
            ConnectionState::AwaitingFirstRequest => {
                self.expired_while_waiting(now, Some(self.accepted), self.accepted)
            }
            ConnectionState::Idle { since } => {
                self.expired_while_waiting(now, self.socket.first_received_at(), since)
            }
        }
    }

    /// The timeout that has passed on a connection that is idle, or on which a request's head began to come at `head_begun`.
    fn expired_while_waiting(
        &self,
        now: Instant,
        head_begun: Option<Instant>,
        idle_since: Instant,
    ) -> Option<ExpiredTimeout> {
        let head_overdue = head_begun.is_some_and(|begun| now > begun + READ_TIMEOUT);
        if head_overdue {
            // Bytes that wait to be read may be the rest of the head, which a node that was held up itself reads late.
            return self.is_quiet().then_some(ExpiredTimeout::RequestHead);
        }
        (now > idle_since + IDLE_TIMEOUT).then_some(ExpiredTimeout::Idle)
    }

    /// Closes the connection as soon as its handler can. For connections without an open request.
    pub(crate) fn close(&self) {
        self.set_closing();
        self.request_close();
    }

    /// Asks the handler to close the connection once its open request, if any, has its response.
    pub(crate) fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Waits until the connection is to close when it can. Returns once for each time that this is requested.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Ends the connection at once.
    pub(crate) fn terminate(&self) {
        self.terminated.notify_one();
    }

    /// Waits until the connection is to end at once.
    pub(crate) async fn terminated(&self) {
        self.terminated.notified().await;
    }

    /// Shuts down the sending side, and reads and discards what still comes, for [`LINGER_TIMEOUT`] and
    /// [`MAX_DISCARDED_BYTES`] at the most. A socket closed over unread bytes is reset, and the client may lose the rest of
    /// the last response.
    pub async fn lingering_close(&self, stream: &Stream) {
        self.set_closing();
        let _ = stream.shutdown_write(); // it may be shut already, or broken
        let until = Instant::now() + LINGER_TIMEOUT;
        let mut buffer = vec![0; DISCARD_BUFFER];
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
