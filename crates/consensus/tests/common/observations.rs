//! What tests observe of the cluster, and the checks of its invariants.

use super::{Cluster, Process};
use sillward_consensus::voter::{Voter, VoterStatus};
use sillward_consensus::voter_state::LogLength;
use sillward_fleet_settings::{EffectiveValue, Key};
use std::time::Duration;

impl Cluster {
    pub fn effective_value(&self, process: usize, key: &Key) -> EffectiveValue {
        let node = self.processes[process]
            .node
            .as_ref()
            .expect("the process runs");
        node.history()
            .effective_value(node.status(self.local_time(process)), key)
    }

    pub fn newest(&self, process: usize) -> u64 {
        self.processes[process]
            .node
            .as_ref()
            .map_or(0, |node| node.history().newest())
    }

    pub fn in_force(&self, version: u64) -> bool {
        self.in_force_except(version, &[])
    }

    pub fn in_force_except(&self, version: u64, except: &[usize]) -> bool {
        let uses_version = |process: usize| {
            let effective = self.effective_value(process, &self.key);
            !effective.conservative && effective.version == version
        };
        (0..self.processes.len())
            .filter(|process| !except.contains(process))
            .all(|process| self.processes[process].node.is_some() && uses_version(process))
    }

    pub fn leader(&self) -> Option<usize> {
        let is_leader = |process: &Process| {
            process
                .voter
                .as_ref()
                .is_some_and(|voter| voter.is_leader())
        };
        self.processes.iter().position(is_leader)
    }

    pub fn status(&self, process: usize) -> Option<&VoterStatus> {
        self.processes[process].voter.as_ref().map(Voter::status)
    }

    pub fn is_voting(&self, process: usize) -> bool {
        self.status(process) == Some(&VoterStatus::Voting)
    }

    pub fn is_disabled(&self, process: usize) -> bool {
        matches!(self.status(process), Some(VoterStatus::Disabled(_)))
    }

    pub fn log_length(&self, process: usize) -> LogLength {
        self.processes[process]
            .voter
            .as_ref()
            .map_or(LogLength::default(), Voter::log_length)
    }

    pub fn leased_share(&self) -> f64 {
        let leased_time: Duration = self
            .processes
            .iter()
            .map(|process| {
                process.leased_time
                    + process
                        .current_value
                        .as_ref()
                        .map_or(Duration::ZERO, |(from, _)| self.now - *from)
            })
            .sum();
        leased_time.as_secs_f64() / (self.now.as_secs_f64() * self.processes.len() as f64)
    }

    /// The longest time for which two processes used different values, neither of them conservative.
    pub fn longest_conflict(&mut self) -> Duration {
        let all = 0..self.processes.len();
        for index in all.clone() {
            self.end_value_interval(index);
            if self.processes[index].node.is_some() && !self.processes[index].paused {
                self.reschedule(index);
            }
        }
        let mut longest = Duration::ZERO;
        for one in all.clone() {
            for other in one + 1..self.processes.len() {
                for (from, to, value) in &self.processes[one].used_values {
                    for (since, until, second) in &self.processes[other].used_values {
                        if value != second {
                            let (start, end) = (*from.max(since), *to.min(until));
                            longest = longest.max(end.saturating_sub(start));
                        }
                    }
                }
            }
        }
        longest
    }

    pub fn check_log(&self) -> Result<(), String> {
        if let Some(log_violation) = &self.log_violation {
            return Err(log_violation.clone());
        }
        // Some voter must still have the newest version that was committed.
        let newest = self.committed.keys().last().copied().unwrap_or_default();
        let newest_of_voters = (0..self.voters)
            .filter(|process| self.is_voting(*process))
            .map(|process| {
                self.processes[process]
                    .voter
                    .as_ref()
                    .map_or(0, |voter| voter.history().newest())
            });
        match newest_of_voters.max() {
            Some(newest_kept) if newest_kept < newest => {
                Err(format!("committed version {newest} is lost"))
            }
            _ => Ok(()),
        }
    }

    pub fn assert_log(&self) {
        assert_eq!(self.check_log(), Ok(()));
    }

    pub fn assert_invariants(&mut self) {
        assert_eq!(self.longest_conflict(), Duration::ZERO);
        self.assert_log();
    }
}
