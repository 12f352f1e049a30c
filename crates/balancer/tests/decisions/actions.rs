//! Helpers of the decision tests: inspect actions, run requests.

use crate::common::{Harness, endpoint, ms};
use sillward_balancer::*;
use std::collections::BTreeMap;

pub fn sent_to(actions: &[Action]) -> Vec<u64> {
    let send = |action: &Action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Runs one request of 20 ms that is served with a report of `load` requests in flight; returns its server.
pub fn serve(harness: &mut Harness, load: f32) -> u64 {
    let (id, actions) = harness.request(0);
    let servers = sent_to(&actions);
    assert_eq!(
        servers.len(),
        1,
        "idle servers are sent a request at once: {actions:?}"
    );
    harness.advance(ms(20));
    harness.end_attempt(id, 0, Outcome::Served, Some(load));
    servers[0]
}

/// Runs `count` requests, one every 30 ms; `outcome_of` gives the outcome of an attempt at a server. Returns the sends per
/// server.
pub fn run_requests(
    harness: &mut Harness,
    count: usize,
    outcome_of: impl Fn(u64) -> Outcome,
) -> BTreeMap<u64, usize> {
    let mut sends_per_server = BTreeMap::new();
    for _ in 0..count {
        harness.request(1);
        harness.advance(ms(30));
        for (id, attempt) in harness.attempts_in_flight() {
            let server = harness.server_of(id, attempt).0;
            *sends_per_server.entry(server).or_insert(0) += 1;
            harness.end_attempt(id, attempt, outcome_of(server), Some(0.0));
        }
    }
    sends_per_server
}

/// Two servers in the same zone and cell, so that a scope never excludes the other server from a retry.
pub fn harness_with_servers_in_one_zone(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings);
    harness.update_endpoints(EndpointUpdate::Full, vec![endpoint(0), endpoint(3)]);
    harness
}
