//! Slow start: how many requests warming servers are sent.

use crate::actions::{run_requests, sent_to};
use crate::common::*;
use sillward_balancer::*;

#[test]
fn sends_a_warming_server_no_more_than_this_nodes_share() {
    // Ten warm servers serve 100 requests/s of three nodes, so the capacity of a warm one is at least 10 requests/s.
    let mut settings = with_load_reports();
    settings.safety = SafetyRules {
        slow_start_capacity: 0.2,
        slow_start_window: ms(10_000),
        overload_factor: 4.0,
        overload_window: ms(1500),
        ..settings.safety
    };
    let mut harness = Harness::with_servers(settings, 10);
    let mut sends_to_warming = Vec::new();
    for step in 0..1500u64 {
        if step == 700 {
            let started = Some(harness.now);
            harness.update_endpoints(
                EndpointUpdate::Incremental,
                vec![Endpoint {
                    started_at: started,
                    ..endpoint(10)
                }],
            );
        }
        let (_, actions) = harness.request(0);
        sends_to_warming.extend(
            sent_to(&actions)
                .iter()
                .filter(|s| **s == 10)
                .map(|_| harness.now),
        );
        harness.advance(ms(30));
        for (id, attempt) in harness.attempts_in_flight() {
            harness.end_attempt(id, attempt, Outcome::Served, Some(0.0));
        }
    }
    assert!(!sends_to_warming.is_empty(), "the warming server is used");
    // This node sends 33 requests/s, 3.3 to a warm server. Its third of 4 x 0.2 x 10 requests/s over 1.5 s is 4.
    let start = sends_to_warming[0];
    let sends_in_window = sends_to_warming
        .iter()
        .filter(|at| **at < start + ms(1500))
        .count();
    assert!(
        sends_in_window <= 4,
        "{sends_in_window} requests in the first 1.5 s"
    );
}

#[test]
fn serves_while_all_servers_are_warming_up() {
    let mut settings = with_load_reports();
    settings.safety = SafetyRules {
        slow_start_capacity: 0.3,
        slow_start_window: ms(10_000),
        ..settings.safety
    };
    let mut harness = Harness::with_servers(settings, 5);
    run_requests(&mut harness, 300, |_| Outcome::Served);
    let started = Some(harness.now);
    harness.update_endpoints(
        EndpointUpdate::Full,
        (0..5)
            .map(|n| Endpoint {
                started_at: started,
                ..endpoint(n)
            })
            .collect(),
    );
    let sends_per_server = run_requests(&mut harness, 100, |_| Outcome::Served);
    assert!(
        sends_per_server.values().sum::<usize>() > 20,
        "{sends_per_server:?}"
    ); // warming servers have 0.3 of their capacity
}
