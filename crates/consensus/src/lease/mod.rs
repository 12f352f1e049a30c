//! Leases to act on versions. Voters grant them, nodes hold them.
//!
//! A voter's response to a lease request names the newest version that the voter knows to be committed. For
//! [`Timing::grant_duration`] after granting the lease, the voter consents to no newer version, unless the node reports that
//! it knows of one. A node with grants from a majority of the voters may act until [`Timing::lease_duration`] after the oldest
//! request among those grants. A version is in force once a majority of the voters consents to it. Any two majorities share a
//! voter, and that voter consents only after the leases on older versions have expired. So when a version is in force, no node
//! holds a lease on an older one, and a node that acts on the version conflicts with no other.
//!
//! [`Timing::grant_duration`]: crate::Timing::grant_duration
//! [`Timing::lease_duration`]: crate::Timing::lease_duration

mod granter;
mod holder;

pub use granter::{BlockingLease, LeaseGranter};
pub use holder::LeaseHolder;
