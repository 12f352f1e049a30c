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
    /// The node is not a voter.
    #[error("{0} is no voter of this log")]
    NotAVoter(String),
    /// The node is a voter, but its configuration names no folder.
    #[error("agreement.folder: is missing, and a voter needs one")]
    MissingFolder,
    /// The folder already has a voter's file.
    #[error("{} is there already: nothing was changed", .0.display())]
    AlreadyInitialised(PathBuf),
    /// The folder cannot be created or written, or no random identifier can be drawn.
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
    /// The system provides no random numbers.
    #[error("cannot draw random numbers for the consensus on settings: {0}")]
    Random(#[source] io::Error),
}

/// Why a voter's state is treated as lost, so that the voter does not vote.
#[derive(Debug, Error)]
pub enum LostState {
    /// The file does not exist: the voter was never founded, or its file is lost.
    #[error("{} is not there: it was never founded, or is lost", .0.display())]
    Missing(PathBuf),
    /// The file is damaged or not this voter's.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The voter's file.
        path: PathBuf,
        /// The cause.
        source: VoterStateError,
    },
}

/// Why a proposal is not accepted.
#[derive(Debug, Error)]
pub enum ProposeError {
    /// The settings, the reason and the author are too long together.
    #[error("{0} bytes are more than the {MAX_PROPOSAL_BYTES} of a change")]
    TooLong(usize),
    /// The settings are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Some members run builds that cannot read the settings. Until they can, they would use the conservative value of
    /// every key.
    #[error(
        "can't be read by {}: they would go by the careful reading of everything until they can",
        .0.join(", ")
    )]
    UnreadableByMembers(Vec<String>),
    /// Too many proposals of this node are pending.
    #[error("too many changes are under way here")]
    TooManyPending,
}
