//! Probes that are out, and favours that are owed to others. Both are bounded; above the bound nothing new is begun.

use crate::incarnation::{Incarnation, Name};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Probes, and favours, at once.
const MOST: usize = 128;
/// Probes that are over, kept so that a late answer still tells how long it took.
const LATE: usize = 32;

/// A probe that is out.
#[derive(Clone, Debug)]
pub struct Probe {
    pub target: Name,
    pub incarnation: Incarnation,
    pub asked: Duration,
    /// From then on helpers are asked.
    pub direct_until: Duration,
    /// From then on it has failed.
    pub ends: Duration,
    /// Helpers that were asked, and those that said they had no answer either.
    pub helpers: usize,
    pub nacks: usize,
}

/// A ping on behalf of another member.
#[derive(Clone, Debug)]
pub struct Favour {
    pub whose: Name,
    /// The asker's own number of it.
    pub number: u64,
    pub ends: Duration,
}

/// Both, by this node's own numbers.
#[derive(Default)]
pub struct Probes {
    probes: BTreeMap<u64, Probe>,
    favours: BTreeMap<u64, Favour>,
    late: VecDeque<(u64, Name, Duration)>,
    number: u64,
}

impl Probes {
    /// Notes a probe and gives its number; `None` if too many are out, or one of this target is.
    pub fn begin(&mut self, probe: Probe) -> Option<u64> {
        if self.probes.len() >= MOST
            || self
                .probes
                .values()
                .any(|other| other.target == probe.target)
        {
            return None;
        }
        self.number += 1;
        self.probes.insert(self.number, probe);
        Some(self.number)
    }

    /// Notes a favour and gives its number.
    pub fn favour(&mut self, favour: Favour) -> Option<u64> {
        if self.favours.len() >= MOST {
            return None;
        }
        self.number += 1;
        self.favours.insert(self.number, favour);
        Some(self.number)
    }

    /// A probe was answered.
    pub fn answered(&mut self, number: u64) -> Option<Probe> {
        let probe = self.probes.remove(&number)?;
        self.over(number, &probe);
        Some(probe)
    }

    /// A favour was answered.
    pub fn favoured(&mut self, number: u64) -> Option<Favour> {
        self.favours.remove(&number)
    }

    /// Whom a late answer is from, and when that was asked.
    pub fn late(&mut self, number: u64) -> Option<(Name, Duration)> {
        let place = self.late.iter().position(|(other, ..)| *other == number)?;
        self.late
            .remove(place)
            .map(|(_, name, asked)| (name, asked))
    }

    /// A helper says that it had no answer.
    pub fn nack(&mut self, number: u64) {
        if let Some(probe) = self.probes.get_mut(&number) {
            probe.nacks += 1;
        }
    }

    /// Probes for which it is time to ask helpers. Each is given once.
    pub fn due_for_help(&mut self, now: Duration) -> Vec<(u64, Name)> {
        let due = self
            .probes
            .iter_mut()
            .filter(|(_, probe)| probe.direct_until <= now && probe.ends > now);
        due.map(|(number, probe)| {
            probe.direct_until = Duration::MAX;
            (*number, probe.target.clone())
        })
        .collect()
    }

    pub fn helped_by(&mut self, number: u64, helpers: usize) {
        if let Some(probe) = self.probes.get_mut(&number) {
            probe.helpers = helpers;
        }
    }

    /// Probes that have failed.
    pub fn failed(&mut self, now: Duration) -> Vec<Probe> {
        let due: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.ends <= now)
            .map(|(number, _)| *number)
            .collect();
        due.into_iter()
            .filter_map(|number| {
                let probe = self.probes.remove(&number)?;
                self.over(number, &probe);
                Some(probe)
            })
            .collect()
    }

    /// Favours that came to nothing.
    pub fn in_vain(&mut self, now: Duration) -> Vec<Favour> {
        let due: Vec<u64> = self
            .favours
            .iter()
            .filter(|(_, favour)| favour.ends <= now)
            .map(|(number, _)| *number)
            .collect();
        due.into_iter()
            .filter_map(|number| self.favours.remove(&number))
            .collect()
    }

    /// When the next of all these is due.
    pub fn next(&self) -> Option<Duration> {
        let probes = self
            .probes
            .values()
            .map(|probe| probe.direct_until.min(probe.ends));
        probes
            .chain(self.favours.values().map(|favour| favour.ends))
            .min()
    }

    /// All are given up: what they would have said is about another incarnation.
    pub fn clear(&mut self) {
        self.probes.clear();
        self.favours.clear();
    }

    fn over(&mut self, number: u64, probe: &Probe) {
        if self.late.len() >= LATE {
            self.late.pop_front();
        }
        self.late
            .push_back((number, probe.target.clone(), probe.asked));
    }
}
