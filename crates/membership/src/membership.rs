//! The coordinator: hands each event to the parts of the protocol and collects their actions.
//!
//! A frame that names the salt of this incarnation was written after the incarnation began, since nobody could know the
//! salt before. So a replay, a delayed frame or one meant for an earlier process is recognised without a clock, and a node
//! has joined once such a frame arrives.

use crate::anti_entropy::{self, AntiEntropy};
use crate::counters::Counters;
use crate::event::{Action, Event, SyncStep};
use crate::failure_detector::{self, FailureDetector, Source};
use crate::incarnation::Incarnation;
use crate::joining::Joining;
use crate::local::LocalNode;
use crate::local_health::LocalHealth;
use crate::members::Member;
use crate::name::Name;
use crate::node::Node;
use crate::own_incarnation::{self, NextEpoch, OwnIncarnation};
use crate::settings::{InjectedBug, MembershipSettings};
use crate::status::MembershipStatus;
use crate::update::{MemberState, MemberUpdate};
use crate::values::PublishError;
use crate::wire::{Frame, FrameKind, METADATA_KEY, MemberValue, MetadataMessage, Update};
use prost::Message;
use std::rc::Rc;
use std::time::Duration;

/// Ticks come at least so often, so that a pause of the process is noticed.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Ticks are at least so far apart.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// A gap between events is a pause only beyond so many tick intervals.
const PAUSE_TICKS: u32 = 2;
/// Members that a node tells when it leaves.
const LEAVE_FAN_OUT: usize = 6;

/// A node's view of the fleet, and its part in the membership protocol.
pub struct Membership {
    node: Node,
    failure_detector: FailureDetector,
    joining: Joining,
    anti_entropy: AntiEntropy,
    own_incarnation: OwnIncarnation,
    leaving: bool,
}

impl Membership {
    /// Begins the first incarnation of a process. `epoch` is the last one in the state directory, 0 if there is none.
    /// `seed` must differ from start to start: incarnations are told apart by what is drawn from it.
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
        let metadata = MetadataMessage::from(&membership.node.local.node.metadata);
        // Metadata over the bound for values is not published; other members see it as empty.
        let _ = membership.publish(METADATA_KEY, &metadata.encode_to_vec(), now);
        membership
    }

    /// Handles an event and returns the actions to carry out, in order. `now` must not go back.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let max_gap = MAX_TICK_INTERVAL * PAUSE_TICKS;
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
                name,
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
            Event::Sync(step) if is_active => self.handle_sync(now, &step),
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

    /// This node's present incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.node.local.incarnation
    }

    /// This node's identity.
    pub fn local(&self) -> &LocalNode {
        &self.node.local.node
    }

    /// All other known members, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.node.members.iter()
    }

    /// Another member.
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

    /// This node's local health and its estimate of round trips.
    pub fn health(&self) -> &LocalHealth {
        &self.node.health
    }

    /// The number of updates and values queued for gossip.
    pub fn pending_updates(&self) -> usize {
        self.node.dissemination.queued()
    }

    /// The digest of all that is known of the active members; equal where two nodes know the same.
    pub fn digest(&self) -> u32 {
        self.node.digest()
    }

    /// Publishes a value of this node's own to the fleet.
    ///
    /// # Errors
    /// The key, the value or the number of values is over its bound; nothing is changed then.
    pub fn publish(&mut self, key: &str, bytes: &[u8], now: Duration) -> Result<(), PublishError> {
        let key: Rc<str> = key.into();
        if self.node.local.publish(&key, bytes)? {
            let name = self.node.local.node.name.clone();
            let last_event = self.node.last_event;
            self.node.dissemination.queue_value(name, key);
            self.node.dissemination.expedite(now.max(last_event));
        }
        Ok(())
    }

    /// Begins an incarnation: joins anew and drops what the failure detector has under way.
    fn begin_incarnation(&mut self, epoch: NextEpoch, now: Duration) {
        own_incarnation::begin_incarnation(&mut self.node, epoch);
        self.joining.restart(now);
        self.failure_detector.restart(&mut self.node, now);
        own_incarnation::announce(&mut self.node);
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
                .remove_inactive_since(now.saturating_sub(retention));
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

    // ---- Frames -----------------------------------------------------------------------------------

    /// Handles a frame. `sender` is what the envelope asserts of its sender.
    fn handle_frame(&mut self, now: Duration, sender: &MemberUpdate, to_salt: u32, frame: &Frame) {
        // A kind that only a newer build knows is handled for its gossip.
        let kind = FrameKind::try_from(frame.kind).unwrap_or(FrameKind::Gossip);
        if self.node.local.is_named(&sender.name) {
            self.handle_name_clash(now, sender);
            return;
        }
        if to_salt != self.node.local.incarnation.salt {
            self.handle_stale_frame(now, sender, to_salt, kind);
            return;
        }
        self.node.last_heard = Some(now);
        let (own_updates, other_updates) = self.valid_updates(frame);
        for update in &own_updates {
            self.handle_own_update(update, now);
        }
        if !self.joining.is_joined() && to_salt == self.node.local.incarnation.salt {
            self.complete_joining(now, sender);
        }
        if self.rejects_ended_sender(now, sender) {
            return;
        }
        self.apply(sender, now, Source::Gossip);
        if let Some(member) = self.node.members.get_mut(&sender.name) {
            member.last_heard = Some(now);
        }
        for update in &other_updates {
            self.apply(update, now, Source::Gossip);
        }
        self.apply_values(&frame.values, Source::Gossip);
        self.handle_kind(now, sender, kind, frame);
        self.anti_entropy
            .compare_digest(&mut self.node, now, sender, frame.digest);
    }

    /// A frame under this node's own name: its own, or another process's.
    fn handle_name_clash(&mut self, now: Duration, sender: &MemberUpdate) {
        self.node.counters.name_conflicts += 1;
        if sender.incarnation != self.node.local.incarnation {
            self.handle_own_update(sender, now);
        }
    }

    /// A frame that does not name this incarnation. Its content is not believed, since it may be older than the
    /// incarnation; the sender is told of the present one.
    fn handle_stale_frame(
        &mut self,
        now: Duration,
        sender: &MemberUpdate,
        to_salt: u32,
        kind: FrameKind,
    ) {
        if to_salt == 0 {
            self.node.counters.from_strangers += 1;
        } else {
            self.node.counters.to_earlier_incarnation += 1;
        }
        let expects_welcome = to_salt != 0 || kind == FrameKind::Join;
        if expects_welcome && kind != FrameKind::Welcome {
            self.joining.send_welcome(&mut self.node, now, sender);
        }
    }

    /// The valid updates of a frame: those about this node, and those about others.
    fn valid_updates(&mut self, frame: &Frame) -> (Vec<MemberUpdate>, Vec<MemberUpdate>) {
        let updates: Vec<MemberUpdate> = frame
            .updates
            .iter()
            .filter_map(Update::to_member_update)
            .collect();
        self.node.counters.invalid += (frame.updates.len() - updates.len()) as u64;
        updates
            .into_iter()
            .partition(|update| self.node.local.is_named(&update.name))
    }

    fn complete_joining(&mut self, now: Duration, sender: &MemberUpdate) {
        self.joining.complete();
        let incarnation = self.node.local.incarnation;
        self.node.log(format_args!(
            "was answered by {} in incarnation {incarnation}",
            sender.name
        ));
        self.anti_entropy
            .begin_exchange(&mut self.node, now, &sender.name, sender.address);
    }

    /// Whether the sender's incarnation has ended. Nothing that it sends is believed until it comes in a new one, and it
    /// is told so.
    fn rejects_ended_sender(&mut self, now: Duration, sender: &MemberUpdate) -> bool {
        let known = self
            .node
            .members
            .get(&sender.name)
            .filter(|member| member.has_ended(sender.incarnation))
            .map(|member| Update::from(&member.update()));
        let Some(known) = known else {
            return false;
        };
        self.node.counters.from_ended_incarnation += 1;
        self.joining.send_ended(&mut self.node, now, sender, known);
        true
    }

    fn handle_kind(
        &mut self,
        now: Duration,
        sender: &MemberUpdate,
        kind: FrameKind,
        frame: &Frame,
    ) {
        let node = &mut self.node;
        let detector = &mut self.failure_detector;
        match kind {
            FrameKind::Ping => failure_detector::send_ack(node, &sender.name, frame.sequence),
            FrameKind::Ack => detector.handle_ack(node, now, &sender.name, frame.sequence),
            FrameKind::Nack => detector.handle_nack(frame.sequence),
            FrameKind::IndirectPing => {
                detector.handle_indirect_ping(node, now, &sender.name, frame);
            }
            FrameKind::Join | FrameKind::Welcome | FrameKind::Gossip => {}
        }
    }

    // ---- Anti-entropy -----------------------------------------------------------------------------

    fn handle_sync(&mut self, now: Duration, step: &SyncStep) {
        if self.node.local.is_named(&step.name) {
            return;
        }
        let sender = self.node.members.get(&step.name);
        if sender.is_some_and(|member| member.has_ended(step.incarnation)) {
            self.node.counters.from_ended_incarnation += 1;
            return;
        }
        if !self.anti_entropy.admits(&step.message, now) {
            self.node.counters.rate_limited_replies += 1;
            return;
        }
        let (updates, invalid) = anti_entropy::updates(&step.message);
        self.node.counters.invalid += invalid as u64;
        let digest_before = self.node.digest();
        for update in &updates {
            if self.node.local.is_named(&update.name) {
                self.handle_own_update(update, now);
            } else {
                self.apply(update, now, Source::AntiEntropy);
            }
        }
        self.apply_values(&step.message.values, Source::AntiEntropy);
        if self.node.digest() != digest_before {
            self.node.counters.productive_syncs += 1;
        }
        self.anti_entropy.answer(&mut self.node, now, step);
    }

    // ---- Updates ----------------------------------------------------------------------------------

    /// An update about this node itself.
    fn handle_own_update(&mut self, update: &MemberUpdate, now: Duration) {
        let next = self
            .own_incarnation
            .handle_update(&mut self.node, update, now);
        if let Some(epoch) = next {
            self.begin_incarnation(epoch, now);
        }
    }

    fn apply(&mut self, update: &MemberUpdate, now: Duration, source: Source) {
        self.failure_detector
            .apply_update(&mut self.node, update, now, source);
    }

    fn apply_values(&mut self, values: &[MemberValue], source: Source) {
        for value in values {
            let Some((name, incarnation, value)) = value.to_value() else {
                self.node.counters.invalid += 1;
                continue;
            };
            // This node alone knows what it publishes.
            if self.node.local.is_named(&name) {
                continue;
            }
            let key = value.key.clone();
            let is_new = self.node.members.store_value(&name, incarnation, value);
            if is_new && source == Source::Gossip {
                self.node.dissemination.queue_value(name, key);
            }
        }
    }
}
