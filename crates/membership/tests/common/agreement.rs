//! What the members of a simulated fleet believe of each other.

use super::{Fleet, MS, name};
use sillward_membership::{MemberState, Membership, MembershipStatus};
use std::time::Duration;

impl Fleet {
    /// Notes which running members are believed dead, by whom, and for how long.
    pub(super) fn record_false_deaths(&mut self) {
        let incarnations: Vec<_> = self
            .nodes
            .iter()
            .map(|n| {
                n.membership
                    .as_ref()
                    .filter(|_| !n.paused)
                    .map(Membership::incarnation)
            })
            .collect();
        for (by, node) in self.nodes.iter().enumerate() {
            let Some(membership) = node.membership.as_ref().filter(|_| !node.paused) else {
                continue;
            };
            for (of, incarnation) in incarnations
                .iter()
                .enumerate()
                .filter(|(of, incarnation)| *of != by && incarnation.is_some())
            {
                let is_false_death = membership.member(&name(of)).is_some_and(|m| {
                    m.state == MemberState::Dead && Some(m.incarnation) == *incarnation
                });
                if !is_false_death {
                    self.false_deaths.remove(&(by, of));
                } else if let Some(since) = self.false_deaths.get(&(by, of)) {
                    self.longest_false_death = self.longest_false_death.max(self.now - *since);
                } else {
                    self.false_deaths.insert((by, of), self.now);
                    self.false_death_count += 1;
                }
            }
        }
    }

    pub fn state_of(&self, by: usize, of: usize) -> Option<MemberState> {
        self.nodes[by]
            .membership
            .as_ref()?
            .member(&name(of))
            .map(|member| member.state)
    }

    /// Whether all running nodes believe each other alive in their present incarnations, and nobody else active.
    pub fn check_agreement(&self) -> Result<(), String> {
        for (by, node) in self.nodes.iter().enumerate() {
            let Some(membership) = &node.membership else {
                continue;
            };
            if membership.status(self.now) != MembershipStatus::Joined && self.nodes.len() > 1 {
                return Err(format!("n{by} is {:?}", membership.status(self.now)));
            }
            for (of, other) in self.nodes.iter().enumerate().filter(|(of, _)| *of != by) {
                let believed = membership
                    .member(&name(of))
                    .map(|member| (member.state, member.incarnation));
                let is_correct = match &other.membership {
                    Some(other) => believed == Some((MemberState::Alive, other.incarnation())),
                    None => believed.is_none_or(|(state, _)| !state.is_active()),
                };
                if !is_correct {
                    return Err(format!("n{by} believes {believed:?} of n{of}"));
                }
            }
        }
        Ok(())
    }

    /// Runs until all agree, at most `limit`; returns how long that took.
    pub fn run_until_agreed(&mut self, limit: Duration) -> Duration {
        let start = self.now;
        while let Err(disagreement) = self.check_agreement() {
            assert!(
                self.now - start < limit,
                "after {:?}: {disagreement}",
                self.now - start
            );
            self.run(MS * 100);
        }
        self.now - start
    }
}
