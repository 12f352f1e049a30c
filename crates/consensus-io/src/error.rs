//! Errors of the consensus service.

use sillward_consensus::voter::MAX_PROPOSAL_BYTES;
use sillward_consensus::voter_state::VoterStateError;
use sillward_fleet_settings::SettingsError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why the service does not start, or a voter's folder cannot be initialised.
#[derive(Debug, Error)]
pub enum ConsensusError {
    /// The node is not among the voters.
    #[error("{0} is no voter of this log")]
    NotAVoter(String),
    /// The node is a voter, and its configuration names no folder.
    #[error("agreement.folder: is missing, and a voter needs one")]
    MissingFolder,
    /// The folder has a voter's file.
    #[error("{} is there already: nothing was changed", .0.display())]
    AlreadyInitialised(PathBuf),
    /// The folder cannot be created or written, or there are no random numbers for it.
    #[error("cannot use {}: {source}", path.display())]
    Initialise {
        /// The voter's file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The voter's file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The voter's file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The system has no random numbers.
    #[error("no random numbers for the agreement: {0}")]
    Random(#[source] io::Error),
}

/// Why a voter's state counts as lost, so that the voter does not vote.
#[derive(Debug, Error)]
pub enum LostState {
    /// There is no file.
    #[error("{} is not there: it was never founded, or is lost", .0.display())]
    Missing(PathBuf),
    /// The file is damaged, or not this voter's.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The voter's file.
        path: PathBuf,
        /// The cause.
        source: VoterStateError,
    },
}

/// Why a proposal is not taken.
#[derive(Debug, Error)]
pub enum ProposeError {
    /// The settings, the reason and the author are too long.
    #[error("{0} bytes are more than the {MAX_PROPOSAL_BYTES} of a change")]
    TooLong(usize),
    /// The settings are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Members run builds that cannot read the settings.
    #[error(
        "can't be read by {}: they would go by the careful reading of everything until they can",
        .0.join(", ")
    )]
    UnreadableByMembers(Vec<String>),
    /// Too many proposals of this node are in progress.
    #[error("too many changes are under way here")]
    TooManyPending,
}
