//! Server selection: the lowest estimate below the cap, ties and random picks.

use crate::actions::{sent_to, serve};
use crate::common::*;
use sillward_balancer::*;
use std::collections::BTreeMap;

#[test]
fn sends_one_to_every_server_before_any_gets_two() {
    for seed in 0..20 {
        let mut world = World::seeded(with_load_reports(), seed);
        world.list(EndpointUpdate::Full, (0..5).map(entry).collect());
        let mut met: Vec<u64> = (0..5).flat_map(|_| sent_to(&world.request(0).1)).collect();
        met.sort();
        assert_eq!(met, [0, 1, 2, 3, 4]);
    }
}

#[test]
fn breaks_ties_at_random() {
    let first: BTreeMap<u64, u32> = (0..200).fold(BTreeMap::new(), |mut seen, seed| {
        let mut world = World::seeded(with_load_reports(), seed);
        world.list(EndpointUpdate::Full, (0..4).map(entry).collect());
        *seen.entry(sent_to(&world.request(0).1)[0]).or_default() += 1;
        seen
    });
    assert!(
        first.len() == 4 && first.values().all(|n| (25..=80).contains(n)),
        "{first:?}"
    );
}

#[test]
fn resets_an_estimate_by_an_idle_signal_and_not_by_a_busy_report() {
    let mut world = World::with_servers(with_load_reports(), 6);
    for _ in 0..300 {
        serve(&mut world, 1.0);
    }
    // All are at the cap now, so the pick is random; the one that shows idle is below it alone.
    let (id, actions) = world.request(0);
    world.end(id, 0, Outcome::Served, Some(0.0));
    for _ in 0..3 {
        assert_eq!(vec![serve(&mut world, 1.0)], sent_to(&actions));
    }
}

#[test]
fn leaves_the_estimate_unchanged_by_failures() {
    let failures = [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
    ];
    // Also with a report of nothing in flight: a server that returns quick errors looks idle.
    let cases = failures
        .iter()
        .flat_map(|outcome| [(*outcome, None), (*outcome, Some(0.0))]);
    for ((outcome, report), seed) in cases.flat_map(|case| (0..20).map(move |seed| (case, seed))) {
        let mut world = World::seeded(with_load_reports(), seed);
        world.list(EndpointUpdate::Full, (0..2).map(entry).collect());
        let (id, actions) = world.request(1);
        let first = sent_to(&actions);
        world.end(id, 0, outcome, report);
        if world.open().is_empty() {
            // The other server has the lower estimate now.
            assert_ne!(
                sent_to(&world.request(1).1),
                first,
                "{outcome:?} {report:?}"
            );
        } else {
            assert!(
                world
                    .out()
                    .iter()
                    .all(|(id, i)| world.server_of(*id, *i).0 != first[0]),
                "{outcome:?}"
            );
        }
    }
}

#[test]
fn picks_at_random_where_all_estimates_reached_the_cap() {
    let mut met = BTreeMap::new();
    let mut world = World::with_servers(with_load_reports(), 4);
    for _ in 0..200 {
        *met.entry(serve(&mut world, 3.0)).or_insert(0) += 1;
    }
    assert!(
        met.len() == 4 && met.values().all(|n| (25..=80).contains(n)),
        "{met:?}"
    );
}

#[test]
fn keeps_own_attempts_in_flight_counted_after_a_late_idle_report() {
    let mut world = World::with_servers(with_load_reports(), 2);
    let (held, actions) = world.request(0);
    let busy = sent_to(&actions)[0];
    let (other, _) = world.request(0);
    world.end(other, 0, Outcome::Served, Some(1.0));
    // An answer from the busy server's past says idle while `held` is still out there.
    for _ in 0..50 {
        let (id, actions) = world.request(0);
        let to = sent_to(&actions)[0];
        world.end(id, 0, Outcome::Served, Some(0.0));
        assert!(to != busy || !world.answered(held));
    }
    assert_eq!(world.out().len(), 1);
    assert_ne!(
        sent_to(&world.request(0).1),
        [busy],
        "the idle server is the lower one"
    );
}

#[test]
fn does_not_prefer_a_server_whose_reports_are_stuck_at_idle() {
    let mut world = World::with_servers(with_health_checks(), 4);
    let mut met = BTreeMap::new();
    for step in 0..400 {
        world.request(1);
        world.pass(ms(1));
        world.answer_health_checks(&[0]);
        world.pass(ms(20));
        // The frozen server answers too late for most; the others are in time.
        for (id, attempt) in world.out() {
            let server = world.server_of(id, attempt).0;
            if server != 0 || step % 40 == 0 {
                world.end(id, attempt, Outcome::Served, None);
            }
            *met.entry(server).or_insert(0) += usize::from(world.age(id) < ms(25));
        }
    }
    assert!(met[&0] < 200, "{met:?}");
}
