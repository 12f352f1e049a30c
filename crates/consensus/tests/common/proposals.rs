//! Proposals, which are resent until they are committed or can no longer be.

use super::{Cluster, InFlight};
use sillward_consensus::messages::Proposal;
use sillward_fleet_settings::{FleetSettings, Version};

impl Cluster {
    pub fn propose(&mut self, process: usize, base: u64, settings: FleetSettings) -> u64 {
        self.sequence += 1;
        let id = self.sequence;
        let version = Version {
            number: 0,
            id,
            author: "test".to_owned(),
            reason: "a test".to_owned(),
            settings: settings.to_json(),
        };
        self.pending.push((process, Proposal { base, version }));
        self.send_proposal(self.pending.len() - 1);
        id
    }

    /// Resends the proposal from another process, because the first may have crashed.
    pub fn propose_again(&mut self, process: usize, id: u64) {
        if let Some(at) = self
            .pending
            .iter()
            .position(|(_, proposal)| proposal.version.id == id)
        {
            self.pending[at].0 = process;
            self.send_proposal(at);
        }
    }

    pub(super) fn send_proposal(&mut self, index: usize) {
        let (process, proposal) = self.pending[index].clone();
        if self.processes[process].node.is_none() || self.processes[process].paused {
            return;
        }
        let to = if process < self.voters {
            process
        } else {
            self.random_below(self.voters as u64) as usize
        };
        self.send(process, to, InFlight::Propose(proposal));
    }

    pub(super) fn resend_proposals(&mut self) {
        let is_settled = |cluster: &Cluster, index: usize| {
            let (process, proposal) = &cluster.pending[index];
            let newest = cluster.processes[*process]
                .node
                .as_ref()
                .map_or(0, |node| node.history().newest());
            newest > proposal.base // it was committed, or its base is outdated
        };
        let mut index = 0;
        while index < self.pending.len() {
            if is_settled(self, index) {
                self.pending.remove(index);
            } else {
                self.send_proposal(index);
                index += 1;
            }
        }
    }

    pub fn version_of(&self, id: u64) -> Option<u64> {
        self.committed
            .iter()
            .find(|(_, known)| **known == id)
            .map(|(number, _)| *number)
    }
}
