//! Detection of dead members, and false detections under loss, delay and slow nodes.

mod common;

use common::{Fleet, MS, SECOND, name};
use sillward_membership::{Event, MemberState};
use std::time::Duration;

#[test]
fn detects_a_death_and_accepts_the_member_in_a_new_incarnation() {
    let mut fleet = Fleet::new(12, 1);
    fleet.run_until_agreed(SECOND * 10);
    fleet.kill(7);
    let took = fleet.run_until_agreed(SECOND * 6);
    assert!(
        took >= SECOND,
        "declared dead before the suspicion timeout: {took:?}"
    );
    let before = fleet.nodes[7].stored_epoch;
    fleet.start(7);
    assert!(fleet.nodes[7].stored_epoch > before);
    fleet.run_until_agreed(SECOND * 5);
    assert_eq!(fleet.false_death_count, 0);
}

#[test]
fn one_way_partition_of_a_pair_causes_no_death() {
    let mut fleet = Fleet::new(8, 2);
    fleet.run_until_agreed(SECOND * 10);
    fleet.blocked_links.insert((2, 5));
    fleet.run(SECOND * 60);
    assert_eq!(fleet.false_death_count, 0);
    assert_eq!(fleet.check_agreement(), Ok(()));
    let probes = |by: usize, of| {
        let membership = fleet.membership(by);
        membership
            .member(&name(of))
            .expect("the member is known")
            .probes
    };
    assert!(
        probes(2, 5).unanswered * 2 > probes(2, 5).sent,
        "probe counts do not show the blocked direction: {:?}",
        probes(2, 5)
    );
    assert_eq!(probes(2, 4).unanswered, 0);
}

#[test]
fn loss_and_delay_cause_few_and_short_false_deaths() {
    let mut false_death_count = 0;
    let mut longest = Duration::ZERO;
    for seed in 0..3 {
        let mut fleet = Fleet::new(12, 700 + seed);
        fleet.run_until_agreed(SECOND * 10);
        (fleet.loss_percent, fleet.delay_ms, fleet.duplicate_percent) = (30, (250, 350), 5);
        fleet.run(SECOND * 300);
        false_death_count += fleet.false_death_count;
        longest = longest.max(fleet.longest_false_death);
        (fleet.loss_percent, fleet.delay_ms) = (0, (1, 3));
        fleet.run_until_agreed(SECOND * 20);
    }
    println!(
        "30 % loss, 300 ms each way, 12 members, 900 s: {false_death_count} false deaths by pair of members, longest {longest:?}"
    );
    assert!(longest < SECOND * 6, "{longest:?}");
    assert!(false_death_count <= 11 * 3, "{false_death_count}");
}

/// Measures the rate of false deaths.
#[test]
#[ignore = "measurement that takes a minute"]
fn measures_false_deaths_in_ten_hours_of_loss_and_delay() {
    for loss in [0, 10, 20, 30, 40] {
        let mut fleet = Fleet::new(12, 900 + u64::from(loss));
        fleet.run_until_agreed(SECOND * 10);
        (fleet.loss_percent, fleet.delay_ms) = (loss, (250, 350));
        fleet.run(SECOND * 7_200);
        let (false_death_count, longest) = (fleet.false_death_count, fleet.longest_false_death);
        println!(
            "{loss} % loss, 300 ms each way, 12 members, 2 hours: {false_death_count} false deaths by pair of members, longest {longest:?}"
        );
    }
}

/// Guards against a slow node that declares others dead. Everything reaches it 3.5 s late, which exceeds all timeouts
/// of a healthy node.
#[test]
fn slow_node_suspects_few_and_declares_none_dead() {
    let mut fleet = Fleet::new(10, 21);
    fleet.run_until_agreed(SECOND * 10);
    fleet.slow_node = Some((4, 3_500));
    fleet.run(SECOND * 60);
    let membership = |i: usize| fleet.membership(i);
    let (counters, score) = (membership(4).counters(), membership(4).health().score());
    println!(
        "slow node: health score {score}, suspected {} and declared dead {} members in 60 s",
        counters.suspected, counters.declared_dead
    );
    assert!(score >= 2, "{score}");
    assert!(counters.suspected <= 20, "{counters:?}");
    assert!(
        (0..10)
            .filter(|i| *i != 4)
            .all(|i| membership(i).counters().incarnations == 1),
        "the slow node declared others dead"
    );
}

/// Several members probe a suspect immediately, so that their confirmations shorten the suspicion timeout.
#[test]
fn confirmations_shorten_death_detection() {
    let mut times = Vec::new();
    for seed in 0..24 {
        let mut fleet = Fleet::new(40, 300 + seed);
        fleet.run_until_agreed(SECOND * 20);
        fleet.kill(7);
        times.push(fleet.run_until_agreed(SECOND * 8));
    }
    let mean = times.iter().sum::<Duration>() / times.len() as u32;
    println!("mean time until all 40 members know of a death: {mean:?}");
    assert!(mean <= MS * 2_000, "{mean:?}: {times:?}");
}

#[test]
fn leaving_member_is_not_suspected() {
    let mut fleet = Fleet::new(8, 13);
    fleet.run_until_agreed(SECOND * 10);
    let now = fleet.now;
    let actions = fleet.membership_mut(6).handle(now, Event::Leave);
    fleet.execute_actions(6, actions);
    fleet.kill(6);
    fleet.run(MS * 700);
    assert!(
        (0..8)
            .filter(|by| *by != 6)
            .all(|by| fleet.state_of(by, 6) == Some(MemberState::Left))
    );
}

#[test]
fn dead_members_are_removed_after_their_retention() {
    let mut fleet = Fleet::new(5, 14);
    fleet.settings.dead_retention = SECOND * 20;
    (0..5).for_each(|i| fleet.start(i));
    fleet.run_until_agreed(SECOND * 10);
    fleet.kill(4);
    fleet.run(SECOND * 10);
    assert_eq!(fleet.state_of(0, 4), Some(MemberState::Dead));
    fleet.run(SECOND * 25);
    assert_eq!(fleet.state_of(0, 4), None);
}
