//! Incarnations: pauses, restarts, lost state, and two processes with the same name.

mod common;

use common::{Fleet, MS, Packet, SECOND, name};
use sillward_membership::wire::{Frame, Update};
use sillward_membership::{MemberState, MembershipStatus};

#[test]
fn paused_member_joins_in_a_new_incarnation() {
    let mut fleet = Fleet::new(8, 4);
    fleet.run_until_agreed(SECOND * 10);
    let incarnation = fleet.membership(3).incarnation();
    fleet.nodes[3].paused = true;
    fleet.run(SECOND * 15);
    assert_eq!(fleet.state_of(0, 3), Some(MemberState::Dead));
    // Neither frames that arrived during the pause nor the state from before it may complete the join.
    for other in 0..8 {
        fleet.blocked_links.insert((other, 3));
    }
    fleet.in_flight.retain(|_, (to, _)| *to != 3);
    fleet.resume(3);
    fleet.run(MS * 200);
    let membership = fleet.membership(3);
    assert!(membership.incarnation() > incarnation);
    assert_eq!(membership.status(fleet.now), MembershipStatus::Joining);
    assert_eq!(membership.counters().pauses, 1);
    fleet.blocked_links.clear();
    fleet.run_until_agreed(SECOND * 8);
    let membership = fleet.membership(3);
    assert!(membership.incarnation() > incarnation);
    assert!(
        fleet
            .nodes
            .iter()
            .flat_map(|n| n.membership.as_ref())
            .all(|n| n.counters().declared_dead <= 7)
    );
}

/// [`Fleet::execute_actions`] panics when an incarnation is used twice.
#[test]
fn lost_or_stale_state_never_repeats_an_incarnation() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(6, 100 + seed);
        fleet.run_until_agreed(SECOND * 10);
        for round in 0..6 {
            let restarted = 1 + fleet.draw(5) as usize;
            let before = fleet.membership(restarted).incarnation();
            fleet.kill(restarted);
            // Restarts before the others detect the death in even rounds, and after it in odd ones.
            fleet.run(if round % 2 == 0 { MS * 50 } else { SECOND * 5 });
            let stored = fleet.nodes[restarted].stored_epoch;
            fleet.nodes[restarted].stored_epoch = if round % 3 == 0 {
                0
            } else {
                stored.saturating_sub(2)
            };
            fleet.start(restarted);
            fleet.run_until_agreed(SECOND * 10);
            let membership = fleet.membership(restarted);
            assert!(
                membership.incarnation() > before,
                "the incarnation did not rise although other members knew the last one"
            );
        }
    }
}

/// Guards against a suspicion timeout that expires because the process was paused.
#[test]
fn suspicion_does_not_expire_while_the_process_is_paused() {
    (32..48).for_each(check_suspicion_across_pause);
}

fn check_suspicion_across_pause(seed: u64) {
    let mut fleet = Fleet::new(12, seed);
    fleet.run_until_agreed(SECOND * 10);
    let links: Vec<(usize, usize)> = (0..12)
        .filter(|i| *i != 5)
        .flat_map(|i| [(i, 5), (5, i)])
        .collect();
    fleet.blocked_links.extend(links.iter().copied());
    while fleet.state_of(3, 5) == Some(MemberState::Alive) {
        fleet.run(MS * 10);
    }
    assert_eq!(fleet.state_of(3, 5), Some(MemberState::Suspect));
    fleet.blocked_links.clear();
    fleet.nodes[3].paused = true;
    fleet.run(SECOND * 8);
    let declared_dead = |fleet: &Fleet| fleet.membership(3).counters().declared_dead;
    assert_eq!(
        (fleet.state_of(0, 5), declared_dead(&fleet)),
        (Some(MemberState::Alive), 0)
    );
    fleet.resume(3);
    fleet.run(SECOND * 8);
    assert_eq!(
        declared_dead(&fleet),
        0,
        "a suspicion expired while the node was paused"
    );
    assert_eq!(fleet.check_agreement(), Ok(()));
}

/// Guards against two processes with the same name that begin new incarnations endlessly because of each other.
#[test]
fn one_of_two_processes_with_the_same_name_stops_sending() {
    let mut fleet = Fleet::new(6, 9);
    fleet.nodes[5].name = name(4);
    fleet.start(5);
    fleet.process_runs.clear();
    fleet.run(SECOND * 20);
    let statuses: Vec<_> = [4, 5]
        .iter()
        .map(|i| fleet.membership(*i).status(fleet.now))
        .collect();
    assert!(
        statuses.contains(&MembershipStatus::NameConflict),
        "{statuses:?}"
    );
    let incarnations: u64 = [4, 5]
        .iter()
        .map(|i| fleet.membership(*i).counters().incarnations)
        .sum();
    assert!(incarnations <= 14, "{incarnations}");
}

/// Guards against the use of frames that were sent before the current incarnation began.
#[test]
fn ignores_frames_to_an_earlier_incarnation() {
    let mut fleet = Fleet::new(4, 11);
    fleet.run_until_agreed(SECOND * 10);
    let old = fleet.membership(2).incarnation();
    fleet.kill(2);
    fleet.start(2);
    fleet.run_until_agreed(SECOND * 10);
    let (incarnation, address_1) = (fleet.membership(1).incarnation(), fleet.nodes[1].address);
    let false_update = Update {
        name: "invented".into(),
        address: vec![127, 1, 1, 1, 1, 1],
        epoch: 1,
        salt: 1,
        ..Update::default()
    };
    let frame = Frame {
        updates: vec![false_update],
        ..Frame::default()
    };
    let before = fleet.membership(2).counters().to_earlier_incarnation;
    fleet.deliver(
        2,
        Packet::Frame {
            name: name(1),
            from: address_1,
            incarnation,
            to: old.salt,
            frame,
        },
    );
    let membership = fleet.membership(2);
    assert_eq!(membership.counters().to_earlier_incarnation, before + 1);
    assert!(
        membership
            .members()
            .all(|member| member.name.as_str() != "invented")
    );
}
