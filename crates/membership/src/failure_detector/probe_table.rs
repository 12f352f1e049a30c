//! Outstanding probes, and pings relayed for other members. Both are bounded; beyond the bound nothing new is begun.

use crate::incarnation::Incarnation;
use crate::name::Name;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Outstanding probes, and relayed pings.
const MAX_OUTSTANDING: usize = 128;
/// Finished probes that are remembered, so that a late ack still measures the round trip.
const MAX_FINISHED_PROBES: usize = 32;

/// An outstanding probe.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent_at: Duration,
    /// When indirect probes begin; `Duration::MAX` once they have.
    pub(crate) indirect_at: Duration,
    /// When the probe has failed.
    pub(crate) expires_at: Duration,
    /// Members that were asked for indirect probes.
    pub(crate) relay_count: usize,
    /// Helpers that had no ack either.
    pub(crate) nacks: usize,
}

/// A ping on behalf of another member.
#[derive(Clone, Debug)]
pub(crate) struct RelayedPing {
    pub(crate) requester: Name,
    /// The requester's sequence number.
    pub(crate) sequence: u64,
    pub(crate) expires_at: Duration,
}

/// A finished probe, for late acks.
struct FinishedProbe {
    sequence: u64,
    target: Name,
    sent_at: Duration,
}

/// Outstanding probes and relayed pings, by this node's own sequence numbers.
#[derive(Default)]
pub(crate) struct ProbeTable {
    probes: BTreeMap<u64, Probe>,
    relayed: BTreeMap<u64, RelayedPing>,
    finished: VecDeque<FinishedProbe>,
    last_sequence: u64,
}

impl ProbeTable {
    /// Adds a probe and returns its sequence number; `None` if there are too many, or one of this target already.
    pub(crate) fn add_probe(&mut self, probe: Probe) -> Option<u64> {
        let is_probed = |other: &Probe| other.target == probe.target;
        if self.probes.len() >= MAX_OUTSTANDING || self.probes.values().any(is_probed) {
            return None;
        }
        self.last_sequence += 1;
        self.probes.insert(self.last_sequence, probe);
        Some(self.last_sequence)
    }

    /// Adds a relayed ping and returns its sequence number; `None` if there are too many.
    pub(crate) fn add_relayed_ping(&mut self, relayed: RelayedPing) -> Option<u64> {
        if self.relayed.len() >= MAX_OUTSTANDING {
            return None;
        }
        self.last_sequence += 1;
        self.relayed.insert(self.last_sequence, relayed);
        Some(self.last_sequence)
    }

    /// Removes a probe that was answered or has failed.
    pub(crate) fn finish_probe(&mut self, sequence: u64) -> Option<Probe> {
        let probe = self.probes.remove(&sequence)?;
        self.remember_finished(sequence, &probe);
        Some(probe)
    }

    /// Removes a relayed ping that was answered.
    pub(crate) fn take_relayed(&mut self, sequence: u64) -> Option<RelayedPing> {
        self.relayed.remove(&sequence)
    }

    /// The target of a finished probe, and when it was sent.
    pub(crate) fn take_finished_probe(&mut self, sequence: u64) -> Option<(Name, Duration)> {
        let index = self
            .finished
            .iter()
            .position(|probe| probe.sequence == sequence)?;
        let probe = self.finished.remove(index)?;
        Some((probe.target, probe.sent_at))
    }

    /// Counts a helper that had no ack.
    pub(crate) fn count_nack(&mut self, sequence: u64) {
        if let Some(probe) = self.probes.get_mut(&sequence) {
            probe.nacks += 1;
        }
    }

    /// Probes whose indirect probes are due. Each is returned once.
    pub(crate) fn due_for_indirect_probes(&mut self, now: Duration) -> Vec<(u64, Name)> {
        let mut due = Vec::new();
        for (sequence, probe) in &mut self.probes {
            if probe.indirect_at <= now && probe.expires_at > now {
                probe.indirect_at = Duration::MAX;
                due.push((*sequence, probe.target.clone()));
            }
        }
        due
    }

    /// Notes how many members were asked for indirect probes.
    pub(crate) fn set_relay_count(&mut self, sequence: u64, relay_count: usize) {
        if let Some(probe) = self.probes.get_mut(&sequence) {
            probe.relay_count = relay_count;
        }
    }

    /// Removes the probes that have failed.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<Probe> {
        let expired: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.expires_at <= now)
            .map(|(sequence, _)| *sequence)
            .collect();
        expired
            .into_iter()
            .filter_map(|sequence| self.finish_probe(sequence))
            .collect()
    }

    /// Removes the relayed pings that had no ack in time.
    pub(crate) fn take_expired_relayed(&mut self, now: Duration) -> Vec<RelayedPing> {
        let expired: Vec<u64> = self
            .relayed
            .iter()
            .filter(|(_, relayed)| relayed.expires_at <= now)
            .map(|(sequence, _)| *sequence)
            .collect();
        expired
            .into_iter()
            .filter_map(|sequence| self.relayed.remove(&sequence))
            .collect()
    }

    /// The earliest deadline.
    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        let probes = self
            .probes
            .values()
            .map(|probe| probe.indirect_at.min(probe.expires_at));
        let relayed = self.relayed.values().map(|relayed| relayed.expires_at);
        probes.chain(relayed).min()
    }

    /// Drops all probes and relayed pings: their results would be about another incarnation of this node.
    pub(crate) fn clear(&mut self) {
        self.probes.clear();
        self.relayed.clear();
    }

    fn remember_finished(&mut self, sequence: u64, probe: &Probe) {
        if self.finished.len() >= MAX_FINISHED_PROBES {
            self.finished.pop_front();
        }
        self.finished.push_back(FinishedProbe {
            sequence,
            target: probe.target.clone(),
            sent_at: probe.sent_at,
        });
    }
}
