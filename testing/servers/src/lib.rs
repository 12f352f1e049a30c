//! What stands round a node under test: stand-in backends, discovery and clients. Blocking, on threads, and on loopback
//! only. Checks read what these peers saw, never what the node says of itself.
#![forbid(unsafe_code)]

pub mod etcd;
pub mod held_request;
pub mod ledger;
pub mod peers;
pub mod platform;
pub mod random;
pub mod raw_backend;
pub mod relay;
pub mod reserved_port;
pub mod tally;
