//! One replicated log of settings versions among the voters, and the leases of all nodes to act on them. No I/O and no
//! clock: events with times go in, actions come out.
//!
//! [`voter`] runs the log on a consensus engine and grants leases. [`node`] is the side of every node: it requests leases,
//! fetches versions and knows what it may act on. [`lease`] is the protocol between the two, which no engine provides.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod lease;
pub mod messages;
pub mod node;
pub mod storage;
mod timing;
pub mod voter;
pub mod voter_state;

pub use timing::{InjectedBug, Timing, majority};
