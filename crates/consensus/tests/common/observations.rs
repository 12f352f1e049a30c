//! What tests observe.

use super::{Cluster, Process};
use sillward_consensus::voter::{Voter, VoterStatus};
use sillward_consensus::voter_state::LogLength;
use sillward_fleet_settings::{EffectiveValue, Key};
use std::time::Duration;

impl Cluster {
    pub fn effective_value(&self, place: usize, key: &Key) -> EffectiveValue {
        let node = self.places[place].node.as_ref().expect("it runs");
        node.history()
            .effective_value(node.status(self.local(place)), key)
    }

    pub fn newest(&self, place: usize) -> u64 {
        self.places[place]
            .node
            .as_ref()
            .map_or(0, |node| node.history().newest())
    }

    pub fn in_force(&self, version: u64) -> bool {
        self.in_force_except(version, &[])
    }

    pub fn in_force_except(&self, version: u64, except: &[usize]) -> bool {
        let acts = |place: usize| {
            let reading = self.effective_value(place, &self.key);
            !reading.conservative && reading.version == version
        };
        (0..self.places.len())
            .filter(|place| !except.contains(place))
            .all(|place| self.places[place].node.is_some() && acts(place))
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |place: &Process| place.voter.as_ref().is_some_and(|voter| voter.is_leader());
        self.places.iter().position(leads)
    }

    pub fn status(&self, place: usize) -> Option<&VoterStatus> {
        self.places[place].voter.as_ref().map(Voter::status)
    }

    pub fn is_voting(&self, place: usize) -> bool {
        self.status(place) == Some(&VoterStatus::Voting)
    }

    pub fn is_disabled(&self, place: usize) -> bool {
        matches!(self.status(place), Some(VoterStatus::Disabled(_)))
    }

    pub fn log_length(&self, place: usize) -> LogLength {
        self.places[place]
            .voter
            .as_ref()
            .map_or(LogLength::default(), Voter::log_length)
    }

    pub fn leased_share(&self) -> f64 {
        let leased_time: Duration = self
            .places
            .iter()
            .map(|place| {
                place.leased_time
                    + place
                        .acts
                        .as_ref()
                        .map_or(Duration::ZERO, |(from, _)| self.now - *from)
            })
            .sum();
        leased_time.as_secs_f64() / (self.now.as_secs_f64() * self.places.len() as f64)
    }

    /// The longest time for which two places acted on values that differ, neither of them conservatively.
    pub fn longest_conflict(&mut self) -> Duration {
        let all = 0..self.places.len();
        for at in all.clone() {
            self.close(at);
            if self.places[at].node.is_some() && !self.places[at].paused {
                self.reschedule(at);
            }
        }
        let mut longest = Duration::ZERO;
        for one in all.clone() {
            for other in one + 1..self.places.len() {
                for (from, to, value) in &self.places[one].acted {
                    for (since, until, second) in &self.places[other].acted {
                        if value != second {
                            let (begins, ends) = (*from.max(since), *to.min(until));
                            longest = longest.max(ends.saturating_sub(begins));
                        }
                    }
                }
            }
        }
        longest
    }

    pub fn log_check(&self) -> Result<(), String> {
        if let Some(log_violation) = &self.log_violation {
            return Err(log_violation.clone());
        }
        // Some voter still has every version that was committed.
        let newest = self.committed.keys().last().copied().unwrap_or_default();
        let most = (0..self.voters)
            .filter(|place| self.is_voting(*place))
            .map(|place| {
                self.places[place]
                    .voter
                    .as_ref()
                    .map_or(0, |voter| voter.history().newest())
            });
        match most.max() {
            Some(most) if most < newest => {
                Err(format!("version {newest} was committed, and is lost"))
            }
            _ => Ok(()),
        }
    }

    pub fn check_log(&self) {
        assert_eq!(self.log_check(), Ok(()));
    }

    pub fn check(&mut self) {
        assert_eq!(self.longest_conflict(), Duration::ZERO);
        self.check_log();
    }
}
