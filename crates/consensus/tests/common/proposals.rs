//! Proposals, which are sent again until they are committed or never will be.

use super::{Cluster, InFlight};
use sillward_consensus::messages::Proposal;
use sillward_fleet_settings::{FleetSettings, Version};

impl Cluster {
    pub fn propose(&mut self, place: usize, base: u64, settings: FleetSettings) -> u64 {
        self.sequence += 1;
        let id = self.sequence;
        let version = Version {
            number: 0,
            id,
            author: "test".to_owned(),
            reason: "a test".to_owned(),
            settings: settings.to_json(),
        };
        self.pending.push((place, Proposal { base, version }));
        self.hand_in(self.pending.len() - 1);
        id
    }

    /// Another process sends the proposal too, as the first may have crashed.
    pub fn propose_again(&mut self, place: usize, id: u64) {
        if let Some(at) = self
            .pending
            .iter()
            .position(|(_, proposal)| proposal.version.id == id)
        {
            self.pending[at].0 = place;
            self.hand_in(at);
        }
    }

    pub(super) fn hand_in(&mut self, at: usize) {
        let (place, proposal) = self.pending[at].clone();
        if self.places[place].node.is_none() || self.places[place].paused {
            return;
        }
        let to = if place < self.voters {
            place
        } else {
            self.draw(self.voters as u64) as usize
        };
        self.send(place, to, InFlight::Propose(proposal));
    }

    pub(super) fn resend(&mut self) {
        let known = |cluster: &Cluster, at: usize| {
            let (place, proposal) = &cluster.pending[at];
            let newest = cluster.places[*place]
                .node
                .as_ref()
                .map_or(0, |node| node.history().newest());
            newest > proposal.base // it became a version, or never will
        };
        let mut at = 0;
        while at < self.pending.len() {
            if known(self, at) {
                self.pending.remove(at);
            } else {
                self.hand_in(at);
                at += 1;
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
