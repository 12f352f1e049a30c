//! Single and combined faults. `Harness` checks the safety rules; these tests check that requests are still served, that
//! retries stay within their budget, and that an overload does not persist.

mod common;

use common::*;
use sillward_balancer::*;

/// Totals of one run of requests.
#[derive(Debug, Default)]
struct RequestCounts {
    sends: usize,
    served: usize,
    watch_requests: usize,
}

/// Runs requests of all classes, one every 30 ms. `outcome_of` gives the outcome of an attempt at a server within that
/// time, or `None` if it stays in flight. Checks the retry budget at the end.
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
    // Two fifths of the requests, and the saved budget: twice the burst of a new node.
    assert!(
        counts.sends <= requests + requests * 2 / 5 + 10,
        "retries exceed their budget: {counts:?}"
    );
    counts
}

/// One node with each source of load reports, after enough requests to learn that all servers are healthy.
fn harnesses(servers: u64) -> [Harness; 2] {
    [with_load_reports(), with_health_checks()].map(|settings| {
        let mut harness = Harness::with_servers(settings, servers);
        assert_recovers(&mut harness);
        harness
    })
}

/// Checks that, once all servers are healthy, nearly all requests are served after a short learning phase.
fn assert_recovers(harness: &mut Harness) {
    run_requests(harness, 300, |_| Some(Outcome::Served));
    let counts = run_requests(harness, 200, |_| Some(Outcome::Served));
    assert!(counts.served >= 196, "the overload persists: {counts:?}");
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

/// A node must learn of endpoint updates within seconds of when it can get them, however many polls failed before: each
/// failed poll is repeated within half a second, but not immediately.
#[test]
fn polls_again_within_half_a_second_while_no_list_comes() {
    let mut harness = Harness::new(Settings {
        poll_endpoint_list: true,
        ..with_health_checks()
    });
    let (mut failed_at, mut polls) = (None, 0);
    let end = harness.now + ms(24_000);
    while harness.now < end {
        let (before, at) = (harness.log.len(), harness.now);
        harness.request(polls % 3);
        harness.advance(harness.settings.timer_resolution);
        let polled = harness.log[before..]
            .iter()
            .any(|a| matches!(a, Action::WatchEndpoints { on: true }));
        if let (Some(since), true) = (failed_at, polled) {
            let waited = harness.now - since;
            assert!(
                waited >= ms(60) && waited <= ms(500 + 70),
                "poll {polls} after {waited:?}"
            );
        }
        if polled {
            harness.update_endpoints(EndpointUpdate::Failed, vec![]);
            (failed_at, polls) = (Some(at), polls + 1);
        }
        let late = failed_at.is_some_and(|since| harness.now > since + ms(570));
        assert!(!late, "poll {polls} is not followed by another");
    }
    assert!(
        harness
            .log
            .iter()
            .all(|action| !matches!(action, Action::Send { .. }))
    );
    // Far fewer polls than requests, and more than with an increasing backoff.
    assert!((40..=100).contains(&polls), "{polls}");
    harness.update_endpoints(EndpointUpdate::Full, (0..4).map(endpoint).collect());
    assert_recovers(&mut harness);
}

#[test]
fn recovers_from_an_overload_with_client_retries() {
    for mut harness in harnesses(4) {
        run_requests(&mut harness, 400, |_| None);
        // Errors close no concurrency level: only the retry budget limits retries.
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
        // Three servers are gone but still listed.
        let counts = run_requests(&mut harness, 200, |s| {
            Some(if s < 3 {
                Outcome::Reset
            } else {
                Outcome::Served
            })
        });
        assert!(counts.served >= 170, "{counts:?}");
        let warming = |number| Endpoint {
            started_at: Some(harness.now),
            ..endpoint(number)
        };
        let successors = (6..9).map(warming).chain((3..6).map(endpoint)).collect();
        harness.update_endpoints(EndpointUpdate::Full, successors);
        assert_recovers(&mut harness);
    }
}

#[test]
fn serves_cheap_requests_beside_expensive_ones_with_one_hanging_server() {
    for mut harness in harnesses(4) {
        let mut served = 0;
        for i in 0..400 {
            let expensive = i % 10 == 0;
            let (id, _) =
                harness.request_with(1, 0, ms(1000), Some(ms(if expensive { 390 } else { 40 })));
            harness.respond_to_health_checks(&[]);
            harness.advance(ms(40));
            for (sent_id, attempt) in harness
                .attempts_in_flight()
                .into_iter()
                .filter(|(sent_id, _)| *sent_id == id || !expensive)
            {
                if harness.server_of(sent_id, attempt).0 != 0
                    && harness.time_since_first_send(sent_id)
                        >= ms(if sent_id == id { 40 } else { 320 })
                {
                    served += usize::from(sent_id == id && !expensive);
                    harness.end_attempt(sent_id, attempt, Outcome::Served, Some(1.0));
                }
            }
        }
        assert!(served >= 250, "{served}");
    }
}

#[test]
fn learns_that_servers_serve_although_they_are_never_idle() {
    // A concurrency level opens only after a lower one was served in time. If no server were ever at an open level, all
    // requests would be rejected forever.
    let mut harness = Harness::with_servers(with_health_checks(), 4);
    assert_recovers(&mut harness);
}
