//! The events, actions and statuses of a voter.

use crate::messages::{Envelope, LeaseRequest, LeaseResponse, Proposal, VoterIncarnation};
use sillward_fleet_settings::Version;
use sillward_membership::Name;
use thiserror::Error;

/// An input to a [`Voter`](super::Voter).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message from the voter of this number.
    VoterMessage(usize, Envelope),
    /// A node requests a lease.
    LeaseRequest(Name, LeaseRequest),
    /// A member proposes a version.
    Propose(Proposal),
    /// The write of this number has ended; the flag tells whether it succeeded.
    Persisted(u64, bool),
}

/// What the caller must do for a [`Voter`](super::Voter).
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to the voter of this number.
    SendToVoter(usize, Envelope),
    /// Send a response to a node.
    SendLeaseResponse(Name, LeaseResponse),
    /// Replace the voter's file by these bytes, and report the result by [`Event::Persisted`] with this number.
    Persist(u64, Vec<u8>),
    /// New versions were committed.
    Committed(Vec<Version>),
    /// The voter has begun to vote or has been disabled.
    StatusChanged(VoterStatus),
}

/// Whether a voter votes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStatus {
    /// It waits until a majority has confirmed that its storage is the newest.
    Joining,
    /// It takes part in votes.
    Voting,
    /// It does not vote again in this process.
    Disabled(DisabledReason),
}

/// Why a voter no longer votes.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DisabledReason {
    /// The consensus engine rejects its configuration.
    #[error("the engine does not start: {0}")]
    Engine(String),
    /// Another voter has seen a newer state of this voter's storage, or another storage. The folder was lost or restored
    /// from a copy, so this voter can only rejoin as a new one.
    #[error(
        "the voter at place {from} has seen a newer or another folder of this one's (ticket {} of {:x}, \
         here {} of {:x}): it is lost or was put back, and comes back as a new voter only",
        .newer.number, .newer.storage_id, .own.number, .own.storage_id
    )]
    Superseded {
        /// The number of the other voter.
        from: usize,
        /// The incarnation that it has seen.
        newer: VoterIncarnation,
        /// This voter's incarnation.
        own: VoterIncarnation,
    },
}
