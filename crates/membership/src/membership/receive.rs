//! Received frames and anti-entropy messages: checks whether their content may be used, applies it, and dispatches them
//! to the parts of the protocol.

use super::Membership;
use crate::anti_entropy;
use crate::event::ReceivedSync;
use crate::failure_detector::{self, UpdateSource};
use crate::update::MemberUpdate;
use crate::wire::{Frame, FrameKind, MemberValue, Update};
use std::time::Duration;

impl Membership {
    /// Handles a frame. `sender` is the state of the sender as its envelope asserts it.
    pub(super) fn handle_frame(
        &mut self,
        now: Duration,
        sender: &MemberUpdate,
        to_salt: u32,
        frame: &Frame,
    ) {
        // A frame of a kind that only newer builds know is still used for the gossip it carries.
        let kind = FrameKind::try_from(frame.kind).unwrap_or(FrameKind::Gossip);
        if self.node.local.is_named(&sender.name) {
            self.handle_own_name(now, sender);
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
        if self.reject_ended_sender(now, sender) {
            return;
        }
        self.apply(sender, now, UpdateSource::Gossip);
        if let Some(member) = self.node.members.get_mut(&sender.name) {
            member.last_heard = Some(now);
        }
        for update in &other_updates {
            self.apply(update, now, UpdateSource::Gossip);
        }
        self.apply_values(&frame.values, UpdateSource::Gossip);
        self.dispatch_frame(now, sender, kind, frame);
        self.anti_entropy
            .compare_digest(&mut self.node, now, sender, frame.digest);
    }

    /// Handles a frame whose sender has this node's name: this node itself, or another process.
    fn handle_own_name(&mut self, now: Duration, sender: &MemberUpdate) {
        self.node.counters.name_conflicts += 1;
        if sender.incarnation != self.node.local.incarnation {
            self.handle_own_update(sender, now);
        }
    }

    /// Handles a frame that is not addressed to the current incarnation. Its content is not used, since it may be older
    /// than the incarnation; instead, the sender is notified of the current incarnation.
    fn handle_stale_frame(
        &mut self,
        now: Duration,
        sender: &MemberUpdate,
        to_salt: u32,
        kind: FrameKind,
    ) {
        if to_salt == 0 {
            self.node.counters.to_unknown_incarnation += 1;
        } else {
            self.node.counters.to_earlier_incarnation += 1;
        }
        let expects_welcome = to_salt != 0 || kind == FrameKind::Join;
        if expects_welcome && kind != FrameKind::Welcome {
            self.joining.send_welcome(&mut self.node, now, sender);
        }
    }

    /// Returns the valid updates of a frame: those about this node, then those about others.
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
        self.joining.mark_joined();
        let incarnation = self.node.local.incarnation;
        self.node.log(format_args!(
            "joined the fleet through member {} in incarnation {incarnation}",
            sender.name
        ));
        self.anti_entropy
            .begin_exchange(&mut self.node, now, &sender.name, sender.address);
    }

    /// Notifies a sender whose incarnation has ended, so that it begins a new one; returns whether it has ended. Its
    /// frames are then used only for updates about this node.
    fn reject_ended_sender(&mut self, now: Duration, sender: &MemberUpdate) -> bool {
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
        self.joining
            .notify_ended_incarnation(&mut self.node, now, sender, known);
        true
    }

    fn dispatch_frame(
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

    pub(super) fn handle_sync(&mut self, now: Duration, received: &ReceivedSync) {
        if self.node.local.is_named(&received.sender) {
            return;
        }
        let sender = self.node.members.get(&received.sender);
        if sender.is_some_and(|member| member.has_ended(received.incarnation)) {
            self.node.counters.from_ended_incarnation += 1;
            return;
        }
        if !self.anti_entropy.accepts(&received.message, now) {
            self.node.counters.rate_limited_responses += 1;
            return;
        }
        let (updates, invalid) = anti_entropy::valid_updates(&received.message);
        self.node.counters.invalid += invalid as u64;
        let digest_before = self.node.digest();
        for update in &updates {
            if self.node.local.is_named(&update.name) {
                self.handle_own_update(update, now);
            } else {
                self.apply(update, now, UpdateSource::AntiEntropy);
            }
        }
        self.apply_values(&received.message.values, UpdateSource::AntiEntropy);
        if self.node.digest() != digest_before {
            self.node.counters.productive_sync_messages += 1;
        }
        self.anti_entropy.respond(&mut self.node, now, received);
    }

    /// Handles an update about this node itself.
    fn handle_own_update(&mut self, update: &MemberUpdate, now: Duration) {
        let next = self
            .own_incarnation
            .handle_update(&mut self.node, update, now);
        if let Some(epoch) = next {
            self.begin_incarnation(epoch, now);
        }
    }

    fn apply(&mut self, update: &MemberUpdate, now: Duration, source: UpdateSource) {
        self.failure_detector
            .apply_update(&mut self.node, update, now, source);
    }

    fn apply_values(&mut self, values: &[MemberValue], source: UpdateSource) {
        for value in values {
            let Some((name, incarnation, value)) = value.to_value() else {
                self.node.counters.invalid += 1;
                continue;
            };
            // This node is the only authority on its own values.
            if self.node.local.is_named(&name) {
                continue;
            }
            let key = value.key.clone();
            let is_new = self.node.members.store_value(&name, incarnation, value);
            if is_new && source == UpdateSource::Gossip {
                self.node.dissemination.queue_value(name, key);
            }
        }
    }
}
