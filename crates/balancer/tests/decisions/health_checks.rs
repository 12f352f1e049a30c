//! Health checks: when they are sent, their budget, and which requests wait for them.

use crate::actions::{rejected, sent_to};
use crate::common::*;
use sillward_balancer::*;

fn health_check_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::HealthCheck { .. }))
        .count()
}

#[test]
fn waits_for_health_checks_and_sends_to_the_idle_server() {
    let mut harness = Harness::with_servers(with_health_checks(), 4);
    let (id, actions) = harness.request(0);
    assert!(
        health_check_count(&actions) > 0 && sent_to(&actions).is_empty(),
        "{actions:?}"
    );
    harness.advance(ms(1));
    harness.respond_to_health_checks(&[2]);
    assert_eq!(harness.server_of(id, 0), ServerId(2));
}

#[test]
fn waits_only_briefly_for_a_health_check_without_a_response() {
    let mut harness = Harness::with_servers(with_health_checks(), 4);
    let (id, _) = harness.request(0);
    harness.advance(ms(40));
    assert_eq!(harness.attempts_in_flight(), [(id, 0)]);
}

#[test]
fn keeps_health_checks_within_their_budget() {
    let mut settings = with_health_checks();
    settings.penalties.health_check = 0.05; // a budget of 0.01 per request pays for one health check in five requests
    let mut harness = Harness::with_servers(settings, 8);
    let health_checks: usize = (0..100)
        .map(|_| {
            let before = harness.log.len();
            harness.request(0);
            harness.advance(ms(1));
            harness.respond_to_health_checks(&[0, 1, 2, 3, 4, 5, 6, 7]);
            harness.advance(ms(30));
            for (id, attempt) in harness.attempts_in_flight() {
                harness.end_attempt(id, attempt, Outcome::Served, None);
            }
            health_check_count(&harness.log[before..])
        })
        .sum();
    assert!(
        (10..=21).contains(&health_checks),
        "{health_checks} health checks for 100 requests"
    );
}

#[test]
fn sends_no_health_checks_in_place_of_servers_known_to_be_busy() {
    // Servers known to be busy were set aside, and requests sent without any information hit other busy ones.
    let mut harness = Harness::with_servers(with_health_checks(), 3);
    for _ in 0..60 {
        harness.request(0);
        for _ in 0..4 {
            harness.advance(ms(1));
            while harness.end_health_check(Some(9.0)).is_some() {}
        }
        for (id, attempt) in harness.attempts_in_flight() {
            harness.end_attempt(id, attempt, Outcome::Rejected, None);
        }
    }
    let (_, actions) = harness.request(0);
    harness.advance(ms(1));
    let before = harness.log.len();
    while harness.end_health_check(Some(9.0)).is_some() {}
    let after = &harness.log[before..];
    assert!(
        rejected(&actions) || rejected(after),
        "{actions:?} {after:?}"
    );
}
