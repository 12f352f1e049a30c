//! Generated event sequences: runs a balancer with simulated servers, clients and an endpoint list.

use super::conditions::{self, Behaviour, SimulatedServer};
use super::encoding::Digest;
use super::random::Random;
use sillward_balancer::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The longest duration of a sequence, in simulated microseconds.
const MAX_DURATION_US: u64 = 600_000_000;

enum ScheduledEvent {
    Arrival,
    BodyComplete(RequestId),
    ResponseStarted(RequestId, u32),
    AttemptEnd(RequestId, u32, Outcome),
    ClientGone(RequestId),
    Timer(u64),
    HealthCheckEnd(ServerId, Outcome),
    ListChange,
    SettingsChange,
    FaultChange,
    LoadChange,
    UnexpectedEvent,
}

struct SimulatedAttempt {
    server: ServerId,
    sent_us: u64,
    report: Option<LoadReport>,
    ended: bool,
}

/// A running sequence.
pub struct Sequence {
    random: Random,
    balancer: Balancer,
    settings: Settings,
    now_us: u64,
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    scheduled: u64,
    servers: Vec<SimulatedServer>,
    /// The attempts of each request, in the order of sending.
    attempts: BTreeMap<RequestId, Vec<SimulatedAttempt>>,
    finished: BTreeSet<RequestId>,
    health_checks: BTreeMap<ServerId, u64>,
    next_request: u64,
    arrival_gap_us: u64,
    pub digest: Digest,
    pub events: u64,
}

/// Runs the sequence of a seed until `events` events have been handled.
pub fn run(seed: u64, events: u64) -> Sequence {
    let mut random = Random::new(seed);
    let settings = conditions::settings(&mut random);
    let count = random.pick(&[1, 2, 3, 6, 12, 40, 90]);
    let servers: Vec<_> = (0..count)
        .map(|number| conditions::server(&mut random, number))
        .collect();
    let mut sequence = Sequence {
        balancer: Balancer::new(settings.clone(), seed),
        settings,
        now_us: random.between(1, 5_000_000),
        queue: BTreeMap::new(),
        scheduled: 0,
        servers,
        attempts: BTreeMap::new(),
        finished: BTreeSet::new(),
        health_checks: BTreeMap::new(),
        next_request: 1,
        arrival_gap_us: 0,
        digest: Digest::new(),
        events: 0,
        random,
    };
    sequence.start();
    while sequence.events < events && sequence.now_us < MAX_DURATION_US {
        sequence.step();
    }
    sequence
}

impl Sequence {
    pub fn balancer(&self) -> &Balancer {
        &self.balancer
    }

    fn start(&mut self) {
        self.change_load();
        if self.random.chance(0.5) {
            let endpoints = self.listed_endpoints();
            self.handle(Event::EndpointList {
                update: EndpointUpdate::Cached,
                endpoints,
            });
        }
        if self.random.chance(0.9) {
            let endpoints = self.listed_endpoints();
            self.handle(Event::EndpointList {
                update: EndpointUpdate::Full,
                endpoints,
            });
        }
        for event in [
            ScheduledEvent::Arrival,
            ScheduledEvent::ListChange,
            ScheduledEvent::SettingsChange,
            ScheduledEvent::FaultChange,
            ScheduledEvent::LoadChange,
        ] {
            let after = self.random.between(100, 900_000);
            self.schedule(after, event);
        }
        self.schedule(50_000, ScheduledEvent::UnexpectedEvent);
    }

    fn schedule(&mut self, after_us: u64, event: ScheduledEvent) {
        self.scheduled += 1;
        self.queue
            .insert((self.now_us + after_us, self.scheduled), event);
    }

    fn step(&mut self) {
        let Some(((at, _), event)) = self.queue.pop_first() else {
            return;
        };
        self.now_us = self.now_us.max(at);
        match event {
            ScheduledEvent::Arrival => self.arrival(),
            ScheduledEvent::BodyComplete(id) => {
                let body_consumed = self.random.chance(0.3);
                self.handle(Event::BodyComplete {
                    id,
                    since_last_byte: Duration::ZERO,
                    body_consumed,
                });
            }
            ScheduledEvent::ResponseStarted(id, attempt) => self.response_started(id, attempt),
            ScheduledEvent::AttemptEnd(id, attempt, outcome) => {
                self.attempt_end(id, attempt, outcome)
            }
            ScheduledEvent::ClientGone(id) => {
                if self.finished.insert(id) {
                    self.handle(Event::ClientGone { id });
                }
            }
            ScheduledEvent::Timer(token) => self.handle(Event::Timer { token }),
            ScheduledEvent::HealthCheckEnd(server, outcome) => {
                self.health_check_end(server, outcome)
            }
            ScheduledEvent::ListChange => self.list_change(),
            ScheduledEvent::SettingsChange => {
                conditions::change_settings(&mut self.random, &mut self.settings);
                self.handle(Event::Settings(Box::new(self.settings.clone())));
                let after = self.random.between(500_000, 6_000_000);
                self.schedule(after, ScheduledEvent::SettingsChange);
            }
            ScheduledEvent::FaultChange => {
                let server = self.random.below(self.servers.len() as u64) as usize;
                self.servers[server].behaviour = conditions::behaviour(&mut self.random);
                let after = self.random.between(50_000, 1_500_000);
                self.schedule(after, ScheduledEvent::FaultChange);
            }
            ScheduledEvent::LoadChange => {
                self.change_load();
                let after = self.random.between(300_000, 3_000_000);
                self.schedule(after, ScheduledEvent::LoadChange);
            }
            ScheduledEvent::UnexpectedEvent => self.unexpected_event(),
        }
    }

    /// Sets the request rate to between 5% and 200% of the servers' capacity.
    fn change_load(&mut self) {
        let capacity: f64 = self
            .servers
            .iter()
            .map(|s| s.cores as f64 / s.work_us as f64)
            .sum();
        let load = self.random.pick(&[0.05, 0.3, 0.6, 0.9, 1.2, 2.0]);
        self.arrival_gap_us = ((1.0 / (capacity * load)) as u64).clamp(50, 400_000);
    }

    fn handle(&mut self, event: Event) {
        self.events += 1;
        let mut actions = Vec::new();
        self.balancer
            .handle(Duration::from_micros(self.now_us), event, &mut actions);
        let counts = self.balancer.endpoint_counts();
        self.digest.number(counts.listed as u64);
        self.digest.number(counts.ejected as u64);
        for action in actions {
            self.digest.action(&action);
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
            } => self.send(id, server, timeout),
            Action::Reject { id, .. } | Action::Fail { id } => {
                self.finished.insert(id);
            }
            Action::CancelAttempt { id, attempt } => {
                let after = self.random.between(0, 2000);
                self.schedule(
                    after,
                    ScheduledEvent::AttemptEnd(id, attempt, Outcome::Cancelled),
                );
            }
            Action::SetTimer { after, token } => {
                let late = self
                    .random
                    .below(self.settings.timer_resolution.as_micros() as u64 + 1);
                self.schedule(
                    after.as_micros() as u64 + late,
                    ScheduledEvent::Timer(token),
                );
            }
            Action::HealthCheck { server } => self.start_health_check(server),
            Action::WatchEndpoints { .. } | Action::FetchEndpoints => self.poll(),
            _ => {}
        }
    }

    fn arrival(&mut self) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let number = self.random.below(self.settings.classes.len() as u64 + 1) as usize;
        let class = &self.settings.classes[number.min(self.settings.classes.len() - 1)];
        let deadline_us = class.deadline.as_micros() as u64;
        let remaining_us = match self.random.below(8) {
            0 => self.random.between(1, deadline_us),
            1 => self.random.between(1, 20_000),
            _ => deadline_us,
        };
        let expected_work_us = self.random.chance(0.4).then(|| match self.random.below(6) {
            0 => self.random.between(1, 3_000_000),
            _ => self.random.between(5_000, 60_000),
        });
        let body_pending = self.random.chance(0.06);
        let new = NewRequest {
            id,
            class: number,
            tenant: self.random.below(self.settings.tenants.len() as u64 + 1) as usize,
            key: self.random.below(100),
            remaining: Duration::from_micros(remaining_us),
            expected_work: expected_work_us.map(Duration::from_micros),
            client_retry: self.random.chance(0.2),
            body_pending,
            policy: None,
        };
        self.attempts.insert(id, Vec::new());
        if body_pending {
            let after = self.random.between(1_000, 400_000);
            self.schedule(after, ScheduledEvent::BodyComplete(id));
        }
        if self.random.chance(0.04) {
            let after = self.random.between(0, 300_000);
            self.schedule(after, ScheduledEvent::ClientGone(id));
        }
        self.handle(Event::Request(new));
        let gap = (-self.random.unit().max(1e-6).ln() * self.arrival_gap_us as f64) as u64;
        self.schedule(gap, ScheduledEvent::Arrival);
    }

    fn simulated_server(&mut self, server: ServerId) -> Option<&mut SimulatedServer> {
        self.servers.iter_mut().find(|s| s.endpoint.id == server)
    }

    /// A server's load report: sometimes noisy, sometimes absent.
    fn report(&mut self, server: ServerId) -> Option<LoadReport> {
        let noise = self.random.unit() as f32;
        let report_kind = self.random.below(5);
        let in_flight = self.simulated_server(server)?.in_flight as f32;
        match report_kind {
            0 => None,
            1 => Some(LoadReport {
                queue: Some((in_flight - 2.0).max(0.0)),
                ..LoadReport::default()
            }),
            2 => Some(LoadReport {
                in_flight: Some(in_flight * (0.5 + noise)),
                ..LoadReport::default()
            }),
            _ => Some(LoadReport {
                in_flight: Some(in_flight),
                ..LoadReport::default()
            }),
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Duration) {
        let connect_us = self.settings.limits.connect_timeout.as_micros() as u64;
        let report = self.report(server);
        let draw = self.random.unit();
        let (mut outcome, mut after) = (Outcome::NotSent, 100);
        if let Some(simulated) = self.simulated_server(server) {
            simulated.in_flight += 1;
            let wait = 1.0 + simulated.in_flight.saturating_sub(1) as f64 / simulated.cores as f64;
            let work = (simulated.work_us as f64 * wait * (0.3 - draw.max(1e-6).ln() * 0.7)) as u64;
            (outcome, after) = match simulated.behaviour {
                Behaviour::Healthy if draw < 0.01 => (Outcome::Error, work),
                Behaviour::Healthy => (Outcome::Served, work),
                Behaviour::Slow => (Outcome::Served, work * 6),
                Behaviour::Hanging => (Outcome::TimedOut, MAX_DURATION_US),
                Behaviour::Failing => (Outcome::Error, 700),
                Behaviour::Resetting => (Outcome::Reset, work / 2),
                Behaviour::Rejecting => (Outcome::Rejected, 600),
                Behaviour::Unreachable => (Outcome::ConnectFailed, 300),
                Behaviour::SlowConnect => (Outcome::ConnectFailed, connect_us + 100),
            };
        }
        let timeout_us = timeout.as_micros() as u64;
        if after > timeout_us {
            (outcome, after) = (Outcome::TimedOut, timeout_us);
        }
        let attempts = self.attempts.entry(id).or_default();
        let attempt = attempts.len() as u32;
        attempts.push(SimulatedAttempt {
            server,
            sent_us: self.now_us,
            report,
            ended: false,
        });
        if outcome == Outcome::Served && self.random.chance(0.06) {
            self.schedule(after / 2, ScheduledEvent::ResponseStarted(id, attempt));
        }
        self.schedule(after, ScheduledEvent::AttemptEnd(id, attempt, outcome));
    }

    fn response_started(&mut self, id: RequestId, attempt: u32) {
        let Some(sent) = self
            .attempts
            .get(&id)
            .and_then(|all| all.get(attempt as usize))
        else {
            return;
        };
        if sent.ended || self.finished.contains(&id) {
            return;
        }
        let (server, report) = (sent.server, sent.report);
        self.handle(Event::ResponseStarted {
            id,
            attempt,
            server,
            report,
        });
    }

    fn attempt_end(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let now_us = self.now_us;
        let Some(sent) = self
            .attempts
            .get_mut(&id)
            .and_then(|all| all.get_mut(attempt as usize))
        else {
            return;
        };
        if std::mem::replace(&mut sent.ended, true) {
            return;
        }
        let (server, report, elapsed_us) = (sent.server, sent.report, now_us - sent.sent_us);
        if let Some(simulated) = self.simulated_server(server) {
            simulated.in_flight = simulated.in_flight.saturating_sub(1);
        }
        let finished = self.finished.contains(&id) || outcome == Outcome::Served;
        if outcome == Outcome::Served {
            self.finished.insert(id);
        }
        let body_consumed = self.random.chance(0.03);
        let end = AttemptEnd {
            id,
            attempt,
            server,
            outcome,
            elapsed: Duration::from_micros(elapsed_us),
            has_final_response: finished,
            body_consumed,
            report,
        };
        self.handle(Event::AttemptEnded(end));
    }

    fn start_health_check(&mut self, server: ServerId) {
        self.health_checks.insert(server, self.now_us);
        let draw = self.random.between(300, 6_000);
        let (outcome, after) = match self.simulated_server(server).map(|s| s.behaviour) {
            None | Some(Behaviour::Unreachable) => (Outcome::ConnectFailed, 200),
            Some(Behaviour::Hanging) => (Outcome::TimedOut, 250_000),
            Some(Behaviour::Failing) => (Outcome::Error, 500),
            Some(Behaviour::Slow) => (Outcome::Served, draw * 5),
            Some(_) => (Outcome::Served, draw),
        };
        self.schedule(after, ScheduledEvent::HealthCheckEnd(server, outcome));
    }

    fn health_check_end(&mut self, server: ServerId, outcome: Outcome) {
        let Some(sent_us) = self.health_checks.remove(&server) else {
            return;
        };
        let report = if outcome == Outcome::Served {
            self.report(server)
        } else {
            None
        };
        let elapsed = Duration::from_micros(self.now_us - sent_us);
        self.handle(Event::HealthChecked(HealthCheckEnd {
            server,
            outcome,
            elapsed,
            report,
        }));
    }

    fn listed_endpoints(&self) -> Vec<Endpoint> {
        self.servers
            .iter()
            .filter(|s| s.listed)
            .map(|s| s.endpoint)
            .collect()
    }

    /// Responds to a poll of the endpoint list with the full list or a failure.
    fn poll(&mut self) {
        let update = if self.random.chance(0.25) {
            EndpointUpdate::Failed
        } else {
            EndpointUpdate::Full
        };
        let endpoints = if update == EndpointUpdate::Full {
            self.listed_endpoints()
        } else {
            Vec::new()
        };
        self.handle(Event::EndpointList { update, endpoints });
    }

    fn list_change(&mut self) {
        let count = self.random.between(1, 1 + self.servers.len() as u64 / 4);
        let changed: Vec<_> = (0..count).map(|_| self.change_server()).collect();
        match self.random.below(10) {
            0 => self.handle(Event::EndpointList {
                update: EndpointUpdate::Failed,
                endpoints: Vec::new(),
            }),
            1 | 2 => {
                let endpoints = self.listed_endpoints();
                self.handle(Event::EndpointList {
                    update: EndpointUpdate::Full,
                    endpoints,
                });
            }
            3 => {
                let endpoints = self.listed_endpoints();
                self.handle(Event::EndpointList {
                    update: EndpointUpdate::Cached,
                    endpoints,
                });
            }
            _ => self.handle(Event::EndpointList {
                update: EndpointUpdate::Incremental,
                endpoints: changed,
            }),
        }
        let after = self.random.between(50_000, 2_500_000);
        self.schedule(after, ScheduledEvent::ListChange);
    }

    /// Makes one server drain, leave, return or restart.
    fn change_server(&mut self) -> Endpoint {
        let index = self.random.below(self.servers.len() as u64) as usize;
        let draw = self.random.below(8);
        let now = Duration::from_micros(self.now_us);
        let server = &mut self.servers[index];
        let state = match draw {
            0 => ServerState::Draining,
            1 => ServerState::Removed,
            _ => ServerState::Ready,
        };
        if draw > 4 {
            server.endpoint.started_at = Some(now);
            server.behaviour = Behaviour::Healthy;
        }
        server.endpoint.state = state;
        server.listed = state != ServerState::Removed;
        server.endpoint
    }

    /// Sends an event that a correct host never sends or that the balancer ignores.
    fn unexpected_event(&mut self) {
        let id = RequestId(self.random.below(self.next_request + 2));
        let server = ServerId(self.random.below(60));
        match self.random.below(9) {
            0 => self.handle(Event::PeerMessage {
                from: 1,
                data: vec![1, 2, 3],
            }),
            1 => self.handle(Event::Timer { token: id.0 }),
            2 => self.handle(Event::BodyComplete {
                id,
                since_last_byte: Duration::ZERO,
                body_consumed: false,
            }),
            3 => self.handle(Event::ResponseStarted {
                id,
                attempt: 9,
                server,
                report: None,
            }),
            4 => self.handle(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: 7,
                server,
                outcome: Outcome::Reset,
                elapsed: Duration::from_millis(5),
                has_final_response: false,
                body_consumed: false,
                report: Some(LoadReport::default()),
            })),
            5 => self.handle(Event::HealthChecked(HealthCheckEnd {
                server,
                outcome: Outcome::ConnectFailed,
                elapsed: Duration::from_millis(900),
                report: None,
            })),
            6 => {
                let unlisted = Endpoint {
                    id: ServerId(1_000_000),
                    ..Endpoint::default()
                };
                self.handle(Event::EndpointList {
                    update: EndpointUpdate::Incremental,
                    endpoints: vec![unlisted],
                });
            }
            7 => {
                // The clock steps back.
                let now_us = self.now_us;
                self.now_us = now_us.saturating_sub(3_000);
                self.handle(Event::Timer { token: id.0 });
                self.now_us = now_us;
            }
            _ => self.handle(Event::ClientGone {
                id: RequestId(self.next_request + 1),
            }),
        }
        let after = self.random.between(100_000, 2_000_000);
        self.schedule(after, ScheduledEvent::UnexpectedEvent);
    }
}
