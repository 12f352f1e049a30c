//! Measures the time that the balancer takes for a request and its outcome, with a typical and a large number of servers.

#![allow(missing_docs)] // the macros define functions without documentation

use criterion::{Criterion, criterion_group, criterion_main};
use sillward_balancer::{
    Action, AttemptEnd, Balancer, Endpoint, EndpointUpdate, Event, HealthCheckEnd, LoadReport,
    NewRequest, Outcome, ReportSource, RequestId, ServerId, ServerState, Settings,
};
use std::time::Duration;

/// A node with load reports in responses or from health checks.
struct Node {
    balancer: Balancer,
    now: Duration,
    next: u64,
    actions: Vec<Action>,
}

impl Node {
    fn new(servers: u64, reports: ReportSource) -> Self {
        let mut settings = Settings {
            nodes: 20,
            reports,
            ..Settings::default()
        };
        settings.limits.health_checks = reports == ReportSource::HealthChecks;
        settings.penalties.health_check = 0.002;
        let mut node = Node {
            balancer: Balancer::new(settings, 7),
            now: Duration::from_secs(100),
            next: 1,
            actions: Vec::new(),
        };
        let endpoint = |number| Endpoint {
            id: ServerId(number * 0x1_0001),
            state: ServerState::Ready,
            ..Endpoint::default()
        };
        node.handle(Event::EndpointList {
            update: EndpointUpdate::Full,
            endpoints: (0..servers).map(endpoint).collect(),
        });
        (0..5_000).for_each(|_| node.request());
        node
    }

    fn handle(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// Runs a request and ends all resulting attempts and health checks.
    fn request(&mut self) {
        self.now += Duration::from_micros(700);
        let id = RequestId(self.next);
        self.next += 1;
        self.handle(Event::Request(NewRequest {
            id,
            remaining: Duration::from_millis(900),
            ..NewRequest::default()
        }));
        let load = if self.next % 3 == 0 { 1.0 } else { 0.0 };
        let report = Some(LoadReport {
            in_flight: Some(load),
            ..LoadReport::default()
        });
        let elapsed = Duration::from_millis(20);
        let outcome = Outcome::Served;
        while let Some(action) = self.actions.pop() {
            match action {
                Action::Send { id, server, .. } => self.handle(Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt: 0,
                    server,
                    outcome,
                    elapsed,
                    has_final_response: true,
                    body_consumed: false,
                    report,
                })),
                Action::HealthCheck { server } => {
                    self.handle(Event::HealthChecked(HealthCheckEnd {
                        server,
                        outcome,
                        elapsed,
                        report,
                    }));
                }
                _ => {}
            }
        }
    }
}

fn requests(criterion: &mut Criterion) {
    for servers in [147, 1000] {
        for (name, reports) in [
            ("responses", ReportSource::Responses),
            ("health checks", ReportSource::HealthChecks),
        ] {
            let mut node = Node::new(servers, reports);
            criterion.bench_function(&format!("request, {servers} servers, {name}"), |bench| {
                bench.iter(|| node.request());
            });
        }
    }
}

criterion_group!(benches, requests);
criterion_main!(benches);
