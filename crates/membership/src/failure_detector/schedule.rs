//! The probe schedule: each round probes all active members once, in a new random order; urgent probes are sent in
//! addition.

use crate::members::Members;
use crate::name::Name;
use crate::random::Random;
use crate::update::MemberState;
use std::collections::VecDeque;
use std::time::Duration;

/// The most members scheduled for an urgent probe.
const MAX_URGENT: usize = 64;

/// The order of regular probes, and the queue of urgent ones.
pub(crate) struct ProbeSchedule {
    /// The remaining members of the current round; the last one is probed next.
    round: Vec<Name>,
    urgent: VecDeque<Name>,
    next_probe: Duration,
}

impl ProbeSchedule {
    pub(crate) fn new(next_probe: Duration) -> Self {
        ProbeSchedule {
            round: Vec::new(),
            urgent: VecDeque::new(),
            next_probe,
        }
    }

    /// Drops urgent probes, and continues the round at `next_probe`.
    pub(crate) fn restart(&mut self, next_probe: Duration) {
        self.next_probe = next_probe;
        self.urgent.clear();
    }

    /// When the next regular probe is due.
    pub(crate) fn next_probe(&self) -> Duration {
        self.next_probe
    }

    pub(crate) fn set_next_probe(&mut self, next_probe: Duration) {
        self.next_probe = next_probe;
    }

    /// Inserts a new member at a random position of the current round.
    pub(crate) fn insert(&mut self, random: &mut Random, name: Name) {
        let index = random.below(self.round.len() + 1);
        self.round.insert(index, name);
    }

    /// Removes and returns the next target of a regular probe; begins a new round if the current one has ended.
    pub(crate) fn next_target(&mut self, members: &Members, random: &mut Random) -> Option<Name> {
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                if members.state(&name).is_some_and(MemberState::is_active) {
                    return Some(name);
                }
            }
            self.begin_round(members, random);
        }
        None
    }

    fn begin_round(&mut self, members: &Members, random: &mut Random) {
        self.round = members.active().to_vec();
        self.round.sort();
        for index in (1..self.round.len()).rev() {
            let other = random.below(index + 1);
            self.round.swap(index, other);
        }
    }

    pub(crate) fn has_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// Removes and returns the next member scheduled for an urgent probe.
    pub(crate) fn next_urgent(&mut self) -> Option<Name> {
        self.urgent.pop_front()
    }

    /// Schedules an urgent probe, unless too many are scheduled already.
    pub(crate) fn add_urgent(&mut self, name: Name) {
        if self.urgent.len() < MAX_URGENT {
            self.urgent.push_back(name);
        }
    }

    /// Schedules an urgent probe before all others, and drops the last one if there are too many.
    pub(crate) fn add_urgent_first(&mut self, name: Name) {
        self.urgent.push_front(name);
        self.urgent.truncate(MAX_URGENT);
    }

    pub(crate) fn set_urgent(&mut self, names: VecDeque<Name>) {
        self.urgent = names;
    }
}
