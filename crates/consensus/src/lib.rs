//! A replicated log of settings versions, kept by the voters, and the leases by which all nodes act on them. Without I/O
//! and clock: the caller passes events with their times in and carries out the returned actions.
//!
//! [`voter`] runs the log on a consensus engine and grants leases. [`node`] runs on every node: it requests leases, fetches
//! versions and tracks which of them the node may act on. [`lease`] is the protocol between the two; the consensus engine
//! has no leases of its own.
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
