//! Connections to backends, and the interface of the protocols that use them.

use crate::connection_limit::ConnectionSlot;
use sillward_balancer::{Outcome, ServerId};
use sillward_runtime::{Stream, StreamHandle};
use std::io;

/// The protocol spoken on connections to backends.
pub trait ConnectionProtocol: 'static {
    /// The protocol state of a connection, which sends requests over it. Dropping it closes the connection.
    type Session: 'static;

    /// Prepares a new connection for requests.
    ///
    /// # Errors
    /// Fails if the connection can't be used.
    fn handshake(&self, stream: Stream) -> impl Future<Output = io::Result<Self::Session>>;

    /// Whether the session is known to be closed.
    fn is_closed(session: &Self::Session) -> bool;
}

/// A connection to a backend. Dropping it closes it immediately, even during a request.
pub struct Connection<P: ConnectionProtocol> {
    pub(crate) server: ServerId,
    /// The epoch of the backend in which it was dialled.
    pub(crate) epoch: u64,
    /// Sends requests over the connection.
    pub session: P::Session,
    pub(crate) socket: StreamHandle,
    pub(crate) _slot: ConnectionSlot,
}

/// A connection, or the outcome of an attempt that could not get one.
pub type Acquired<P> = Result<Connection<P>, Outcome>;

impl<P: ConnectionProtocol> Connection<P> {
    /// Whether it may be used for a request. Not if there are unread bytes: they would be read as the next response.
    pub(crate) fn is_usable(&self) -> bool {
        !P::is_closed(&self.session) && self.socket.read_would_block()
    }
}
