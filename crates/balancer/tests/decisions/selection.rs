//! Server selection: the lowest estimate below the cap, ties and random picks.

use crate::actions::{sent_to, serve};
use crate::common::*;
use sillward_balancer::*;
use std::collections::BTreeMap;

#[test]
fn sends_one_to_every_server_before_any_gets_two() {
    for seed in 0..20 {
        let mut harness = Harness::with_seed(with_load_reports(), seed);
        harness.update_endpoints(EndpointUpdate::Full, (0..5).map(endpoint).collect());
        let mut servers_used: Vec<u64> = (0..5)
            .flat_map(|_| sent_to(&harness.request(0).1))
            .collect();
        servers_used.sort();
        assert_eq!(servers_used, [0, 1, 2, 3, 4]);
    }
}

#[test]
fn breaks_ties_at_random() {
    let first: BTreeMap<u64, u32> = (0..200).fold(BTreeMap::new(), |mut seen, seed| {
        let mut harness = Harness::with_seed(with_load_reports(), seed);
        harness.update_endpoints(EndpointUpdate::Full, (0..4).map(endpoint).collect());
        *seen.entry(sent_to(&harness.request(0).1)[0]).or_default() += 1;
        seen
    });
    assert!(
        first.len() == 4 && first.values().all(|n| (25..=80).contains(n)),
        "{first:?}"
    );
}

#[test]
fn resets_an_estimate_by_an_idle_signal_and_not_by_a_busy_report() {
    let mut harness = Harness::with_servers(with_load_reports(), 6);
    for _ in 0..300 {
        serve(&mut harness, 1.0);
    }
    // All estimates are at the cap, so the pick is random until one server sends an idle signal.
    let (id, actions) = harness.request(0);
    harness.end_attempt(id, 0, Outcome::Served, Some(0.0));
    for _ in 0..3 {
        assert_eq!(vec![serve(&mut harness, 1.0)], sent_to(&actions));
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
    // Also with a report of nothing in flight: a server that fails fast looks idle.
    let cases = failures
        .iter()
        .flat_map(|outcome| [(*outcome, None), (*outcome, Some(0.0))]);
    for ((outcome, report), seed) in cases.flat_map(|case| (0..20).map(move |seed| (case, seed))) {
        let mut harness = Harness::with_seed(with_load_reports(), seed);
        harness.update_endpoints(EndpointUpdate::Full, (0..2).map(endpoint).collect());
        let (id, actions) = harness.request(1);
        let first = sent_to(&actions);
        harness.end_attempt(id, 0, outcome, report);
        if harness.unfinished_requests().is_empty() {
            // The other server has the lower estimate now.
            assert_ne!(
                sent_to(&harness.request(1).1),
                first,
                "{outcome:?} {report:?}"
            );
        } else {
            assert!(
                harness
                    .attempts_in_flight()
                    .iter()
                    .all(|(id, i)| harness.server_of(*id, *i).0 != first[0]),
                "{outcome:?}"
            );
        }
    }
}

#[test]
fn picks_at_random_where_all_estimates_reached_the_cap() {
    let mut sends_per_server = BTreeMap::new();
    let mut harness = Harness::with_servers(with_load_reports(), 4);
    for _ in 0..200 {
        *sends_per_server
            .entry(serve(&mut harness, 3.0))
            .or_insert(0) += 1;
    }
    assert!(
        sends_per_server.len() == 4 && sends_per_server.values().all(|n| (25..=80).contains(n)),
        "{sends_per_server:?}"
    );
}

#[test]
fn keeps_own_attempts_in_flight_counted_after_a_late_idle_report() {
    let mut harness = Harness::with_servers(with_load_reports(), 2);
    let (held, actions) = harness.request(0);
    let busy = sent_to(&actions)[0];
    let (other, _) = harness.request(0);
    harness.end_attempt(other, 0, Outcome::Served, Some(1.0));
    // Late responses report the busy server idle while `held` is still in flight there.
    for _ in 0..50 {
        let (id, actions) = harness.request(0);
        let server = sent_to(&actions)[0];
        harness.end_attempt(id, 0, Outcome::Served, Some(0.0));
        assert!(server != busy || !harness.is_finished(held));
    }
    assert_eq!(harness.attempts_in_flight().len(), 1);
    assert_ne!(
        sent_to(&harness.request(0).1),
        [busy],
        "the idle server has the lower estimate"
    );
}

#[test]
fn does_not_prefer_a_server_whose_reports_are_stuck_at_idle() {
    let mut harness = Harness::with_servers(with_health_checks(), 4);
    let mut sends_per_server = BTreeMap::new();
    for step in 0..400 {
        harness.request(1);
        harness.advance(ms(1));
        harness.respond_to_health_checks(&[0]);
        harness.advance(ms(20));
        // Server 0 hangs on most requests although it reports idle; the others respond in time.
        for (id, attempt) in harness.attempts_in_flight() {
            let server = harness.server_of(id, attempt).0;
            if server != 0 || step % 40 == 0 {
                harness.end_attempt(id, attempt, Outcome::Served, None);
            }
            *sends_per_server.entry(server).or_insert(0) +=
                usize::from(harness.time_since_first_send(id) < ms(25));
        }
    }
    assert!(sends_per_server[&0] < 200, "{sends_per_server:?}");
}
