//! Outlier detection: ejection and trials.

use crate::actions::{run_requests, sent_to};
use crate::common::*;
use sillward_balancer::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[test]
fn ejects_unreachable_servers_however_many_they_are() {
    // The danger: half of the servers stay in use whatever happens, though this node reaches only a few.
    let mut harness = Harness::with_servers(with_load_reports(), 10);
    let outcome_of = |server: u64| {
        if server < 2 {
            Outcome::Served
        } else {
            Outcome::ConnectFailed
        }
    };
    run_requests(&mut harness, 200, outcome_of);
    let sends_per_server = run_requests(&mut harness, 200, outcome_of);
    let sends_to_reachable: usize = (0..2)
        .map(|server| sends_per_server.get(&server).copied().unwrap_or(0))
        .sum();
    assert!(sends_to_reachable > 150, "{sends_per_server:?}");
}

#[test]
fn ejects_after_two_refused_connections_in_a_row_and_not_after_one() {
    // Connections that come up late, or break under a request, come in between answers: a backend was max_ejected for each,
    // half of the fleet at a time.
    let max_ejected = |pattern: &[Outcome], connect_time: Duration| {
        let mut harness = Harness::with_servers(with_load_reports(), 4);
        let (mut sends, mut ejected) = (0, 0);
        for _ in 0..100 {
            let (id, actions) = harness.request(0);
            let outcome = if sent_to(&actions) == [0] {
                sends += 1;
                pattern[sends % pattern.len()]
            } else {
                Outcome::Served
            };
            harness.advance(if outcome == Outcome::ConnectFailed {
                connect_time
            } else {
                ms(20)
            });
            harness.end_attempt(id, 0, outcome, Some(0.0));
            for (id, attempt) in harness.attempts_in_flight() {
                harness.end_attempt(id, attempt, Outcome::Served, Some(0.0));
            }
            ejected = ejected.max(harness.balancer.endpoint_counts().ejected);
        }
        assert!(sends > 2, "server 0 was sent {sends}");
        ejected
    };
    let (served, refused) = (Outcome::Served, Outcome::ConnectFailed);
    assert_eq!(max_ejected(&[refused, served, served], ms(20)), 0);
    assert_eq!(max_ejected(&[refused, refused, served], ms(20)), 1);
    // Turned down, nobody is there; one that took too long may yet come up, and is a failure like others.
    let two_of_six = [refused, refused, served, served, served, served];
    assert_eq!(max_ejected(&two_of_six, ms(20)), 1);
    assert_eq!(max_ejected(&two_of_six, ms(260)), 0);
}

#[test]
fn does_not_prefer_a_server_that_fails_fast() {
    let mut harness = Harness::with_servers(with_load_reports(), 4);
    let sends_per_server = run_requests(&mut harness, 400, |server| {
        if server == 0 {
            Outcome::Error
        } else {
            Outcome::Served
        }
    });
    assert!(sends_per_server[&0] < 20, "{sends_per_server:?}");
}

#[test]
fn returns_an_ejected_server_after_a_trial() {
    let mut harness = Harness::with_servers(with_load_reports(), 4);
    run_requests(&mut harness, 100, |server| {
        if server == 0 {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        }
    });
    harness.advance(ms(20_000));
    let sends_per_server = run_requests(&mut harness, 200, |_| Outcome::Served);
    assert!(
        sends_per_server.get(&0).is_some_and(|times| *times > 10),
        "{sends_per_server:?}"
    );
}

#[test]
fn ejects_nobody_when_all_servers_fail() {
    let mut harness = Harness::with_servers(with_load_reports(), 6);
    run_requests(&mut harness, 200, |_| Outcome::Error);
    // Errors reset no estimate, so whoever serves first is the lowest: only requests at once meet more.
    for _ in 0..10 {
        (0..6).for_each(|_| drop(harness.request(1)));
        harness.advance(ms(30));
        for (id, attempt) in harness.attempts_in_flight() {
            harness.end_attempt(id, attempt, Outcome::Served, Some(0.0));
        }
    }
    (0..6).for_each(|_| drop(harness.request(1)));
    let servers_used: BTreeSet<_> = harness
        .attempts_in_flight()
        .iter()
        .map(|(id, attempt)| harness.server_of(*id, *attempt).0)
        .collect();
    assert!(servers_used.len() >= 3, "{servers_used:?}");
}

#[test]
fn avoids_a_server_that_accepts_and_never_answers() {
    let mut harness = Harness::with_servers(with_load_reports(), 4);
    let mut sends_per_server = BTreeMap::new();
    for _ in 0..200 {
        harness.request(1);
        harness.advance(ms(30));
        for (id, attempt) in harness.attempts_in_flight() {
            let server = harness.server_of(id, attempt).0;
            if server != 0 {
                *sends_per_server.entry(server).or_insert(0) += 1;
                harness.end_attempt(id, attempt, Outcome::Served, Some(0.0));
            }
        }
    }
    let sends_to_silent = sent_to(&harness.log).iter().filter(|s| **s == 0).count();
    assert!(
        sends_to_silent < 20,
        "{sends_to_silent} of 200 sends to the silent server, {sends_per_server:?}"
    );
}

#[test]
fn does_not_blame_servers_for_a_pause_of_the_node() {
    let mut harness = Harness::with_servers(with_load_reports(), 6);
    run_requests(&mut harness, 100, |_| Outcome::Served);
    let ids: Vec<_> = (0..30).map(|_| harness.request(1).0).collect();
    // The node stands still long past every aim, then finds all its time-outs at once.
    harness.now += ms(900);
    for (id, attempt) in harness.attempts_in_flight() {
        harness.end_attempt(id, attempt, Outcome::TimedOut, None);
    }
    // Those that were held for want of news have their timers.
    harness.advance(ms(5));
    assert!(ids.iter().all(|id| harness.is_finished(*id)));
    let mut servers_used: Vec<u64> = (0..6)
        .flat_map(|_| sent_to(&harness.request(1).1))
        .collect();
    servers_used.sort();
    servers_used.dedup();
    assert_eq!(servers_used.len(), 6, "{servers_used:?}");
}

#[test]
fn spends_a_small_part_of_requests_on_trials() {
    // The danger: a quiet node with several outcome_of servers sends most of its requests there on trial.
    let mut harness = Harness::with_servers(with_load_reports(), 8);
    let outcome_of = |server: u64| {
        if server < 3 {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        }
    };
    run_requests(&mut harness, 100, outcome_of);
    let sends_per_server = run_requests(&mut harness, 400, outcome_of);
    let trial_requests: usize = (0..3)
        .map(|server| sends_per_server.get(&server).copied().unwrap_or(0))
        .sum();
    assert!(
        (1..60).contains(&trial_requests),
        "{trial_requests} {sends_per_server:?}"
    );
}
