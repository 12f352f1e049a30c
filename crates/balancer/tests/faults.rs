//! Troubles in combination and troubles on no list. `Harness` checks the four rules on the side; here it is
//! checked that service goes on, that further attempts stay within their budget, and that no jam lasts.

mod common;

use common::*;
use sillward_balancer::*;

/// What came of a stretch of requests.
#[derive(Debug, Default)]
struct RequestCounts {
    sends: usize,
    served: usize,
    watch_requests: usize,
}

/// Plays requests of all classes, one every 30 ms; `ends` says how an attempt at a server outcome_of within that
/// time, `None` that it stays out. Further attempts are counted against their budget at the end.
fn run_requests(
    harness: &mut Harness,
    requests: usize,
    outcome_of: impl Fn(u64) -> Option<Outcome>,
) -> RequestCounts {
    let mut counts = RequestCounts::default();
    let before = harness.log.len();
    for i in 0..requests {
        harness.request(i % 5);
        harness.respond_to_health_checks(&[]);
        harness.advance(ms(30));
        for (id, attempt) in harness.attempts_in_flight() {
            if let Some(outcome) = outcome_of(harness.server_of(id, attempt).0) {
                counts.served +=
                    usize::from(outcome == Outcome::Served && !harness.is_finished(id));
                harness.end_attempt(id, attempt, outcome, Some(1.0));
            }
        }
    }
    for action in &harness.log[before..] {
        counts.sends += usize::from(matches!(action, Action::Send { .. }));
        counts.watch_requests += usize::from(matches!(action, Action::WatchEndpoints { .. }));
    }
    // Two fifths of the requests, and what has been saved up: twice the burst of a fresh node.
    assert!(
        counts.sends <= requests + requests * 2 / 5 + 10,
        "retries beyond their budget: {counts:?}"
    );
    counts
}

/// Both ways of reporting, and a node that has had the time to learn that all is well.
fn harnesses(servers: u64) -> [Harness; 2] {
    [with_load_reports(), with_health_checks()].map(|settings| {
        let mut harness = Harness::with_servers(settings, servers);
        assert_recovers(&mut harness);
        harness
    })
}

/// All is well again: after some requests to find that out, nearly all are served.
fn assert_recovers(harness: &mut Harness) {
    run_requests(harness, 300, |_| Some(Outcome::Served));
    let counts = run_requests(harness, 200, |_| Some(Outcome::Served));
    assert!(counts.served >= 196, "a jam that lasts: {counts:?}");
}

#[test]
fn avoids_a_listed_server_that_cannot_be_reached() {
    for mut harness in harnesses(4) {
        let counts = run_requests(&mut harness, 400, |s| {
            Some(if s == 0 {
                Outcome::ConnectFailed
            } else {
                Outcome::Served
            })
        });
        assert!(counts.served >= 390, "{counts:?}");
    }
}

#[test]
fn serves_other_zones_while_one_cannot_be_reached() {
    for mut harness in harnesses(6) {
        let outcome_of = |s: u64| {
            Some(if s % 3 == 0 {
                Outcome::ConnectFailed
            } else {
                Outcome::Served
            })
        };
        let counts = run_requests(&mut harness, 400, outcome_of);
        assert!(counts.served >= 380, "{counts:?}");
        assert_recovers(&mut harness);
    }
}

#[test]
fn sends_nothing_while_the_list_is_empty() {
    for mut harness in harnesses(4) {
        harness.update_endpoints(EndpointUpdate::Full, vec![]);
        let counts = run_requests(&mut harness, 50, |_| Some(Outcome::Served));
        assert_eq!(counts.sends, 0);
        harness.update_endpoints(EndpointUpdate::Full, (0..4).map(endpoint).collect());
        assert_recovers(&mut harness);
    }
}

/// What the list has counts as told within seconds of when it could be had, whatever calls failed before: each call that
/// fails is followed by another within half a second, and never at once.
#[test]
fn polls_again_within_half_a_second_while_no_list_comes() {
    let mut harness = Harness::new(Settings {
        poll_endpoint_list: true,
        ..with_health_checks()
    });
    let (mut failed, mut calls) = (None, 0);
    let end = harness.now + ms(24_000);
    while harness.now < end {
        let (before, at) = (harness.log.len(), harness.now);
        harness.request(calls % 3);
        harness.advance(harness.settings.timer_resolution);
        let asked = harness.log[before..]
            .iter()
            .any(|a| matches!(a, Action::WatchEndpoints { on: true }));
        if let (Some(since), true) = (failed, asked) {
            let waited = harness.now - since;
            assert!(
                waited >= ms(60) && waited <= ms(500 + 70),
                "call {calls} after {waited:?}"
            );
        }
        if asked {
            harness.update_endpoints(EndpointUpdate::Failed, vec![]);
            (failed, calls) = (Some(at), calls + 1);
        }
        let late = failed.is_some_and(|since| harness.now > since + ms(570));
        assert!(!late, "call {calls} is not followed by another");
    }
    assert!(
        harness
            .log
            .iter()
            .all(|action| !matches!(action, Action::Send { .. }))
    );
    // Far fewer calls than requests, and more than any wait that grows would leave.
    assert!((40..=100).contains(&calls), "{calls}");
    harness.update_endpoints(EndpointUpdate::Full, (0..4).map(endpoint).collect());
    assert_recovers(&mut harness);
}

#[test]
fn recovers_from_an_overload_with_client_retries() {
    for mut harness in harnesses(4) {
        run_requests(&mut harness, 400, |_| None);
        // Errors close no level: only the budget stands in the way of further attempts.
        run_requests(&mut harness, 400, |_| Some(Outcome::Error));
        assert_recovers(&mut harness);
    }
}

#[test]
fn recovers_from_a_crash_during_stalls() {
    for mut harness in harnesses(6) {
        let counts = run_requests(&mut harness, 300, |s| match s {
            0 => Some(Outcome::ConnectFailed),
            1 | 2 => None,
            _ => Some(Outcome::Served),
        });
        assert!(counts.served >= 200, "{counts:?}");
        assert_recovers(&mut harness);
    }
}

#[test]
fn recovers_from_a_deploy_during_a_stale_list() {
    for mut harness in harnesses(6) {
        // Three have left, and the list does not say so yet.
        let counts = run_requests(&mut harness, 200, |s| {
            Some(if s < 3 {
                Outcome::Reset
            } else {
                Outcome::Served
            })
        });
        assert!(counts.served >= 170, "{counts:?}");
        let cold = |number| Endpoint {
            started_at: Some(harness.now),
            ..endpoint(number)
        };
        let successors = (6..9).map(cold).chain((3..6).map(endpoint)).collect();
        harness.update_endpoints(EndpointUpdate::Full, successors);
        assert_recovers(&mut harness);
    }
}

#[test]
fn serves_light_requests_beside_heavy_ones_at_a_slow_server() {
    for mut harness in harnesses(4) {
        let mut served = 0;
        for i in 0..400 {
            let heavy = i % 10 == 0;
            let (id, _) =
                harness.request_with(1, 0, ms(1000), Some(ms(if heavy { 390 } else { 40 })));
            harness.respond_to_health_checks(&[]);
            harness.advance(ms(40));
            for (out, attempt) in harness
                .attempts_in_flight()
                .into_iter()
                .filter(|(out, _)| *out == id || !heavy)
            {
                if harness.server_of(out, attempt).0 != 0
                    && harness.time_since_first_send(out) >= ms(if out == id { 40 } else { 320 })
                {
                    served += usize::from(out == id && !heavy);
                    harness.end_attempt(out, attempt, Outcome::Served, Some(1.0));
                }
            }
        }
        assert!(served >= 250, "{served}");
    }
}

#[test]
fn learns_that_servers_serve_though_they_are_never_idle() {
    // Crowding levels start closed: while no server was ever seen below a closed level, all was refused for ever.
    let mut harness = Harness::with_servers(with_health_checks(), 4);
    assert_recovers(&mut harness);
}
