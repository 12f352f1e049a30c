//! The configuration of the log and its voters.

use sillward_consensus::Timing;
use sillward_membership::Name;
use std::path::PathBuf;
use xxhash_rust::xxh3::xxh3_64;

/// The configuration of the consensus, which must be the same on every node except for the folder.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// The log's name.
    pub log_name: String,
    /// The voters, in order.
    pub voters: Vec<Name>,
    /// The folder of a voter's state; only voters need one.
    pub folder: Option<PathBuf>,
    /// The durations and limits of the lease protocol.
    pub timing: Timing,
}

impl ConsensusConfig {
    /// The log's identifier. Nodes whose configurations name different logs or voters ignore each other's messages.
    pub fn log_id(&self) -> u64 {
        let mut text = self.log_name.clone();
        for name in &self.voters {
            text.push('\n');
            text.push_str(name.as_str());
        }
        xxh3_64(text.as_bytes())
    }

    /// The number of a voter, from 1 on; `None` if the node is not a voter.
    pub fn voter_id(&self, name: &Name) -> Option<usize> {
        Some(1 + self.voters.iter().position(|voter| voter == name)?)
    }

    /// The name of the voter with this number.
    pub fn voter(&self, voter_id: usize) -> Option<&Name> {
        self.voters.get(voter_id.checked_sub(1)?)
    }
}
