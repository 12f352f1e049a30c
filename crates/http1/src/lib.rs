//! HTTP/1.1: the frontend that serves clients and the client for backends.
//!
//! hyper parses and serialises the messages; this package determines their contents. [`Frontend`] converts a client's request
//! into a call for the node, and the node's final response into HTTP. [`BackendClient`] sends a call's attempts to backends.
#![forbid(unsafe_code)]

mod backend;
mod call_id_exchange;
mod discard;
mod frontend;
mod head_scanner;
mod headers;
mod hyper_io;
mod outgoing_body;
mod read_ahead;
mod request_body;
mod request_error;
mod request_head;
mod response_body;
mod upload_progress;

pub use backend::{BackendClient, Http1, Session};
pub use call_id_exchange::{CallIdExchange, NoOtherProcess};
pub use frontend::{Frontend, FrontendServices};
pub use hyper_io::{HyperIo, StreamObserver};
