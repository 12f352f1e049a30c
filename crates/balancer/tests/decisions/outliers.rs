//! Outlier detection: ejection and trial requests.

use crate::actions::{run_requests, sent_to};
use crate::common::*;
use sillward_balancer::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[test]
fn ejects_unreachable_servers_however_many_they_are() {
    // Half of the servers must not stay in use regardless of their failures when this node can reach only a few.
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
    // Single slow or broken connections between responses once ejected their servers, half of the fleet at a time.
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
        assert!(sends > 2, "server 0 was sent {sends} requests");
        ejected
    };
    let (served, refused) = (Outcome::Served, Outcome::ConnectFailed);
    assert_eq!(max_ejected(&[refused, served, served], ms(20)), 0);
    assert_eq!(max_ejected(&[refused, refused, served], ms(20)), 1);
    // A refused connection means that nothing listens there. One that timed out may still succeed, so it counts like any
    // other failure.
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
fn returns_an_ejected_server_after_a_trial_request() {
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
fn ejects_no_server_when_all_fail() {
    let mut harness = Harness::with_servers(with_load_reports(), 6);
    run_requests(&mut harness, 200, |_| Outcome::Error);
    // Errors reset no estimate, so the first server that serves has the lowest one: only concurrent requests use more servers.
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
fn avoids_a_server_that_accepts_and_never_responds() {
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
    let sends_to_unresponsive = sent_to(&harness.log).iter().filter(|s| **s == 0).count();
    assert!(
        sends_to_unresponsive < 20,
        "{sends_to_unresponsive} of 200 requests sent to the unresponsive server, {sends_per_server:?}"
    );
}

#[test]
fn does_not_blame_servers_for_a_pause_of_the_node() {
    let mut harness = Harness::with_servers(with_load_reports(), 6);
    run_requests(&mut harness, 100, |_| Outcome::Served);
    let ids: Vec<_> = (0..30).map(|_| harness.request(1).0).collect();
    // The node stalls far past every latency objective, then sees all timeouts at once.
    harness.now += ms(900);
    for (id, attempt) in harness.attempts_in_flight() {
        harness.end_attempt(id, attempt, Outcome::TimedOut, None);
    }
    // Requests that were held while outcomes were missing are finished by their timers.
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
fn uses_a_small_part_of_requests_as_trial_requests() {
    // A node with little traffic and several dead servers could send them most of its requests as trial requests.
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
