//! HTTP/1.1: the clients' side, the backends' side and what their messages must be.
#![forbid(unsafe_code)]

mod ahead;
mod backend;
mod front;
mod heads;
mod outgoing;
mod reply;
mod request;
mod socket;

pub use backend::{BackendClient, Http1};
pub use front::Frontend;
pub use socket::HyperIo;
