//! The pool of connections to backends: which backends may be sent to, where they listen, and which connections are
//! open and idle.
//!
//! It knows no protocol: what sends requests over a connection is made by a [`ConnectionProtocol`].
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
