//! Events, actions and statuses of a voter.

use crate::messages::{Envelope, LeaseRequest, LeaseResponse, Proposal, VoterIncarnation};
use sillward_fleet_settings::Version;
use sillward_membership::Name;
use thiserror::Error;

/// What happens to a voter.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message of the voter at that place, counted from 1.
    VoterMessage(usize, Envelope),
    /// A node requests a lease.
    LeaseRequest(Name, LeaseRequest),
    /// Somebody proposes a version.
    Propose(Proposal),
    /// The write of that number has ended, with success or without.
    Persisted(u64, bool),
}

/// What a voter does.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends a message to the voter at that place, counted from 1.
    SendToVoter(usize, Envelope),
    /// Sends a response to a node.
    SendLeaseResponse(Name, LeaseResponse),
    /// Replaces the voter's file by these bytes, and reports [`Event::Persisted`] with this number once they are on disk.
    Persist(u64, Vec<u8>),
    /// New versions are committed.
    Committed(Vec<Version>),
    /// The voter has begun to vote or is disabled.
    StatusChanged(VoterStatus),
}

/// Whether a voter votes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStatus {
    /// It asks the others whether its storage is the newest.
    Joining,
    /// It votes.
    Voting,
    /// It does not vote until its process ends.
    Disabled(DisabledReason),
}

/// Why a voter does not vote any more.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DisabledReason {
    /// The engine rejects its configuration.
    #[error("the engine does not start: {0}")]
    Engine(String),
    /// Another voter has seen a newer or other storage of this voter.
    #[error(
        "the voter at place {from} has seen a newer or another folder of this one's (ticket {} of {:x}, \
         here {} of {:x}): it is lost or was put back, and comes back as a new voter only",
        .newer.number, .newer.storage_id, .own.number, .own.storage_id
    )]
    Superseded {
        /// The place of the other voter, from 1 on.
        from: usize,
        /// The incarnation that it has seen.
        newer: VoterIncarnation,
        /// This voter's incarnation.
        own: VoterIncarnation,
    },
}
