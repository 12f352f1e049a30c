//! Checks that memory does not grow with finished requests and removed servers. The only test in its process, because it
//! measures the memory of the process.

mod common;

use common::{endpoint, ms, with_health_checks};
use sillward_balancer::*;
use std::time::Duration;

/// Resident memory in KiB; `None` without Linux's `/proc`.
fn resident_memory_kib() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Runs requests while the endpoint list changes. Performs sends and health checks and ignores other actions.
fn run_requests(balancer: &mut Balancer, requests: std::ops::Range<u64>) {
    let mut actions = Vec::new();
    for number in requests {
        let now = ms(1000) + Duration::from_micros(number * 1500);
        if number % 10 == 0 {
            let servers = number / 10..number / 10 + 4;
            let list = Event::EndpointList {
                update: EndpointUpdate::Full,
                endpoints: servers.map(endpoint).collect(),
            };
            balancer.handle(now, list, &mut actions);
        }
        let id = RequestId(number);
        let new = NewRequest {
            id,
            class: 0,
            tenant: 0,
            key: number,
            remaining: ms(900),
            expected_work: None,
            client_retry: false,
            body_pending: false,
            policy: None,
        };
        balancer.handle(now, Event::Request(new), &mut actions);
        while let Some(action) = actions.pop() {
            let report = Some(LoadReport {
                in_flight: Some(0.0),
                ..LoadReport::default()
            });
            let (outcome, elapsed) = (Outcome::Served, ms(1));
            let event = match action {
                Action::Send { id, server, .. } => {
                    let end = AttemptEnd {
                        id,
                        attempt: 0,
                        server,
                        outcome,
                        elapsed,
                        has_final_response: true,
                        body_consumed: false,
                        report,
                    };
                    Event::AttemptEnded(end)
                }
                Action::HealthCheck { server } => Event::HealthChecked(HealthCheckEnd {
                    server,
                    outcome,
                    elapsed,
                    report,
                }),
                _ => continue,
            };
            balancer.handle(now, event, &mut actions);
        }
    }
}

#[test]
fn memory_does_not_grow_with_finished_requests_and_removed_servers() {
    let mut balancer = Balancer::new(with_health_checks(), 1);
    run_requests(&mut balancer, 1..20_000);
    let Some(before) = resident_memory_kib() else {
        return eprintln!("not checked: /proc is not available");
    };
    run_requests(&mut balancer, 20_000..150_000);
    let grown = resident_memory_kib()
        .unwrap_or(before)
        .saturating_sub(before);
    // A leak of 100 bytes per request would be 13 MB.
    assert!(grown < 2048, "{grown} KiB more after 130,000 requests");
}
