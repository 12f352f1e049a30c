//! A test harness for one balancer. It delivers valid events, performs the actions, and checks the safety rules with its
//! own bookkeeping:
//!
//! 1. Each request gets exactly one final response, by its deadline.
//! 2. A request that may have run is sent again, or rejected as safe to retry, only as its idempotency allows.
//! 3. No request is sent to a draining or removed server after the drain grace.
//! 4. A warming server is sent no more than its allowance (checked by the tests of slow start).
#![allow(dead_code, unreachable_pub)] // no test file uses all helpers

use sillward_balancer::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A ready server that is not warming up, in zone and cell `number % 3`.
pub fn endpoint(number: u64) -> Endpoint {
    let (zone, cell) = ((number % 3) as u8, (number % 3) as u16);
    Endpoint {
        id: ServerId(number),
        zone,
        cell,
        state: ServerState::Ready,
        weight: 1.0,
        ..Default::default()
    }
}

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: ms(400),
        objective_stretch: 0.0,
        deadline: ms(1000),
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
        streamed: false,
    }
}

/// Settings of a fleet of three nodes. Class 0 is idempotent, 1 non-idempotent, 2 keyed per zone, 3 keyed per cell and 4
/// keyed across all servers.
pub fn settings() -> Settings {
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: ms(300),
    };
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        keyed(Scope::Zone),
        keyed(Scope::Cell),
        keyed(Scope::All),
    ];
    let mut settings = Settings {
        nodes: 3,
        classes: idempotencies.map(class).to_vec(),
        ..Settings::default()
    };
    settings.limits.cancel_attempts = true;
    settings.limits.hedging = true;
    settings
}

pub fn with_health_checks() -> Settings {
    let mut settings = settings();
    settings.reports = ReportSource::HealthChecks;
    settings.limits.health_checks = true;
    settings.penalties.health_check = 0.002;
    settings
}

pub fn with_load_reports() -> Settings {
    Settings {
        reports: ReportSource::Responses,
        ..settings()
    }
}

struct SentAttempt {
    server: ServerId,
    sent_at: Duration,
    ends_at: Duration,
    outcome: Option<Outcome>,
}

struct AcceptedRequest {
    /// The idempotency of its class when it was accepted.
    idempotency: Idempotency,
    deadline: Duration,
    finished: bool,
    attempts: Vec<SentAttempt>,
}

/// One node and its simulated environment. Panics when a safety rule is violated.
pub struct Harness {
    pub now: Duration,
    pub settings: Settings,
    pub balancer: Balancer,
    /// All actions so far, in order.
    pub log: Vec<Action>,
    requests: BTreeMap<RequestId, AcceptedRequest>,
    timers: BTreeMap<(Duration, usize), u64>,
    timers_set: usize,
    /// Each server's last entry in the endpoint list, and since when it has been draining or removed.
    listed: BTreeMap<ServerId, (Endpoint, Option<Duration>)>,
    health_checks_in_flight: Vec<(ServerId, Duration)>,
    next_id: u64,
}

impl Harness {
    pub fn new(settings: Settings) -> Self {
        Self::with_seed(settings, 1)
    }

    pub fn with_seed(settings: Settings, seed: u64) -> Self {
        Harness {
            now: ms(100_000),
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            log: Vec::new(),
            requests: BTreeMap::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            listed: BTreeMap::new(),
            health_checks_in_flight: Vec::new(),
            next_id: 1,
        }
    }

    /// A harness whose node knows servers 0, 1, 2 ...
    pub fn with_servers(settings: Settings, count: u64) -> Self {
        let mut harness = Harness::new(settings);
        harness.update_endpoints(EndpointUpdate::Full, (0..count).map(endpoint).collect());
        harness
    }

    /// Delivers an event; performs, checks and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions.iter().for_each(|action| self.perform(action));
        self.log.extend(actions.iter().cloned());
        actions
    }

    pub fn update_endpoints(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) -> Vec<Action> {
        let now = self.now;
        if matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached) {
            self.listed
                .values_mut()
                .for_each(|(_, stopped_at)| *stopped_at = stopped_at.or(Some(now)));
        }
        for endpoint in &endpoints {
            let since = self
                .listed
                .get(&endpoint.id)
                .and_then(|(_, stopped_at)| *stopped_at)
                .unwrap_or(now);
            let stopped_at = (endpoint.state != ServerState::Ready).then_some(since);
            self.listed.insert(endpoint.id, (*endpoint, stopped_at));
        }
        self.handle(Event::EndpointList { update, endpoints })
    }

    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with(class, 0, ms(1000), None)
    }

    pub fn request_with(
        &mut self,
        class: usize,
        tenant: usize,
        remaining: Duration,
        expected_work: Option<Duration>,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        (
            id,
            self.handle_request(NewRequest {
                id,
                class,
                tenant,
                key: 0,
                remaining,
                expected_work,
                client_retry: false,
                body_pending: false,
                policy: None,
            }),
        )
    }

    /// Delivers a new request.
    pub fn handle_request(&mut self, new: NewRequest) -> Vec<Action> {
        let deadline = self.now + new.remaining;
        let request = AcceptedRequest {
            idempotency: match &new.policy {
                Some(policy) => policy.class.idempotency,
                None => self.settings.classes[new.class].idempotency,
            },
            deadline,
            finished: false,
            attempts: Vec::new(),
        };
        self.requests.insert(new.id, request);
        self.handle(Event::Request(new))
    }

    /// Ends an attempt that is in flight.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        load: Option<f32>,
    ) -> Vec<Action> {
        let request = self.requests.get_mut(&id).expect("a request");
        let sent_attempt = &mut request.attempts[attempt];
        assert!(
            sent_attempt.outcome.is_none(),
            "the test ends an attempt twice"
        );
        sent_attempt.outcome = Some(outcome);
        let (server, elapsed) = (sent_attempt.server, self.now - sent_attempt.sent_at);
        request.finished |= outcome == Outcome::Served;
        let finished = request.finished;
        let report = load.map(|load| LoadReport {
            in_flight: Some(load),
            ..LoadReport::default()
        });
        let attempt = attempt as u32;
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            server,
            outcome,
            elapsed,
            has_final_response: finished,
            body_consumed: false,
            report,
        }))
    }

    /// Ends the oldest health check in flight: with a load report, or timed out where `load` is `None`.
    pub fn end_health_check(&mut self, load: Option<f32>) -> Option<ServerId> {
        let (server, sent) = (!self.health_checks_in_flight.is_empty())
            .then(|| self.health_checks_in_flight.remove(0))?;
        let outcome = if load.is_some() {
            Outcome::Served
        } else {
            Outcome::TimedOut
        };
        let report = load.map(|load| LoadReport {
            in_flight: Some(load),
            ..LoadReport::default()
        });
        self.handle(Event::HealthChecked(HealthCheckEnd {
            server,
            outcome,
            elapsed: self.now - sent,
            report,
        }));
        Some(server)
    }

    /// Ends all health checks in flight: the servers in `idle` report no load, the others two requests in flight.
    pub fn respond_to_health_checks(&mut self, idle: &[u64]) {
        while let Some((server, _)) = self.health_checks_in_flight.first() {
            let load = if idle.contains(&server.0) { 0.0 } else { 2.0 };
            self.end_health_check(Some(load));
        }
    }

    pub fn disconnect_client(&mut self, id: RequestId) {
        self.requests.get_mut(&id).expect("a request").finished = true;
        self.handle(Event::ClientGone { id });
    }

    /// Advances the clock: fires timers, and times out attempts and health checks.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = (self.now + self.settings.timer_resolution).min(end);
            while let Some((&due, _)) = self
                .timers
                .first_key_value()
                .filter(|((at, _), _)| *at <= self.now)
            {
                let token = self.timers.remove(&due).expect("a timer");
                self.handle(Event::Timer { token });
            }
            for (id, attempt) in self.attempts_in_flight() {
                let sent_attempt = &self.requests[&id].attempts[attempt];
                if sent_attempt.outcome.is_none() && sent_attempt.ends_at <= self.now {
                    self.end_attempt(id, attempt, Outcome::TimedOut, None);
                }
            }
            while self
                .health_checks_in_flight
                .first()
                .is_some_and(|(_, sent)| self.now >= *sent + ms(250))
            {
                self.end_health_check(None);
            }
            for (id, request) in &self.requests {
                assert!(
                    request.finished || self.now <= request.deadline + ms(5),
                    "rule 1: {id:?} has no final response"
                );
            }
        }
    }

    pub fn attempts_in_flight(&self) -> Vec<(RequestId, usize)> {
        let attempts = self.requests.iter().flat_map(|(id, request)| {
            let attempts = request.attempts.iter().enumerate();
            attempts.map(|(index, attempt)| (*id, index, attempt))
        });
        attempts
            .filter(|(_, _, attempt)| attempt.outcome.is_none())
            .map(|(id, index, _)| (id, index))
            .collect()
    }

    /// The time since the request's first attempt was sent.
    pub fn time_since_first_send(&self, id: RequestId) -> Duration {
        self.now - self.requests[&id].attempts[0].sent_at
    }

    pub fn is_finished(&self, id: RequestId) -> bool {
        self.requests[&id].finished
    }

    pub fn server_of(&self, id: RequestId, attempt: usize) -> ServerId {
        self.requests[&id].attempts[attempt].server
    }

    /// The requests that still need a final response.
    pub fn unfinished_requests(&self) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, request)| !request.finished)
            .map(|(id, _)| *id)
            .collect()
    }

    fn perform(&mut self, action: &Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
            } => self.check_send(*id, *server, *timeout),
            Action::Reject { id, .. } => {
                let request = self
                    .requests
                    .get_mut(id)
                    .expect("rule 1: rejects an unknown request");
                assert!(
                    !request.finished,
                    "rule 1: a second final response for {id:?}"
                );
                let may_have_run = request
                    .attempts
                    .iter()
                    .any(|t| !t.outcome.is_some_and(proves_no_run));
                let allowed = match request.idempotency {
                    Idempotency::Idempotent
                    | Idempotency::Keyed {
                        scope: Scope::All, ..
                    } => true,
                    _ => !may_have_run,
                };
                assert!(allowed, "rule 2: {id:?} may have run and is rejected");
                request.finished = true;
            }
            Action::Fail { id } => {
                let request = self
                    .requests
                    .get_mut(id)
                    .expect("rule 1: fails an unknown request");
                assert!(
                    !request.finished,
                    "rule 1: a second final response for {id:?}"
                );
                request.finished = true;
            }
            Action::CancelAttempt { id, attempt } => {
                assert!(
                    self.settings.limits.cancel_attempts,
                    "cancels an attempt although the settings forbid it"
                );
                let sent_attempt =
                    &mut self.requests.get_mut(id).expect("a request").attempts[*attempt as usize];
                sent_attempt.ends_at = self.now; // `advance` ends it
            }
            Action::SetTimer { after, token } => {
                // A timer without delay fires in the next step, not in the current one.
                let due = (self.now + *after).max(self.now + Duration::from_nanos(1));
                self.timers_set += 1;
                self.timers.insert((due, self.timers_set), *token);
            }
            Action::HealthCheck { server } => {
                assert!(
                    self.settings.limits.health_checks,
                    "sends a health check although the settings forbid it"
                );
                self.health_checks_in_flight.push((*server, self.now));
            }
            Action::WatchEndpoints { .. } | Action::FetchEndpoints => {}
            other => panic!("unexpected {other:?}"),
        }
    }

    fn check_send(&mut self, id: RequestId, server: ServerId, timeout: Duration) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("rule 1: sends an unknown request");
        assert!(
            !request.finished,
            "rule 1: {id:?} is sent after its final response"
        );
        let (endpoint, stopped_at) = self
            .listed
            .get(&server)
            .expect("sends to a server that was never listed");
        let grace = self.settings.safety.drain_grace;
        assert!(
            stopped_at.is_none_or(|at| self.now <= at + grace),
            "rule 3: {server:?} is draining or removed"
        );
        let limits = &self.settings.limits;
        assert!(
            request.attempts.len() < limits.max_attempts as usize,
            "too many attempts"
        );
        let another_in_flight = request.attempts.iter().any(|t| t.outcome.is_none());
        assert!(
            !another_in_flight || limits.hedging,
            "a second attempt in flight although the settings forbid hedging"
        );
        let may_have_run = request
            .attempts
            .iter()
            .find(|t| !t.outcome.is_some_and(proves_no_run));
        if let Some(first) = may_have_run {
            let first_endpoint = &self.listed[&first.server].0;
            let allowed = match request.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent => false,
                Idempotency::Keyed { scope, window } => {
                    let same_scope = match scope {
                        Scope::All => true,
                        Scope::Zone => first_endpoint.zone == endpoint.zone,
                        Scope::Cell => first_endpoint.cell == endpoint.cell,
                    };
                    same_scope && self.now <= first.sent_at + window
                }
            };
            assert!(
                allowed,
                "rule 2: {id:?} may have run and is sent to {server:?}"
            );
        }
        let ends_at = (self.now + timeout).min(request.deadline);
        request.attempts.push(SentAttempt {
            server,
            sent_at: self.now,
            ends_at,
            outcome: None,
        });
    }
}

/// The outcomes that prove that the request did not run.
fn proves_no_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
    )
}
