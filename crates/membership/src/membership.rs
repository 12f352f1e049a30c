//! The entry point of the protocol: dispatches each event to the parts of the protocol and collects their actions.
//!
//! A frame addressed to the salt of the current incarnation was written after the incarnation began, since no other
//! member could know the salt before. A replayed frame, a delayed one, or one addressed to an earlier process is thus
//! recognised without a clock; and a node has joined once it receives a frame addressed to its incarnation.

mod receive;

use crate::anti_entropy::AntiEntropy;
use crate::counters::Counters;
use crate::event::{Action, Event};
use crate::failure_detector::FailureDetector;
use crate::incarnation::Incarnation;
use crate::joining::Joining;
use crate::local_health::LocalHealth;
use crate::local_node::LocalNode;
use crate::members::Member;
use crate::name::Name;
use crate::node::Node;
use crate::own_incarnation::{self, NextEpoch, OwnIncarnation};
use crate::settings::{InjectedBug, MembershipSettings};
use crate::status::MembershipStatus;
use crate::update::{MemberState, MemberUpdate};
use crate::values::PublishError;
use crate::wire::{Frame, METADATA_KEY, MetadataMessage, Update};
use prost::Message;
use std::rc::Rc;
use std::time::Duration;

/// The longest time between ticks, short enough that a pause of the process is detected.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest time between ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// The number of tick intervals that a gap between events must exceed to count as a pause.
const PAUSE_TICK_INTERVALS: u32 = 2;
/// The number of members that a node notifies when it leaves.
const LEAVE_FAN_OUT: usize = 6;

/// A node's view of the fleet, and its state of the membership protocol.
pub struct Membership {
    node: Node,
    failure_detector: FailureDetector,
    joining: Joining,
    anti_entropy: AntiEntropy,
    own_incarnation: OwnIncarnation,
    leaving: bool,
}

impl Membership {
    /// Begins the first incarnation of a process. `epoch` is the last epoch stored in the state directory, or 0 if
    /// there is none. `seed` must differ at each start, since the salts that distinguish incarnations are drawn from
    /// it.
    pub fn new(
        settings: MembershipSettings,
        local: LocalNode,
        epoch: u32,
        seed: u64,
        now: Duration,
    ) -> Self {
        let mut membership = Membership {
            node: Node::new(settings, local, seed, now),
            failure_detector: FailureDetector::new(now),
            joining: Joining::new(now),
            anti_entropy: AntiEntropy::new(now),
            own_incarnation: OwnIncarnation::new(),
            leaving: false,
        };
        let epoch = if membership.node.injects(InjectedBug::ReusedIncarnation) {
            NextEpoch(epoch.max(1))
        } else {
            NextEpoch::after(epoch)
        };
        membership.begin_incarnation(epoch, now);
        let metadata = MetadataMessage::from(&membership.node.local.identity.metadata);
        // Metadata that exceeds the maximum size of a value is not published, and is empty for other members.
        let _ = membership.publish(METADATA_KEY, &metadata.encode_to_vec(), now);
        membership
    }

    /// Handles an event; returns the actions to carry out, in order. `now` must never decrease.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let max_gap = MAX_TICK_INTERVAL * PAUSE_TICK_INTERVALS;
        if let Some(epoch) = self
            .own_incarnation
            .detect_pause(&mut self.node, now, max_gap)
        {
            self.begin_incarnation(epoch, now);
        }
        let is_active = !self.own_incarnation.is_silent(now) && !self.leaving;
        match event {
            Event::Tick if is_active => self.tick(now),
            Event::Frame {
                sender: name,
                address,
                incarnation,
                to_salt,
                frame,
            } if is_active => {
                let sender = MemberUpdate {
                    name,
                    address,
                    incarnation,
                    refutation: 0,
                    state: MemberState::Alive,
                    suspected_by: 0,
                };
                self.handle_frame(now, &sender, to_salt, &frame);
            }
            Event::Sync(received) if is_active => self.handle_sync(now, &received),
            Event::Tick | Event::Frame { .. } | Event::Sync(_) => {}
            Event::Leave => self.leave(),
        }
        std::mem::take(&mut self.node.actions)
    }

    /// When the next [`Event::Tick`] is due.
    pub fn next_deadline(&self) -> Duration {
        let last_event = self.node.last_event;
        let mut next = last_event + MAX_TICK_INTERVAL;
        if !self.own_incarnation.is_silent(last_event) {
            next = next
                .min(self.failure_detector.next_deadline())
                .min(self.joining.next_deadline());
            let dissemination = &self.node.dissemination;
            if !dissemination.is_idle() || self.failure_detector.has_urgent_probes() {
                next = next.min(dissemination.next_round());
            }
        }
        next.max(last_event + MIN_TICK_INTERVAL)
    }

    /// The status of this node's membership.
    pub fn status(&self, now: Duration) -> MembershipStatus {
        if self.own_incarnation.is_silent(now) {
            MembershipStatus::NameConflict
        } else if !self.joining.is_joined() {
            MembershipStatus::Joining
        } else if self.node.is_isolated(now) {
            MembershipStatus::Isolated
        } else {
            MembershipStatus::Joined
        }
    }

    /// This node's current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.node.local.incarnation
    }

    /// This node's identity.
    pub fn local_node(&self) -> &LocalNode {
        &self.node.local.identity
    }

    /// All other known members, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.node.members.iter()
    }

    /// Another member, if it is known.
    pub fn member(&self, name: &Name) -> Option<&Member> {
        self.node.members.get(name)
    }

    /// The number of other active members.
    pub fn active_count(&self) -> usize {
        self.node.members.active().len()
    }

    /// The counters since the process started.
    pub fn counters(&self) -> Counters {
        self.node.counters
    }

    /// This node's local health score and round-trip estimate.
    pub fn health(&self) -> &LocalHealth {
        &self.node.health
    }

    /// The number of updates and values queued for gossip.
    pub fn pending_updates(&self) -> usize {
        self.node.dissemination.queued()
    }

    /// The digest of the incarnations and values of all active members. It is equal on nodes whose member tables agree.
    pub fn digest(&self) -> u32 {
        self.node.digest()
    }

    /// Publishes a value of this node to the fleet.
    ///
    /// # Errors
    /// Returns an error, and changes nothing, if the key, the value or the number of values exceeds its limit.
    pub fn publish(&mut self, key: &str, bytes: &[u8], now: Duration) -> Result<(), PublishError> {
        let key: Rc<str> = key.into();
        if self.node.local.publish(&key, bytes)? {
            let name = self.node.local.identity.name.clone();
            let last_event = self.node.last_event;
            self.node.dissemination.queue_value(name, key);
            self.node.dissemination.expedite(now.max(last_event));
        }
        Ok(())
    }

    /// Begins an incarnation: joins again, and restarts the failure detector without its outstanding probes.
    fn begin_incarnation(&mut self, epoch: NextEpoch, now: Duration) {
        own_incarnation::begin_incarnation(&mut self.node, epoch);
        self.joining.restart(now);
        self.failure_detector.restart(&mut self.node, now);
        own_incarnation::queue_own_state(&mut self.node);
        let incarnation = self.node.local.incarnation;
        self.node
            .actions
            .push(Action::StoreIncarnation(incarnation));
    }

    fn tick(&mut self, now: Duration) {
        self.joining.tick(&mut self.node, now);
        self.node.gossip(now);
        self.failure_detector.tick(&mut self.node, now);
        if self.joining.is_joined() {
            self.failure_detector.expire_suspicions(&mut self.node, now);
        }
        if !self.node.injects(InjectedBug::DeadKeptForever) {
            let retention = self.node.settings.dead_retention;
            self.node
                .members
                .remove_inactive_before(now.saturating_sub(retention));
        }
    }

    fn leave(&mut self) {
        self.leaving = true;
        let update = MemberUpdate {
            state: MemberState::Left,
            ..self.node.local.update()
        };
        for name in self.node.random_members(LEAVE_FAN_OUT, None) {
            let frame = Frame {
                updates: vec![Update::from(&update)],
                ..Frame::default()
            };
            self.node.send(&name, frame);
        }
    }
}
