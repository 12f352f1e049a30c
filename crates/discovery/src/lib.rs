//! A client of the platform's discovery service, which serves the endpoint list: it either polls the list or receives
//! it on a watch.
//!
//! A change reaches the node within 6 s of the time when discovery had it and was reachable, even if requests failed in
//! between: each step of a request has its own timeout, and the backoff between requests is bounded (`timing`).
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
