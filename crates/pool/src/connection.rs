//! A connection to a backend, and what a protocol makes of it.

use crate::connection_limit::ConnectionSlot;
use sillward_balancer::{Outcome, ServerId};
use sillward_runtime::{Stream, StreamHandle};
use std::io;

/// A protocol on connections to backends.
pub trait ConnectionProtocol: 'static {
    /// What sends requests over a connection. Dropping it closes the connection.
    type Session: 'static;

    /// Makes a new connection ready for requests.
    ///
    /// # Errors
    /// The connection can't be used.
    fn handshake(&self, stream: Stream) -> impl Future<Output = io::Result<Self::Session>>;

    /// Whether the session is known to be closed.
    fn is_closed(session: &Self::Session) -> bool;
}

/// A connection to a backend. Dropping it closes it at once, even within a request.
pub struct Connection<P: ConnectionProtocol> {
    pub(crate) server: ServerId,
    /// The incarnation and address of the backend that it leads to.
    pub(crate) epoch: u64,
    /// What sends requests over it.
    pub session: P::Session,
    pub(crate) socket: StreamHandle,
    pub(crate) _slot: ConnectionSlot,
}

/// A connection, or the outcome of an attempt that has none.
pub type Acquired<P> = Result<Connection<P>, Outcome>;

impl<P: ConnectionProtocol> Connection<P> {
    /// Whether it may be used for a request. Bytes that follow a response would be read as the next response.
    pub(crate) fn is_usable(&self) -> bool {
        !P::is_closed(&self.session) && self.socket.read_would_block()
    }
}
