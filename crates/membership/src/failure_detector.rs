//! SWIM's failure detector: periodic probes, indirect probes through other members, and suspicions that end by
//! refutation or expiry.

mod acks;
mod probe_table;
mod schedule;
mod suspicion;

use crate::digest::name_hash;
use crate::members::{Change, Member};
use crate::name::Name;
use crate::node::Node;
use crate::settings::InjectedBug;
use crate::update::{MemberState, MemberUpdate};
use crate::wire::{Frame, FrameKind, Update};
pub(crate) use acks::send_ack;
use acks::send_ping;
use probe_table::{Probe, ProbeTable};
use schedule::ProbeSchedule;
use std::time::Duration;

/// A probe timer that fires later than this counts as a sign that this node itself is slow.
const LATE_TIMER_THRESHOLD: Duration = Duration::from_millis(100);
/// The number of ack timeouts after which a probe fails; indirect probes begin after the first.
const ACK_TIMEOUTS_PER_PROBE: u32 = 3;
/// The most urgent probes that one tick begins.
const MAX_URGENT_PROBES_PER_TICK: usize = 4;
/// The most members suspected by this node that are scheduled for another probe at once.
const MAX_REPROBED_SUSPECTS: usize = MAX_URGENT_PROBES_PER_TICK * 4;
/// The mean number of members that probe a suspect immediately when they learn of the suspicion.
const MEAN_IMMEDIATE_PROBES: u32 = 6;

/// The source of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// A frame, or this node's own failure detector: the update is queued for gossip.
    Gossip,
    /// An anti-entropy exchange: the update is not gossiped, since other members that lack it get it the same way.
    AntiEntropy,
}

/// The failure detector.
pub(crate) struct FailureDetector {
    probes: ProbeTable,
    schedule: ProbeSchedule,
    /// Suspected members, in the order of the last update about each.
    suspects: Vec<Name>,
}

impl FailureDetector {
    pub(crate) fn new(now: Duration) -> Self {
        FailureDetector {
            probes: ProbeTable::default(),
            schedule: ProbeSchedule::new(now),
            suspects: Vec::new(),
        }
    }

    /// Restarts the failure detector for a new incarnation of this node. Suspicion timeouts restart too, since they may
    /// have run while the process was paused.
    pub(crate) fn restart(&mut self, node: &mut Node, now: Duration) {
        self.schedule.restart(now + node.settings.probe_interval);
        self.probes.clear();
        for name in &self.suspects {
            suspicion::restart_timeout(node, name, now);
        }
    }

    /// When the next regular probe or the next probe timeout is due.
    pub(crate) fn next_deadline(&self) -> Duration {
        let next = self.schedule.next_probe();
        self.probes
            .next_deadline()
            .map_or(next, |deadline| next.min(deadline))
    }

    /// Whether urgent probes are scheduled.
    pub(crate) fn has_urgent_probes(&self) -> bool {
        self.schedule.has_urgent()
    }

    /// Sends the probes that are due, and handles those that have failed.
    pub(crate) fn tick(&mut self, node: &mut Node, now: Duration) {
        self.send_regular_probe(node, now);
        self.send_urgent_probes(node, now);
        self.send_indirect_probes(node, now);
        self.send_nacks(node, now);
        for probe in self.probes.take_expired(now) {
            self.handle_failed_probe(node, &probe, now);
        }
        self.schedule_own_suspects(node);
    }

    /// Declares members dead whose suspicion has expired. Must be called only if this node has joined.
    pub(crate) fn expire_suspicions(&mut self, node: &mut Node, now: Duration) {
        if self.suspects.is_empty() || node.is_isolated(now) {
            return;
        }
        let expired = suspicion::expired(node, &self.suspects, now);
        for name in expired.heard_since {
            suspicion::restart_timeout(node, &name, now);
            self.schedule.add_urgent_first(name);
        }
        for update in expired.dead {
            node.counters.declared_dead += 1;
            self.apply_update(node, &update, now, UpdateSource::Gossip);
        }
    }

    /// Applies an update about another member to the member table, the probe schedule and the list of suspects.
    pub(crate) fn apply_update(
        &mut self,
        node: &mut Node,
        update: &MemberUpdate,
        now: Duration,
        source: UpdateSource,
    ) {
        let before = node.members.state(&update.name);
        let change = node.members.apply(update, now);
        match change {
            Change::Unchanged => return,
            Change::Rejected => {
                node.counters.capacity_rejections += 1;
                return;
            }
            Change::Added | Change::NewIncarnation | Change::Updated => {}
        }
        let after = node.members.state(&update.name);
        let is_new_suspect = before != after && after == Some(MemberState::Suspect);
        self.suspects.retain(|name| *name != update.name);
        if after == Some(MemberState::Suspect) {
            self.suspects.push(update.name.clone());
        }
        if source == UpdateSource::Gossip {
            node.dissemination.queue_member(update.name.clone());
        }
        if after.is_some_and(MemberState::is_active) {
            self.add_active_member(node, update, change);
        } else if before != after {
            log_inactive_member(node, update, after);
        }
        if source == UpdateSource::Gossip && is_new_suspect {
            self.maybe_probe_new_suspect(node, &update.name);
        }
    }

    /// Adds an active member that is new or in a new incarnation to the probe schedule, and logs it.
    fn add_active_member(&mut self, node: &mut Node, update: &MemberUpdate, change: Change) {
        let event = match change {
            Change::Added => "joined",
            Change::NewIncarnation => "rejoined",
            Change::Updated | Change::Unchanged | Change::Rejected => return,
        };
        node.log(format_args!(
            "member {} {event} in incarnation {}",
            update.name, update.incarnation
        ));
        self.schedule.insert(&mut node.random, update.name.clone());
    }

    /// Schedules an immediate probe of a new suspect with a probability of about [`MEAN_IMMEDIATE_PROBES`] divided by
    /// the number of active members: the sooner several members probe it, the sooner the suspicion is refuted or
    /// confirmed.
    fn maybe_probe_new_suspect(&mut self, node: &mut Node, suspect: &Name) {
        let active = node.members.active().len() as u32;
        if node.random.next_u32() % active.max(1) < MEAN_IMMEDIATE_PROBES {
            self.schedule.add_urgent(suspect.clone());
        }
    }

    fn send_regular_probe(&mut self, node: &mut Node, now: Duration) {
        let due = self.schedule.next_probe();
        if now < due {
            return;
        }
        if now.saturating_sub(due) > LATE_TIMER_THRESHOLD {
            node.health.degrade(1);
        }
        let interval = node.settings.probe_interval * (node.health.score() + 1);
        self.schedule.set_next_probe(now + interval);
        if let Some(target) = self.schedule.next_target(&node.members, &mut node.random) {
            self.probe(node, &target, now);
        }
    }

    fn send_urgent_probes(&mut self, node: &mut Node, now: Duration) {
        for _ in 0..MAX_URGENT_PROBES_PER_TICK {
            let Some(target) = self.schedule.next_urgent() else {
                return;
            };
            if node.members.state(&target) == Some(MemberState::Suspect) {
                self.probe(node, &target, now);
            }
        }
    }

    fn probe(&mut self, node: &mut Node, target: &Name, now: Duration) {
        let timeout = node.health.ack_timeout();
        let Some(member) = node.members.get_mut(target) else {
            return;
        };
        member.probes.sent += 1;
        let probe = Probe {
            target: target.clone(),
            incarnation: member.incarnation,
            sent_at: now,
            indirect_at: now + timeout,
            expires_at: now + timeout * ACK_TIMEOUTS_PER_PROBE,
            relay_count: 0,
            nacks: 0,
        };
        if let Some(sequence) = self.probes.add_probe(probe) {
            send_ping(node, target, sequence);
        }
    }

    fn send_indirect_probes(&mut self, node: &mut Node, now: Duration) {
        for (sequence, target) in self.probes.due_for_indirect_probes(now) {
            if node.injects(InjectedBug::NoIndirectProbes) {
                continue;
            }
            let Some(update) = node.members.get(&target).map(Member::update) else {
                continue;
            };
            let relays = node.random_members(node.settings.indirect_probes, Some(&target));
            self.probes.set_relay_count(sequence, relays.len());
            for relay in &relays {
                let request = Frame {
                    kind: FrameKind::IndirectPing as i32,
                    sequence,
                    target: Some(Update::from(&update)),
                    ..Frame::default()
                };
                node.send(relay, request);
            }
            // Pings the target again too, since the first ping may have been lost.
            send_ping(node, &target, sequence);
        }
    }

    /// Suspects the target of a probe that got neither a direct nor an indirect ack in time.
    fn handle_failed_probe(&mut self, node: &mut Node, probe: &Probe, now: Duration) {
        // Lifeguard: not even a nack arrived from the members asked for indirect probes, so this node may be slow or
        // partitioned.
        if probe.nacks == 0 && probe.relay_count > 0 {
            node.health.degrade(1);
        }
        let suspected_by = name_hash(&node.local.identity.name);
        let Some(member) = node.members.get_mut(&probe.target) else {
            return;
        };
        member.probes.unanswered += 1;
        if member.incarnation != probe.incarnation || !member.state.is_active() {
            return;
        }
        let mut update = member.update();
        update.suspected_by = suspected_by;
        if node.injects(InjectedBug::NoIndirectProbes) {
            update.state = MemberState::Dead;
            self.apply_update(node, &update, now, UpdateSource::Gossip);
            return;
        }
        // A node that receives no frames is more likely at fault itself, and must not declare the whole fleet dead.
        if node.is_isolated(now) {
            return;
        }
        if update.state == MemberState::Alive {
            node.counters.suspected += 1;
        }
        update.state = MemberState::Suspect;
        self.apply_update(node, &update, now, UpdateSource::Gossip);
    }

    /// Schedules the members that this node suspects for another probe, whose ping also notifies them of it.
    fn schedule_own_suspects(&mut self, node: &Node) {
        if self.schedule.has_urgent() {
            return;
        }
        let own_hash = name_hash(&node.local.identity.name);
        let own_suspects = self
            .suspects
            .iter()
            .filter(|name| suspicion::is_suspected_by(&node.members, name, own_hash))
            .take(MAX_REPROBED_SUSPECTS)
            .cloned();
        self.schedule.set_urgent(own_suspects.collect());
    }
}

fn log_inactive_member(node: &mut Node, update: &MemberUpdate, state: Option<MemberState>) {
    let event = if state == Some(MemberState::Left) {
        "left"
    } else {
        "is dead"
    };
    node.log(format_args!(
        "member {} {event} in incarnation {}",
        update.name, update.incarnation
    ));
}

#[cfg(test)]
mod tests;
