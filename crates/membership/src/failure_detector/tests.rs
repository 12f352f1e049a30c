use super::probe_table::{Probe, ProbeTable, RelayedPing};
use super::schedule::ProbeSchedule;
use super::{FailureDetector, UpdateSource, suspicion};
use crate::event::Action;
use crate::incarnation::Incarnation;
use crate::local_node::LocalNode;
use crate::members::Members;
use crate::metadata::NodeMetadata;
use crate::name::Name;
use crate::node::Node;
use crate::random::Random;
use crate::settings::MembershipSettings;
use crate::update::{MemberState, MemberUpdate};
use crate::wire::FrameKind;
use std::collections::BTreeSet;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn name(number: u32) -> Name {
    Name::new(&format!("n{number}")).expect("a valid name")
}

fn update(number: u32, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        name: name(number),
        address: "127.0.0.1:7946".parse().expect("a valid address"),
        incarnation: Incarnation { epoch: 1, salt: 1 },
        refutation: 0,
        state,
        suspected_by: number + 1,
    }
}

/// A node that knows `others` active members and has just received a frame from one.
fn node(others: u32) -> (Node, FailureDetector) {
    let local = LocalNode {
        name: name(0),
        address: "127.0.0.1:7946".parse().expect("a valid address"),
        metadata: NodeMetadata::default(),
        seeds: Vec::new(),
    };
    let mut node = Node::new(MembershipSettings::default(), local, 1, Duration::ZERO);
    let mut detector = FailureDetector::new(Duration::ZERO);
    for number in 1..=others {
        let update = update(number, MemberState::Alive);
        detector.apply_update(&mut node, &update, Duration::ZERO, UpdateSource::Gossip);
    }
    node.last_heard = Some(Duration::ZERO);
    node.actions.clear();
    (node, detector)
}

fn sent_kinds(node: &mut Node) -> Vec<i32> {
    let actions = std::mem::take(&mut node.actions);
    let kinds = actions.iter().filter_map(|action| match action {
        Action::Send { frame, .. } => Some(frame.kind),
        Action::Sync { .. } | Action::StoreIncarnation(_) | Action::Log(_) => None,
    });
    kinds.collect()
}

fn probe(target: u32) -> Probe {
    Probe {
        target: name(target),
        incarnation: Incarnation { epoch: 1, salt: 1 },
        sent_at: Duration::ZERO,
        indirect_at: MS * 100,
        expires_at: MS * 300,
        relay_count: 0,
        nacks: 0,
    }
}

#[test]
fn probe_table_allows_one_outstanding_probe_per_target() {
    let mut table = ProbeTable::default();
    assert_eq!(table.add_probe(probe(1)), Some(1));
    assert_eq!(table.add_probe(probe(1)), None);
    assert_eq!(table.add_probe(probe(2)), Some(2));
    assert!(table.finish_probe(1).is_some());
    assert_eq!(table.add_probe(probe(1)), Some(3));
}

#[test]
fn indirect_probes_are_due_once_and_only_before_the_probe_fails() {
    let mut table = ProbeTable::default();
    table.add_probe(probe(1));
    assert!(table.due_for_indirect_probes(MS * 99).is_empty());
    assert_eq!(table.due_for_indirect_probes(MS * 100).len(), 1);
    assert!(table.due_for_indirect_probes(MS * 101).is_empty());
    assert_eq!(table.next_deadline(), Some(MS * 300));
    assert_eq!(table.take_expired(MS * 300).len(), 1);
    assert_eq!(
        table.take_finished_probe(1),
        Some((name(1), Duration::ZERO))
    );
    assert_eq!(table.take_finished_probe(1), None);
}

#[test]
fn relayed_pings_expire_once() {
    let mut table = ProbeTable::default();
    let relayed = RelayedPing {
        requester: name(1),
        sequence: 9,
        expires_at: MS * 100,
    };
    table.add_relayed_ping(relayed);
    assert!(table.take_expired_relayed(MS * 99).is_empty());
    assert_eq!(table.take_expired_relayed(MS * 100).len(), 1);
    assert!(table.take_relayed(1).is_none());
}

#[test]
fn each_round_probes_every_active_member_once() {
    let mut members = Members::new(16);
    for number in 1..=8 {
        members.apply(&update(number, MemberState::Alive), Duration::ZERO);
    }
    members.apply(&update(8, MemberState::Dead), Duration::ZERO);
    let mut random = Random::new(1);
    let mut schedule = ProbeSchedule::new(Duration::ZERO);
    for _ in 0..3 {
        let round: BTreeSet<_> = (0..7)
            .filter_map(|_| schedule.next_target(&members, &mut random))
            .collect();
        assert_eq!(round, (1..8).map(name).collect());
    }
}

#[test]
fn confirmations_shorten_the_suspicion_timeout_down_to_the_minimum() {
    let (mut node, _) = node(10);
    let timeouts: Vec<_> = (0..=4)
        .map(|count| suspicion::timeout(&node, count))
        .collect();
    let min = node.min_suspicion_timeout();
    assert_eq!((timeouts[0], timeouts[3], timeouts[4]), (min * 3, min, min));
    assert!(timeouts.is_sorted_by(|a, b| a >= b), "{timeouts:?}");
    node.health.degrade(1);
    assert_eq!(suspicion::timeout(&node, 3), min * 2);
}

#[test]
fn probe_without_ack_starts_indirect_probes_then_suspects() {
    let (mut node, mut detector) = node(4);
    detector.tick(&mut node, Duration::ZERO);
    assert_eq!(sent_kinds(&mut node), [FrameKind::Ping as i32]);
    detector.tick(&mut node, MS * 100);
    let indirect = FrameKind::IndirectPing as i32;
    let expected = [indirect, indirect, indirect, FrameKind::Ping as i32];
    assert_eq!(sent_kinds(&mut node), expected);
    node.last_heard = Some(MS * 300);
    detector.tick(&mut node, MS * 300);
    assert_eq!((detector.suspects.len(), node.counters.suspected), (1, 1));
}

#[test]
fn isolated_node_suspects_nobody() {
    let (mut node, mut detector) = node(4);
    detector.tick(&mut node, Duration::ZERO);
    node.last_heard = None;
    detector.tick(&mut node, MS * 300);
    assert!(detector.suspects.is_empty());
}

#[test]
fn expired_suspicion_declares_dead_unless_a_frame_was_received() {
    let (mut node, mut detector) = node(4);
    for number in [1, 2] {
        let suspicion = update(number, MemberState::Suspect);
        detector.apply_update(
            &mut node,
            &suspicion,
            Duration::ZERO,
            UpdateSource::AntiEntropy,
        );
    }
    let late = MS * 3_000;
    node.last_heard = Some(late);
    let heard = node.members.get_mut(&name(1)).expect("a known member");
    heard.last_heard = Some(late);
    detector.expire_suspicions(&mut node, late);
    assert_eq!(node.members.state(&name(1)), Some(MemberState::Suspect));
    assert_eq!(node.members.state(&name(2)), Some(MemberState::Dead));
    assert_eq!(node.counters.declared_dead, 1);
}
