//! Comparison of each member's table with the actual state of the simulated fleet.

use super::{Fleet, MS, name};
use sillward_membership::{MemberState, Membership, MembershipStatus};
use std::time::Duration;

impl Fleet {
    /// Records which running members are dead in another member's table, and for how long.
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

    /// The state of the member `of` in the table of the node `by`.
    pub fn state_of(&self, by: usize, of: usize) -> Option<MemberState> {
        self.nodes[by]
            .membership
            .as_ref()?
            .member(&name(of))
            .map(|member| member.state)
    }

    /// Checks that on each running node, all other running nodes are alive in their current incarnations and no others
    /// are active.
    pub fn check_agreement(&self) -> Result<(), String> {
        for (by, node) in self.nodes.iter().enumerate() {
            let Some(membership) = &node.membership else {
                continue;
            };
            if membership.status(self.now) != MembershipStatus::Joined && self.nodes.len() > 1 {
                return Err(format!("n{by} is {:?}", membership.status(self.now)));
            }
            for (of, other) in self.nodes.iter().enumerate().filter(|(of, _)| *of != by) {
                let known = membership
                    .member(&name(of))
                    .map(|member| (member.state, member.incarnation));
                let is_correct = match &other.membership {
                    Some(other) => known == Some((MemberState::Alive, other.incarnation())),
                    None => known.is_none_or(|(state, _)| !state.is_active()),
                };
                if !is_correct {
                    return Err(format!("n{by} has n{of} as {known:?}"));
                }
            }
        }
        Ok(())
    }

    /// Runs until [`Fleet::check_agreement`] passes; returns how long that took, and panics if it takes longer than
    /// `limit`.
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
