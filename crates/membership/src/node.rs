//! The state that all parts of the protocol share: this node, the members that it knows, and the pending actions.

use crate::counters::Counters;
use crate::dissemination::Dissemination;
use crate::event::Action;
use crate::incarnation::Incarnation;
use crate::local_health::LocalHealth;
use crate::local_node::{LocalNode, LocalState};
use crate::members::Members;
use crate::name::Name;
use crate::random::Random;
use crate::settings::{InjectedBug, MembershipSettings};
use crate::wire::Frame;
use std::fmt;
use std::time::Duration;

/// The number of draws per requested member after which [`Node::random_members`] returns fewer members.
const DRAWS_PER_MEMBER: usize = 3;

/// The state that all parts of the protocol share.
pub(crate) struct Node {
    pub(crate) settings: MembershipSettings,
    pub(crate) local: LocalState,
    pub(crate) members: Members,
    pub(crate) dissemination: Dissemination,
    pub(crate) health: LocalHealth,
    pub(crate) random: Random,
    pub(crate) counters: Counters,
    /// When the last event was handled, in whichever incarnation.
    pub(crate) last_event: Duration,
    /// When the last frame addressed to the current incarnation was received.
    pub(crate) last_heard: Option<Duration>,
    /// The actions that result from the event being handled.
    pub(crate) actions: Vec<Action>,
}

impl Node {
    /// Creates a node that has not begun its first incarnation.
    pub(crate) fn new(
        settings: MembershipSettings,
        local: LocalNode,
        seed: u64,
        now: Duration,
    ) -> Self {
        Node {
            members: Members::new(settings.max_members),
            dissemination: Dissemination::new(settings.max_members, now),
            health: LocalHealth::new(settings.min_ack_timeout),
            settings,
            local: LocalState::new(local, Incarnation::default()),
            random: Random::new(seed),
            counters: Counters::default(),
            last_event: now,
            last_heard: None,
            actions: Vec::new(),
        }
    }

    /// The digest of all active members, including this node itself.
    pub(crate) fn digest(&self) -> u32 {
        self.members.digest() ^ self.local.digest()
    }

    pub(crate) fn injects(&self, bug: InjectedBug) -> bool {
        self.settings.injects(bug)
    }

    pub(crate) fn log(&mut self, line: fmt::Arguments<'_>) {
        self.actions.push(Action::Log(line.to_string()));
    }

    /// The shortest suspicion timeout, given how long acks take.
    pub(crate) fn min_suspicion_timeout(&self) -> Duration {
        self.settings
            .min_suspicion_timeout
            .max(self.health.base_ack_timeout() * 4)
    }

    /// Whether no frame has been received for so long that this node itself may be at fault.
    pub(crate) fn is_isolated(&self, now: Duration) -> bool {
        let limit = self
            .min_suspicion_timeout()
            .max(self.settings.probe_interval * 2);
        self.last_heard
            .is_none_or(|heard| now.saturating_sub(heard) > limit)
    }

    /// Draws up to `count` distinct active members at random, without `excluded`.
    pub(crate) fn random_members(&mut self, count: usize, excluded: Option<&Name>) -> Vec<Name> {
        let mut drawn: Vec<Name> = Vec::with_capacity(count);
        let active = self.members.active();
        for _ in 0..count * DRAWS_PER_MEMBER {
            if drawn.len() == count || active.is_empty() {
                break;
            }
            let name = &active[self.random.below(active.len())];
            if Some(name) != excluded && !drawn.contains(name) {
                drawn.push(name.clone());
            }
        }
        drawn
    }

    /// Sends a frame to the known incarnation of a member, with this node's digest and as much gossip as fits.
    pub(crate) fn send(&mut self, name: &Name, mut frame: Frame) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        let to = member.address;
        let to_salt = member.incarnation.salt;
        frame.digest = self.digest().max(1);
        self.dissemination.piggyback(
            &mut frame,
            &self.local,
            &self.members,
            self.settings.max_frame_bytes,
        );
        self.actions.push(Action::Send { to, to_salt, frame });
    }

    /// Sends gossip to some members if a round is due.
    pub(crate) fn gossip(&mut self, now: Duration) {
        let Some(frames) = self
            .dissemination
            .begin_round(now, self.settings.gossip_interval)
        else {
            return;
        };
        for name in self.random_members(frames, None) {
            if !self.dissemination.is_idle() {
                self.send(&name, Frame::default());
            }
        }
    }
}
