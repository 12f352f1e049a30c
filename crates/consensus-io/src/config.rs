//! What a log is, and who its voters are.

use sillward_consensus::Timing;
use sillward_membership::Name;
use std::path::PathBuf;
use xxhash_rust::xxh3::xxh3_64;

/// The configuration of the consensus, which is the same on every node except for the folder.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// The log's name.
    pub log_name: String,
    /// The voters, in order.
    pub voters: Vec<Name>,
    /// The folder of a voter's state; a node that is no voter needs none.
    pub folder: Option<PathBuf>,
    /// Times and bounds.
    pub timing: Timing,
}

impl ConsensusConfig {
    /// The log's identifier: nodes that name another log or other voters ignore each other's messages.
    pub fn log_id(&self) -> u64 {
        let mut text = self.log_name.clone();
        for name in &self.voters {
            text.push('\n');
            text.push_str(name.as_str());
        }
        xxh3_64(text.as_bytes())
    }

    /// The place of a voter, from 1 on; `None` if the node is no voter.
    pub fn voter_place(&self, name: &Name) -> Option<usize> {
        Some(1 + self.voters.iter().position(|voter| voter == name)?)
    }

    /// The voter at a place, counted from 1.
    pub fn voter(&self, place: usize) -> Option<&Name> {
        self.voters.get(place.checked_sub(1)?)
    }
}
