//! Pings with their acks and nacks, and pings relayed for other members.

use super::probe_table::RelayedPing;
use super::{FailureDetector, UpdateSource};
use crate::name::Name;
use crate::node::Node;
use crate::update::MemberState;
use crate::wire::{Frame, FrameKind, Update};
use std::time::Duration;

impl FailureDetector {
    /// Handles an ack of this node's own probe, or of a ping that it relayed.
    pub(crate) fn handle_ack(
        &mut self,
        node: &mut Node,
        now: Duration,
        from: &Name,
        sequence: u64,
    ) {
        if let Some(relayed) = self.probes.take_relayed(sequence) {
            send_reply(node, &relayed.requester, FrameKind::Ack, relayed.sequence);
            return;
        }
        let Some(probe) = self.probes.finish_probe(sequence) else {
            self.handle_late_ack(node, now, from, sequence);
            return;
        };
        node.health.recover();
        if probe.target == *from {
            record_round_trip(node, from, now.saturating_sub(probe.sent_at));
        } else if let Some(member) = node.members.get_mut(&probe.target) {
            member.probes.unanswered += 1; // the ack came through another member
        }
    }

    /// Handles an ack that arrives after its probe has finished: it still measures the round trip.
    fn handle_late_ack(&mut self, node: &mut Node, now: Duration, from: &Name, sequence: u64) {
        let Some((target, sent_at)) = self.probes.take_finished_probe(sequence) else {
            return;
        };
        if target == *from {
            record_round_trip(node, from, now.saturating_sub(sent_at));
        }
    }

    /// Handles a nack: the member asked for an indirect probe got no ack.
    pub(crate) fn handle_nack(&mut self, sequence: u64) {
        self.probes.count_nack(sequence);
    }

    /// Pings a member on behalf of another member.
    pub(crate) fn handle_indirect_ping(
        &mut self,
        node: &mut Node,
        now: Duration,
        requester: &Name,
        frame: &Frame,
    ) {
        let target = frame.target.as_ref().and_then(Update::to_member_update);
        let Some(target) = target else {
            node.counters.invalid += 1;
            return;
        };
        if node.local.is_named(&target.name) {
            return;
        }
        self.apply_update(node, &target, now, UpdateSource::Gossip);
        let relayed = RelayedPing {
            requester: requester.clone(),
            sequence: frame.sequence,
            expires_at: now + node.health.ack_timeout(),
        };
        if let Some(sequence) = self.probes.add_relayed_ping(relayed) {
            send_ping(node, &target.name, sequence);
        }
    }

    /// Sends nacks for the relayed pings that got no ack in time.
    pub(super) fn send_nacks(&mut self, node: &mut Node, now: Duration) {
        for relayed in self.probes.take_expired_relayed(now) {
            send_reply(node, &relayed.requester, FrameKind::Nack, relayed.sequence);
        }
    }
}

/// Sends the ack of a ping.
pub(crate) fn send_ack(node: &mut Node, to: &Name, sequence: u64) {
    send_reply(node, to, FrameKind::Ack, sequence);
}

fn send_reply(node: &mut Node, to: &Name, kind: FrameKind, sequence: u64) {
    let frame = Frame {
        kind: kind as i32,
        sequence,
        ..Frame::default()
    };
    node.send(to, frame);
}

/// Pings a member. A ping to a suspected member carries the suspicion ahead of other gossip, so that the member can
/// refute it.
pub(super) fn send_ping(node: &mut Node, target: &Name, sequence: u64) {
    let suspicion = node
        .members
        .get(target)
        .filter(|member| member.state == MemberState::Suspect)
        .map(|member| Update::from(&member.update()));
    let frame = Frame {
        kind: FrameKind::Ping as i32,
        sequence,
        updates: suspicion.into_iter().collect(),
        ..Frame::default()
    };
    node.send(target, frame);
}

fn record_round_trip(node: &mut Node, name: &Name, round_trip: Duration) {
    node.health.record_round_trip(round_trip);
    if let Some(member) = node.members.get_mut(name) {
        let smoothed = member.round_trip;
        member.round_trip =
            Some(smoothed.map_or(round_trip, |smoothed| (smoothed * 7 + round_trip) / 8));
    }
}
