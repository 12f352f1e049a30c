//! Leases to act on versions: what a voter grants and waits for, and what a node holds.
//!
//! A voter that grants a lease promises: *for [`Timing::grant_duration`] from now I consent to no version above the newest
//! that I name, unless this node reports that it knows of a newer one.* A node with grants of a majority may act until
//! [`Timing::lease_duration`] after the least recent request among those grants. A version is in force once a majority of the
//! voters consents to it. Two majorities share a voter, and that voter has waited: so no node has a lease on an older version
//! when one is in force, and a node that acts on a version in force conflicts with none.
//!
//! [`Timing::grant_duration`]: crate::Timing::grant_duration
//! [`Timing::lease_duration`]: crate::Timing::lease_duration

mod granter;
mod holder;

pub use granter::{BlockingLease, LeaseGranter};
pub use holder::LeaseHolder;
