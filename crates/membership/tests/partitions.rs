//! Partitions: the member states on both sides, and the traffic after healing.

mod common;

use common::{Fleet, SECOND};
use sillward_membership::{MemberState, MembershipStatus};
use std::time::Duration;

#[test]
fn partition_heals_without_a_burst_of_frames() {
    let mut fleet = Fleet::new(12, 3);
    fleet.run_until_agreed(SECOND * 10);
    let baseline = frames_sent_in(&mut fleet, SECOND * 10);
    for a in 0..4 {
        for b in 4..12 {
            fleet.blocked_links.extend([(a, b), (b, a)]);
        }
    }
    fleet.run(SECOND * 20);
    assert_eq!(fleet.state_of(0, 5), Some(MemberState::Dead));
    assert_eq!(fleet.state_of(5, 0), Some(MemberState::Dead));
    assert_eq!(
        fleet.state_of(5, 6),
        Some(MemberState::Alive),
        "each side keeps its own members alive"
    );
    fleet.blocked_links.clear();
    let before: usize = fleet.nodes.iter().map(|node| node.sent).sum();
    let took = fleet.run_until_agreed(SECOND * 15);
    fleet.run(SECOND * 15 - took);
    let after: usize = fleet.nodes.iter().map(|node| node.sent).sum();
    assert!(
        (after - before) * 10 < baseline * 15 * 6,
        "{} frames in 15 s after healing, {baseline} in 10 s before the partition",
        after - before
    );
}

fn frames_sent_in(fleet: &mut Fleet, time: Duration) -> usize {
    let before: usize = fleet.nodes.iter().map(|node| node.sent).sum();
    fleet.run(time);
    fleet.nodes.iter().map(|node| node.sent).sum::<usize>() - before
}

#[test]
fn only_running_node_is_isolated_and_declares_nobody_dead() {
    let mut fleet = Fleet::new(8, 5);
    fleet.run_until_agreed(SECOND * 10);
    (1..8).for_each(|i| fleet.kill(i));
    fleet.run(SECOND * 30);
    let membership = fleet.membership(0);
    assert_eq!(membership.status(fleet.now), MembershipStatus::Isolated);
    assert!(
        membership
            .members()
            .all(|member| member.state != MemberState::Dead)
    );
    // The seeds stay dead; the other members restart and must learn of each other all the same.
    (2..8).for_each(|i| fleet.start(i));
    fleet.run(SECOND * 10);
    let known = |by: usize| {
        let membership = fleet.membership(by);
        membership
            .members()
            .filter(|member| member.state == MemberState::Alive)
            .count()
    };
    assert!(
        (2..8).all(|i| known(i) == 6),
        "{:?}",
        (2..8).map(known).collect::<Vec<_>>()
    );
}

/// Guards against a node that can send but not receive, and therefore declares all others dead.
#[test]
fn node_that_receives_nothing_declares_nobody_dead() {
    (8..18).for_each(check_receiving_nothing);
}

fn check_receiving_nothing(seed: u64) {
    let mut fleet = Fleet::new(8, seed);
    fleet.run_until_agreed(SECOND * 10);
    for other in 0..8 {
        fleet.blocked_links.insert((other, 6));
    }
    fleet.run(SECOND * 30);
    let incarnations = |fleet: &Fleet| {
        fleet
            .nodes
            .iter()
            .map(|n| {
                n.membership
                    .as_ref()
                    .expect("the node runs")
                    .counters()
                    .incarnations
            })
            .sum::<u64>()
    };
    assert_eq!(
        incarnations(&fleet) - fleet.membership(6).counters().incarnations,
        7
    );
    assert_eq!(
        fleet.membership(6).status(fleet.now),
        MembershipStatus::Isolated
    );
    for by in (0..8).filter(|i| *i != 6) {
        for of in (0..8).filter(|i| *i != 6 && *i != by) {
            assert_eq!(fleet.state_of(by, of), Some(MemberState::Alive));
        }
    }
}

/// Guards against a burst of frames after a partition heals, when there is much to disseminate.
#[test]
fn healing_of_a_large_partition_is_rate_limited() {
    let mut fleet = Fleet::new(60, 31);
    fleet.run_until_agreed(SECOND * 30);
    for a in 0..20 {
        for b in 20..60 {
            fleet.blocked_links.extend([(a, b), (b, a)]);
        }
    }
    fleet.run(SECOND * 20);
    fleet.blocked_links.clear();
    let before: Vec<usize> = fleet.nodes.iter().map(|node| node.sent).collect();
    fleet.run(SECOND * 10);
    let max_sent = fleet
        .nodes
        .iter()
        .zip(&before)
        .map(|(node, before)| node.sent - before)
        .max();
    println!("at most {max_sent:?} frames per node in 10 s after a partition of 20 and 40 members");
    assert!(
        max_sent.is_some_and(|sent| sent <= 300),
        "a node sent {max_sent:?} frames in 10 s"
    );
    fleet.run_until_agreed(SECOND * 60);
}
