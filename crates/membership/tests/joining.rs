//! Joining the fleet.

mod common;

use common::{Fleet, SECOND};
use sillward_membership::{MemberState, MembershipStatus};

#[test]
fn members_started_at_once_learn_of_each_other() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(12, seed);
        fleet.run_until_agreed(SECOND * 10);
        // The metadata must arrive too.
        fleet.run(SECOND * 6);
        for node in &fleet.nodes {
            let membership = node.membership.as_ref().expect("the node runs");
            assert!(
                membership
                    .members()
                    .all(|member| !member.metadata.zone.is_empty()),
                "{}: a zone is missing",
                node.name
            );
        }
    }
}

/// Active members send joins to dead ones, so that a restarted member joins although no seed is up.
#[test]
fn restarted_member_is_found_when_all_seeds_are_dead() {
    let mut fleet = Fleet::new(6, 51);
    fleet.run_until_agreed(SECOND * 10);
    fleet.kill(0);
    fleet.kill(1);
    fleet.kill(5);
    fleet.run(SECOND * 10);
    assert_eq!(
        (fleet.state_of(2, 0), fleet.state_of(2, 5)),
        (Some(MemberState::Dead), Some(MemberState::Dead))
    );
    fleet.start(5);
    let elapsed = fleet.run_until_agreed(SECOND * 20);
    println!("joined after {elapsed:?} without a seed");
}

#[test]
fn node_stays_joining_while_seeds_are_unreachable() {
    let mut fleet = Fleet::new(1, 6);
    fleet.run(SECOND * 10);
    let membership = fleet.membership(0);
    assert_eq!(membership.status(fleet.now), MembershipStatus::Joining);
    assert!(
        fleet.nodes[0].sent < 20,
        "{} frames sent to unreachable seeds",
        fleet.nodes[0].sent
    );
}
