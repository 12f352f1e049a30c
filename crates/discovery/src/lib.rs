//! A client of the platform's discovery: the endpoint list, read by polls or pushed on a watch.
//!
//! Changes of the list reach the node within 6 s of when discovery had them and was reachable, whatever calls failed on
//! the way: each step of a call has a timeout of its own, and the backoff between calls is bounded (`timing`).
#![forbid(unsafe_code)]

mod address;
mod client;
pub mod decoder;
mod entry;
mod error;
mod feed;
mod list;
mod polled;
mod pushed;
mod request;
mod timing;
mod watch;

pub use client::DiscoveryClient;
pub use entry::{EntryError, read_entry};
