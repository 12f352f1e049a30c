//! The state that all parts of the protocol share: this node, the members it knows, and the frames on their way out.

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

/// Draws per wanted member before [`Node::random_members`] returns fewer.
const DRAWS_PER_MEMBER: usize = 3;

/// The shared state.
pub(crate) struct Node {
    pub(crate) settings: MembershipSettings,
    pub(crate) local: LocalState,
    pub(crate) members: Members,
    pub(crate) dissemination: Dissemination,
    pub(crate) health: LocalHealth,
    pub(crate) random: Random,
    pub(crate) counters: Counters,
    /// When the last event of any incarnation was handled.
    pub(crate) last_event: Duration,
    /// When the last frame addressed to this incarnation was received.
    pub(crate) last_heard: Option<Duration>,
    /// Outputs of the event that is being handled.
    pub(crate) actions: Vec<Action>,
}

impl Node {
    /// A node that has not begun its first incarnation.
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

    /// The digest of all that is known of the active members, this node among them.
    pub(crate) fn digest(&self) -> u32 {
        self.members.digest() ^ self.local.digest()
    }

    pub(crate) fn injects(&self, bug: InjectedBug) -> bool {
        self.settings.injects(bug)
    }

    pub(crate) fn log(&mut self, line: fmt::Arguments<'_>) {
        self.actions.push(Action::Log(line.to_string()));
    }

    /// The shortest time between a suspicion and its expiry, given how long acks take.
    pub(crate) fn min_suspicion_timeout(&self) -> Duration {
        self.settings
            .min_suspicion_timeout
            .max(self.health.base_ack_timeout() * 4)
    }

    /// Whether no frame has been received for so long that the fault may be this node's own.
    pub(crate) fn is_isolated(&self, now: Duration) -> bool {
        let limit = self
            .min_suspicion_timeout()
            .max(self.settings.probe_interval * 2);
        self.last_heard
            .is_none_or(|heard| now.saturating_sub(heard) > limit)
    }

    /// Up to `count` different active members but `except`, drawn at random.
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

    /// Sends a frame of gossip to some members, if a round is due.
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
