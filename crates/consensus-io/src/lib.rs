//! Runs the consensus on settings in a process of the fleet: sends and receives the messages of [`sillward_consensus`] over the
//! network, and writes the voter's state to disk. A single loop handles all events in their order.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod error;
mod service;
pub mod settings_page;
mod voter_file;

pub use config::ConsensusConfig;
pub use error::{ConsensusError, LostState, ProposeError};
pub use service::{ConsensusService, LeaseUpdate, MessageCounts, PersistResults};
pub use voter_file::initialise;
