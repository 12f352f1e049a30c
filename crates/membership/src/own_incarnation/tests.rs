use super::{
    MAX_RECENT_NAME_CONFLICTS, NAME_CONFLICT_WINDOW, NextEpoch, OwnIncarnation, begin_incarnation,
};
use crate::incarnation::Incarnation;
use crate::local_node::LocalNode;
use crate::metadata::NodeMetadata;
use crate::name::Name;
use crate::node::Node;
use crate::settings::MembershipSettings;
use crate::update::{MemberState, MemberUpdate};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn node() -> Node {
    let local = LocalNode {
        name: Name::new("n0").expect("a valid name"),
        address: "127.0.0.1:7946".parse().expect("a valid address"),
        metadata: NodeMetadata::default(),
        seeds: Vec::new(),
    };
    let mut node = Node::new(MembershipSettings::default(), local, 1, SECOND);
    begin_incarnation(&mut node, NextEpoch(3));
    node
}

fn update(node: &Node, state: MemberState, refutation: u32) -> MemberUpdate {
    MemberUpdate {
        state,
        refutation,
        ..node.local.update()
    }
}

#[test]
fn refutes_a_suspicion_once() {
    let mut node = node();
    let mut own = OwnIncarnation::new();
    let suspicion = update(&node, MemberState::Suspect, 0);
    assert_eq!(own.handle_update(&mut node, &suspicion, SECOND), None);
    assert_eq!(own.handle_update(&mut node, &suspicion, SECOND), None);
    assert_eq!((node.local.refutation, node.counters.refutations), (1, 1));
    assert_eq!((node.health.score(), node.dissemination.queued()), (1, 1));
}

#[test]
fn ignores_updates_about_earlier_incarnations() {
    let mut node = node();
    let mut own = OwnIncarnation::new();
    let death = MemberUpdate {
        incarnation: Incarnation { epoch: 2, salt: 9 },
        ..update(&node, MemberState::Dead, 0)
    };
    assert_eq!(own.handle_update(&mut node, &death, SECOND), None);
    assert!(node.dissemination.is_idle());
}

#[test]
fn begins_a_new_incarnation_when_declared_dead() {
    let mut node = node();
    let mut own = OwnIncarnation::new();
    let death = update(&node, MemberState::Dead, 0);
    let next = own.handle_update(&mut node, &death, SECOND);
    assert_eq!(next, Some(NextEpoch(4)));
}

#[test]
fn begins_a_new_incarnation_after_a_pause_only() {
    let mut node = node();
    let own = OwnIncarnation::new();
    let gap = Duration::from_millis(400);
    assert_eq!(own.detect_pause(&mut node, SECOND * 2, gap), None);
    let next = own.detect_pause(&mut node, SECOND * 4, gap);
    assert_eq!((next, node.counters.pauses), (Some(NextEpoch(4)), 1));
}

#[test]
fn stops_sending_after_repeated_name_conflicts() {
    let mut node = node();
    let mut own = OwnIncarnation::new();
    let newer = MemberUpdate {
        incarnation: Incarnation { epoch: 7, salt: 9 },
        ..update(&node, MemberState::Alive, 0)
    };
    for _ in 0..MAX_RECENT_NAME_CONFLICTS {
        let next = own.handle_update(&mut node, &newer, SECOND);
        assert_eq!(next, Some(NextEpoch(8)));
        assert!(!own.is_silent(SECOND));
    }
    own.handle_update(&mut node, &newer, SECOND);
    assert!(own.is_silent(SECOND + NAME_CONFLICT_WINDOW));
    assert!(!own.is_silent(SECOND + NAME_CONFLICT_WINDOW * 3));
}
