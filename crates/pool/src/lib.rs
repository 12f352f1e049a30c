//! Pools of connections to backends. A pool tracks the addresses and states of the backends, and their open and idle
//! connections.
//!
//! The pool is independent of the protocol: a [`ConnectionProtocol`] creates the session that sends requests over a
//! connection.
#![forbid(unsafe_code)]

mod backend_connections;
mod connection;
mod connection_limit;
mod pool;
mod timeouts;

pub use connection::{Acquired, Connection, ConnectionProtocol};
pub use connection_limit::ConnectionLimit;
pub use pool::{Pool, REUSE_DELAY};
pub use timeouts::PoolTimeouts;
