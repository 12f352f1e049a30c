//! The operators' HTTP/1.1 interface, on a listener of its own: one request a connection, each answered by the function of
//! its route.
#![forbid(unsafe_code)]

mod reply;
mod route;
mod server;

pub use reply::Reply;
pub use route::{PostRoute, ReplyFuture, Route};
pub use server::{AdminServer, MAX_CONNECTIONS};
