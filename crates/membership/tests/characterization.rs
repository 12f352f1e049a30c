//! Compares runs of whole fleets with recorded digests, which depend on the order of random draws, actions and
//! messages.
//!
//! With `CHARACTERIZATION_WRITE=1` the fixture is printed instead.

mod common;

use common::{Fleet, MS, SECOND, name};
use sillward_membership::{Event, Membership};

const FIXTURE: &str = include_str!("fixtures/run-digests.txt");
const SEEDS: std::ops::Range<u64> = 0..24;

/// Runs a fleet with every kind of fault; returns the seed and the digest of all actions and deadlines.
fn run_digest_line(seed: u64) -> String {
    let mut fleet = Fleet::new(9, 5_000 + seed);
    fleet.loss_percent = 10;
    fleet.duplicate_percent = 10;
    fleet.delay_ms = (1, 40);
    fleet.run(SECOND * 8);
    publish_values(&mut fleet, seed);
    fleet.kill(2);
    fleet.run(SECOND * 6);
    fleet.start(2);
    fleet.nodes[3].paused = true;
    fleet.run(SECOND * 4);
    fleet.resume(3);
    fleet.run(SECOND * 4);
    block_links_to_first_three(&mut fleet, 4);
    fleet.blocked_links.insert((6, 7));
    fleet.run(SECOND * 12);
    fleet.blocked_links.clear();
    fleet.slow_node = Some((5, 700));
    fleet.run(SECOND * 10);
    fleet.slow_node = None;
    leave_and_stop(&mut fleet, 6);
    fleet.nodes[7].name = name(8);
    fleet.process_runs.clear();
    fleet.start(7);
    fleet.run(SECOND * 20);
    format!("{seed} {:016x}", fleet.trace_digest())
}

fn publish_values(fleet: &mut Fleet, seed: u64) {
    let now = fleet.now;
    for i in 0..5 {
        let value = seed.to_be_bytes();
        let published = fleet.membership_mut(i).publish("load", &value, now);
        published.expect("the value is within its limits");
    }
}

/// Blocks the links between a node and the first three nodes, in both directions.
fn block_links_to_first_three(fleet: &mut Fleet, i: usize) {
    for other in 0..3 {
        fleet.blocked_links.extend([(i, other), (other, i)]);
    }
}

fn leave_and_stop(fleet: &mut Fleet, i: usize) {
    let now = fleet.now;
    let actions = fleet.membership_mut(i).handle(now, Event::Leave);
    fleet.execute_actions(i, actions);
    fleet.kill(i);
    fleet.run(MS * 300);
}

#[test]
fn runs_have_the_recorded_digests() {
    let lines: Vec<String> = SEEDS.map(run_digest_line).collect();
    if std::env::var_os("CHARACTERIZATION_WRITE").is_some() {
        println!("{}", lines.join("\n"));
        return;
    }
    let recorded: Vec<&str> = FIXTURE.lines().collect();
    assert_eq!(lines, recorded);
}

#[test]
fn equal_seeds_give_equal_runs() {
    let run_fleet = || {
        let mut fleet = Fleet::new(9, 15);
        fleet.loss_percent = 20;
        fleet.duplicate_percent = 10;
        fleet.run(SECOND * 20);
        fleet.kill(2);
        fleet.run(SECOND * 10);
        fleet
            .nodes
            .iter()
            .map(|node| {
                (
                    node.sent,
                    node.membership.as_ref().map(Membership::incarnation),
                )
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(run_fleet(), run_fleet());
}
