//! Outstanding probes, and pings relayed for other members. Both tables are bounded; a full table takes no new entries.

use crate::incarnation::Incarnation;
use crate::name::Name;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The most outstanding probes, and the most relayed pings.
const MAX_OUTSTANDING: usize = 128;
/// The number of finished probes that are kept, so that a late ack still measures the round trip.
const MAX_FINISHED_PROBES: usize = 32;

/// An outstanding probe.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent_at: Duration,
    /// When indirect probes begin; `Duration::MAX` once they have.
    pub(crate) indirect_at: Duration,
    /// When the probe fails.
    pub(crate) expires_at: Duration,
    /// The number of members asked for indirect probes.
    pub(crate) relay_count: usize,
    /// The number of those members that got no ack either.
    pub(crate) nacks: usize,
}

/// A ping that this node sent on behalf of another member.
#[derive(Clone, Debug)]
pub(crate) struct RelayedPing {
    pub(crate) requester: Name,
    /// The requester's sequence number.
    pub(crate) sequence: u64,
    pub(crate) expires_at: Duration,
}

/// A finished probe, kept for a late ack.
struct FinishedProbe {
    sequence: u64,
    target: Name,
    sent_at: Duration,
}

/// Outstanding probes and relayed pings, by sequence numbers of this node.
#[derive(Default)]
pub(crate) struct ProbeTable {
    probes: BTreeMap<u64, Probe>,
    relayed: BTreeMap<u64, RelayedPing>,
    finished: VecDeque<FinishedProbe>,
    last_sequence: u64,
}

impl ProbeTable {
    /// Adds a probe and returns its sequence number; `None` if the table is full or the target has an outstanding
    /// probe.
    pub(crate) fn add_probe(&mut self, probe: Probe) -> Option<u64> {
        let is_probed = |other: &Probe| other.target == probe.target;
        if self.probes.len() >= MAX_OUTSTANDING || self.probes.values().any(is_probed) {
            return None;
        }
        self.last_sequence += 1;
        self.probes.insert(self.last_sequence, probe);
        Some(self.last_sequence)
    }

    /// Adds a relayed ping and returns its sequence number; `None` if the table is full.
    pub(crate) fn add_relayed_ping(&mut self, relayed: RelayedPing) -> Option<u64> {
        if self.relayed.len() >= MAX_OUTSTANDING {
            return None;
        }
        self.last_sequence += 1;
        self.relayed.insert(self.last_sequence, relayed);
        Some(self.last_sequence)
    }

    /// Removes a probe that got an ack or has failed, and keeps it for late acks.
    pub(crate) fn finish_probe(&mut self, sequence: u64) -> Option<Probe> {
        let probe = self.probes.remove(&sequence)?;
        self.remember_finished(sequence, &probe);
        Some(probe)
    }

    /// Removes a relayed ping that got an ack.
    pub(crate) fn take_relayed(&mut self, sequence: u64) -> Option<RelayedPing> {
        self.relayed.remove(&sequence)
    }

    /// Removes a finished probe; returns its target and when it was sent.
    pub(crate) fn take_finished_probe(&mut self, sequence: u64) -> Option<(Name, Duration)> {
        let index = self
            .finished
            .iter()
            .position(|probe| probe.sequence == sequence)?;
        let probe = self.finished.remove(index)?;
        Some((probe.target, probe.sent_at))
    }

    /// Counts a nack for a probe.
    pub(crate) fn count_nack(&mut self, sequence: u64) {
        if let Some(probe) = self.probes.get_mut(&sequence) {
            probe.nacks += 1;
        }
    }

    /// Returns the probes whose indirect probes are due, each of them once.
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

    /// Sets the number of members asked for indirect probes.
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

    /// Removes the relayed pings that got no ack in time.
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

    /// The earliest time at which a probe or a relayed ping is due.
    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        let probes = self
            .probes
            .values()
            .map(|probe| probe.indirect_at.min(probe.expires_at));
        let relayed = self.relayed.values().map(|relayed| relayed.expires_at);
        probes.chain(relayed).min()
    }

    /// Drops all probes and relayed pings, since their acks belong to the previous incarnation of this node.
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
