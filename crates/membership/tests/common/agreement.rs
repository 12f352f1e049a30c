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
        for (observer, node) in self.nodes.iter().enumerate() {
            let Some(membership) = node.membership.as_ref().filter(|_| !node.paused) else {
                continue;
            };
            for (subject, incarnation) in incarnations
                .iter()
                .enumerate()
                .filter(|(subject, incarnation)| *subject != observer && incarnation.is_some())
            {
                let is_false_death = membership.member(&name(subject)).is_some_and(|m| {
                    m.state == MemberState::Dead && Some(m.incarnation) == *incarnation
                });
                if !is_false_death {
                    self.false_deaths.remove(&(observer, subject));
                } else if let Some(since) = self.false_deaths.get(&(observer, subject)) {
                    self.longest_false_death = self.longest_false_death.max(self.now - *since);
                } else {
                    self.false_deaths.insert((observer, subject), self.now);
                    self.false_death_count += 1;
                }
            }
        }
    }

    /// The state of the member `subject` in the table of the node `observer`.
    pub fn state_of(&self, observer: usize, subject: usize) -> Option<MemberState> {
        self.nodes[observer]
            .membership
            .as_ref()?
            .member(&name(subject))
            .map(|member| member.state)
    }

    /// Checks that on each running node, all other running nodes are alive in their current incarnations and no others
    /// are active.
    pub fn check_agreement(&self) -> Result<(), String> {
        for (observer, node) in self.nodes.iter().enumerate() {
            let Some(membership) = &node.membership else {
                continue;
            };
            if membership.status(self.now) != MembershipStatus::Joined && self.nodes.len() > 1 {
                return Err(format!("n{observer} is {:?}", membership.status(self.now)));
            }
            for (subject, other) in self
                .nodes
                .iter()
                .enumerate()
                .filter(|(subject, _)| *subject != observer)
            {
                let known = membership
                    .member(&name(subject))
                    .map(|member| (member.state, member.incarnation));
                let is_correct = match &other.membership {
                    Some(other) => known == Some((MemberState::Alive, other.incarnation())),
                    None => known.is_none_or(|(state, _)| !state.is_active()),
                };
                if !is_correct {
                    return Err(format!("n{observer} has n{subject} as {known:?}"));
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
