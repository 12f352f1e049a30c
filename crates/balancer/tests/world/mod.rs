//! A small world around one node for tests: it plays legal events, obeys the actions, and checks the
//! four rules with bookkeeping of its own.
#![allow(dead_code, unreachable_pub)] // each test file uses its own part of this

use sillward_balancer::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A ready server of long standing. Servers are in zone and cell `number % 3`.
pub fn entry(number: u64) -> Endpoint {
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

pub fn class(repeat: Idempotency) -> Class {
    Class {
        latency_objective: ms(400),
        objective_stretch: 0.0,
        deadline: ms(1000),
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: repeat,
        streamed: false,
    }
}

/// Three nodes; class 0 safe, 1 unsafe, 2 keyed in a zone, 3 keyed in a cell, 4 keyed everywhere.
pub fn settings() -> Settings {
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: ms(300),
    };
    let repeats = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        keyed(Scope::Zone),
        keyed(Scope::Cell),
        keyed(Scope::All),
    ];
    let mut settings = Settings {
        nodes: 3,
        classes: repeats.map(class).to_vec(),
        ..Settings::default()
    };
    settings.limits.cancel_attempts = true;
    settings.limits.hedging = true;
    settings
}

pub fn probing() -> Settings {
    let mut settings = settings();
    settings.reports = ReportSource::HealthChecks;
    settings.limits.health_checks = true;
    settings.penalties.health_check = 0.002;
    settings
}

pub fn answering() -> Settings {
    Settings {
        reports: ReportSource::Responses,
        ..settings()
    }
}

struct Try {
    server: ServerId,
    sent: Duration,
    ends: Duration,
    outcome: Option<Outcome>,
}

struct Taken {
    /// What its class allowed when it came.
    repeat: Idempotency,
    deadline: Duration,
    answered: bool,
    tries: Vec<Try>,
}

/// One node and what surrounds it. Panics when a rule is broken.
pub struct World {
    pub now: Duration,
    pub settings: Settings,
    pub balancer: Balancer,
    /// All actions so far.
    pub log: Vec<Action>,
    requests: BTreeMap<RequestId, Taken>,
    timers: BTreeMap<(Duration, usize), u64>,
    timers_set: usize,
    /// What the node was last told of each server, and when it was told to stop.
    told: BTreeMap<ServerId, (Endpoint, Option<Duration>)>,
    probes: Vec<(ServerId, Duration)>,
    next_id: u64,
}

impl World {
    pub fn new(settings: Settings) -> Self {
        Self::seeded(settings, 1)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        World {
            now: ms(100_000),
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            log: Vec::new(),
            requests: BTreeMap::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            told: BTreeMap::new(),
            probes: Vec::new(),
            next_id: 1,
        }
    }

    /// A world whose node has been told of servers 0, 1, 2 ...
    pub fn with_servers(settings: Settings, count: u64) -> Self {
        let mut world = World::new(settings);
        world.list(EndpointUpdate::Full, (0..count).map(entry).collect());
        world
    }

    /// Lets the node handle an event, obeys and checks what it does, and returns it.
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions.iter().for_each(|action| self.obey(action));
        self.log.extend(actions.iter().cloned());
        actions
    }

    pub fn list(&mut self, kind: EndpointUpdate, entries: Vec<Endpoint>) -> Vec<Action> {
        let now = self.now;
        if matches!(kind, EndpointUpdate::Full | EndpointUpdate::Cached) {
            self.told
                .values_mut()
                .for_each(|(_, stop)| *stop = stop.or(Some(now)));
        }
        for entry in &entries {
            let since = self
                .told
                .get(&entry.id)
                .and_then(|(_, stop)| *stop)
                .unwrap_or(now);
            let stop = (entry.state != ServerState::Ready).then_some(since);
            self.told.insert(entry.id, (*entry, stop));
        }
        self.tell(Event::EndpointList {
            update: kind,
            endpoints: entries,
        })
    }

    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with(class, 0, ms(1000), None)
    }

    pub fn request_with(
        &mut self,
        class: usize,
        tenant: usize,
        remaining: Duration,
        cost: Option<Duration>,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        (
            id,
            self.take(NewRequest {
                id,
                class,
                tenant,
                key: 0,
                remaining,
                expected_work: cost,
                client_retry: false,
                body_pending: false,
            }),
        )
    }

    /// Lets the node take a request.
    pub fn take(&mut self, new: NewRequest) -> Vec<Action> {
        let deadline = self.now + new.remaining;
        let taken = Taken {
            repeat: self.settings.classes[new.class].idempotency,
            deadline,
            answered: false,
            tries: Vec::new(),
        };
        self.requests.insert(new.id, taken);
        self.tell(Event::Request(new))
    }

    /// Ends an attempt that is out.
    pub fn end(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        load: Option<f32>,
    ) -> Vec<Action> {
        let taken = self.requests.get_mut(&id).expect("a request");
        let one = &mut taken.tries[attempt];
        assert!(one.outcome.is_none(), "the test ends an attempt twice");
        one.outcome = Some(outcome);
        let (server, elapsed) = (one.server, self.now - one.sent);
        taken.answered |= outcome == Outcome::Served;
        let finished = taken.answered;
        let report = load.map(|load| LoadReport {
            in_flight: Some(load),
            ..LoadReport::default()
        });
        let attempt = attempt as u32;
        self.tell(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            server,
            outcome,
            elapsed,
            answered: finished,
            body_consumed: false,
            report,
        }))
    }

    /// Ends the oldest probe that is out; without a load it got no answer.
    pub fn end_probe(&mut self, load: Option<f32>) -> Option<ServerId> {
        let (server, sent) = (!self.probes.is_empty()).then(|| self.probes.remove(0))?;
        let outcome = if load.is_some() {
            Outcome::Served
        } else {
            Outcome::TimedOut
        };
        let report = load.map(|load| LoadReport {
            in_flight: Some(load),
            ..LoadReport::default()
        });
        self.tell(Event::HealthChecked(HealthCheckEnd {
            server,
            outcome,
            elapsed: self.now - sent,
            report,
        }));
        Some(server)
    }

    /// Answers all probes: those of the named servers say idle, the others busy.
    pub fn answer_probes(&mut self, idle: &[u64]) {
        while let Some((server, _)) = self.probes.first() {
            let load = if idle.contains(&server.0) { 0.0 } else { 2.0 };
            self.end_probe(Some(load));
        }
    }

    pub fn client_leaves(&mut self, id: RequestId) {
        self.requests.get_mut(&id).expect("a request").answered = true;
        self.tell(Event::ClientGone { id });
    }

    /// Lets time pass: timers come due, attempts and probes run into their time-outs.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + self.settings.timer_resolution).min(end);
            while let Some((&due, _)) = self
                .timers
                .first_key_value()
                .filter(|((at, _), _)| *at <= self.now)
            {
                let token = self.timers.remove(&due).expect("a timer");
                self.tell(Event::Timer { token });
            }
            for (id, attempt) in self.out() {
                let one = &self.requests[&id].tries[attempt];
                if one.outcome.is_none() && one.ends <= self.now {
                    self.end(id, attempt, Outcome::TimedOut, None);
                }
            }
            while self
                .probes
                .first()
                .is_some_and(|(_, sent)| self.now >= *sent + ms(250))
            {
                self.end_probe(None);
            }
            for (id, taken) in &self.requests {
                assert!(
                    taken.answered || self.now <= taken.deadline + ms(5),
                    "rule 1: {id:?} has no answer"
                );
            }
        }
    }

    /// The attempts that are out.
    pub fn out(&self) -> Vec<(RequestId, usize)> {
        let tries = self
            .requests
            .iter()
            .flat_map(|(id, t)| t.tries.iter().enumerate().map(|(i, t)| (*id, i, t)));
        tries
            .filter(|(_, _, t)| t.outcome.is_none())
            .map(|(id, i, _)| (id, i))
            .collect()
    }

    /// How long ago the request came first to a server.
    pub fn age(&self, id: RequestId) -> Duration {
        self.now - self.requests[&id].tries[0].sent
    }

    pub fn answered(&self, id: RequestId) -> bool {
        self.requests[&id].answered
    }

    pub fn server_of(&self, id: RequestId, attempt: usize) -> ServerId {
        self.requests[&id].tries[attempt].server
    }

    /// The requests that are still owed an answer.
    pub fn open(&self) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, t)| !t.answered)
            .map(|(id, _)| *id)
            .collect()
    }

    fn obey(&mut self, action: &Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
            } => self.check_send(*id, *server, *timeout),
            Action::Reject { id, .. } => {
                let taken = self
                    .requests
                    .get_mut(id)
                    .expect("rule 1: refuses what it was not given");
                assert!(!taken.answered, "rule 1: a second answer for {id:?}");
                let ran = taken
                    .tries
                    .iter()
                    .any(|t| !t.outcome.is_some_and(proves_no_run));
                let allowed = match taken.repeat {
                    Idempotency::Idempotent
                    | Idempotency::Keyed {
                        scope: Scope::All, ..
                    } => true,
                    _ => !ran,
                };
                assert!(allowed, "rule 2: {id:?} may have run and is refused");
                taken.answered = true;
            }
            Action::Fail { id } => {
                let taken = self
                    .requests
                    .get_mut(id)
                    .expect("rule 1: fails what it was not given");
                assert!(!taken.answered, "rule 1: a second answer for {id:?}");
                taken.answered = true;
            }
            Action::CancelAttempt { id, attempt } => {
                assert!(
                    self.settings.limits.cancel_attempts,
                    "cancels where that is not allowed"
                );
                let one =
                    &mut self.requests.get_mut(id).expect("a request").tries[*attempt as usize];
                one.ends = self.now; // its outcome comes with the next round
            }
            Action::SetTimer { after, token } => {
                // Never in the round that is being answered.
                let due = (self.now + *after).max(self.now + Duration::from_nanos(1));
                self.timers_set += 1;
                self.timers.insert((due, self.timers_set), *token);
            }
            Action::HealthCheck { server } => {
                assert!(
                    self.settings.limits.health_checks,
                    "probes where that is not allowed"
                );
                self.probes.push((*server, self.now));
            }
            Action::WatchEndpoints { .. } | Action::FetchEndpoints => {}
            other => panic!("unexpected {other:?}"),
        }
    }

    fn check_send(&mut self, id: RequestId, to: ServerId, timeout: Duration) {
        let taken = self
            .requests
            .get_mut(&id)
            .expect("rule 1: sends what it was not given");
        assert!(!taken.answered, "rule 1: {id:?} is sent after its answer");
        let (entry, stop) = self
            .told
            .get(&to)
            .expect("sends to a server that was never listed");
        let grace = self.settings.safety.drain_grace;
        assert!(
            stop.is_none_or(|at| self.now <= at + grace),
            "rule 3: {to:?} drains or is gone"
        );
        let limits = &self.settings.limits;
        assert!(
            taken.tries.len() < limits.max_attempts as usize,
            "too many attempts"
        );
        let parallel = taken.tries.iter().any(|t| t.outcome.is_none());
        assert!(!parallel || limits.hedging, "two attempts at once");
        let ran = taken
            .tries
            .iter()
            .find(|t| !t.outcome.is_some_and(proves_no_run));
        if let Some(first) = ran {
            let home = &self.told[&first.server].0;
            let allowed = match taken.repeat {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent => false,
                Idempotency::Keyed { scope, window } => {
                    let group = match scope {
                        Scope::All => true,
                        Scope::Zone => home.zone == entry.zone,
                        Scope::Cell => home.cell == entry.cell,
                    };
                    group && self.now <= first.sent + window
                }
            };
            assert!(allowed, "rule 2: {id:?} may have run and is sent to {to:?}");
        }
        let ends = (self.now + timeout).min(taken.deadline);
        taken.tries.push(Try {
            server: to,
            sent: self.now,
            ends,
            outcome: None,
        });
    }
}

/// The outcomes that the rules count as proof.
fn proves_no_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
    )
}
