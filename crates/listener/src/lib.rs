//! Client connections, independent of the protocol: accepting, connection limit, timeouts and graceful close.
//!
//! [`ConnectionManager`] accepts connections and enforces their limit and timeouts. A protocol implements
//! [`ConnectionHandler`] and reports the progress of each connection's requests to its [`ClientConnection`] and to the
//! manager. [`SharedLifecycle`] is the lifecycle that all managers of a process share.
#![forbid(unsafe_code)]

mod connection;
mod eviction;
mod lifecycle;
mod manager;

pub use connection::{ClientConnection, LINGER_TIMEOUT, MAX_DISCARDED_BYTES, READ_TIMEOUT};
pub use lifecycle::SharedLifecycle;
pub use manager::{AfterRequest, ConnectionHandler, ConnectionManager, ListenerOwnership};
