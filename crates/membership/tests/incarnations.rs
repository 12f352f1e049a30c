//! Incarnations: pauses, restarts, lost state, and two processes under one name.

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
    // Neither frames that arrived in the meantime nor its own earlier state complete the join.
    for other in 0..8 {
        fleet.cuts.insert((other, 3));
    }
    fleet.in_flight.retain(|_, (to, _)| *to != 3);
    fleet.resume(3);
    fleet.run(MS * 200);
    let membership = fleet.membership(3);
    assert!(membership.incarnation() > incarnation);
    assert_eq!(membership.status(fleet.now), MembershipStatus::Joining);
    assert_eq!(membership.counters().pauses, 1);
    fleet.cuts.clear();
    fleet.run_until_agreed(SECOND * 8);
    let membership = fleet.membership(3);
    assert!(membership.incarnation() > incarnation);
    assert!(
        fleet
            .nodes
            .iter()
            .flat_map(|n| n.membership.as_ref())
            .all(|p| p.counters().declared_dead <= 7)
    );
}

/// [`Fleet::carry_out`] fails when an incarnation is used twice.
#[test]
fn lost_or_old_state_never_repeats_an_incarnation() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(6, 100 + seed);
        fleet.run_until_agreed(SECOND * 10);
        for round in 0..6 {
            let one = 1 + fleet.draw(5) as usize;
            let before = fleet.membership(one).incarnation();
            fleet.kill(one);
            // Before and after the others have noticed.
            fleet.run(if round % 2 == 0 { MS * 50 } else { SECOND * 5 });
            let lost = fleet.nodes[one].stored_epoch;
            fleet.nodes[one].stored_epoch = if round % 3 == 0 {
                0
            } else {
                lost.saturating_sub(2)
            };
            fleet.start(one);
            fleet.run_until_agreed(SECOND * 10);
            let membership = fleet.membership(one);
            assert!(
                membership.incarnation() > before,
                "incarnations rise as long as anybody remembers"
            );
        }
    }
}

/// Guards against a suspicion timeout that expires during a pause of the process.
#[test]
fn pause_expires_no_suspicion() {
    (32..48).for_each(check_pause_during_a_suspicion);
}

fn check_pause_during_a_suspicion(seed: u64) {
    let mut fleet = Fleet::new(12, seed);
    fleet.run_until_agreed(SECOND * 10);
    let apart: Vec<(usize, usize)> = (0..12)
        .filter(|i| *i != 5)
        .flat_map(|i| [(i, 5), (5, i)])
        .collect();
    fleet.cuts.extend(apart.iter().copied());
    while fleet.state_of(3, 5) == Some(MemberState::Alive) {
        fleet.run(MS * 10);
    }
    assert_eq!(fleet.state_of(3, 5), Some(MemberState::Suspect));
    fleet.cuts.clear();
    fleet.nodes[3].paused = true;
    fleet.run(SECOND * 8);
    let ended = |fleet: &Fleet| fleet.membership(3).counters().declared_dead;
    assert_eq!(
        (fleet.state_of(0, 5), ended(&fleet)),
        (Some(MemberState::Alive), 0)
    );
    fleet.resume(3);
    fleet.run(SECOND * 8);
    assert_eq!(
        ended(&fleet),
        0,
        "a suspicion expired while the node was paused"
    );
    assert_eq!(fleet.check_agreement(), Ok(()));
}

/// Guards against endless new incarnations of two processes under one name.
#[test]
fn one_of_two_processes_of_one_name_falls_silent() {
    let mut fleet = Fleet::new(6, 9);
    fleet.nodes[5].name = name(4);
    fleet.start(5);
    fleet.incarnations.clear();
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

/// Guards against frames that were sent before the incarnation began.
#[test]
fn ignores_frames_to_an_earlier_incarnation() {
    let mut fleet = Fleet::new(4, 11);
    fleet.run_until_agreed(SECOND * 10);
    let old = fleet.membership(2).incarnation();
    fleet.kill(2);
    fleet.start(2);
    fleet.run_until_agreed(SECOND * 10);
    let (incarnation, at_1) = (fleet.membership(1).incarnation(), fleet.nodes[1].address);
    let false_update = Update {
        name: "ghost".into(),
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
            from: at_1,
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
            .all(|member| member.name.as_str() != "ghost")
    );
}
