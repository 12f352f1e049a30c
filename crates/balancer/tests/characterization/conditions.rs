//! The settings and simulated servers of a sequence, generated from its seed.

use super::random::Random;
use sillward_balancer::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Generates settings with and without health checks, hedging, endpoint polling, tenants and slow start.
pub fn settings(random: &mut Random) -> Settings {
    let nodes = random.pick(&[1, 2, 3, 8, 40, 300]);
    Settings {
        nodes,
        node: random.below(u64::from(nodes)) as u32,
        zone: random.below(3) as u8,
        classes: (0..random.between(1, 5)).map(|_| class(random)).collect(),
        tenants: (0..random.pick(&[0, 0, 2, 4]))
            .map(|_| tenant(random))
            .collect(),
        over_quota_weight: random.pick(&[1.0, 0.5, 0.2, 0.0]),
        weight_by_work: random.chance(0.3),
        reports: random.pick(&[
            ReportSource::Responses,
            ReportSource::Responses,
            ReportSource::HealthChecks,
            ReportSource::HealthChecks,
            ReportSource::None,
        ]),
        limits: limits(random),
        safety: safety_rules(random),
        penalties: Penalties {
            health_check: random.pick(&[0.0, 0.002, 0.05, 0.2]),
            cross_zone: random.pick(&[0.0, 0.01]),
            waste: random.pick(&[0.0, 0.04]),
            late_failure: random.pick(&[0.0, 0.03]),
            connections: random.pick(&[0.0, 0.02, 0.1]),
        },
        objective_weights: ObjectiveWeights {
            all_requests: random.pick(&[1.0, 0.6, 0.0]),
            worst_window: 0.1,
            worst_class: random.pick(&[0.0, 0.2, 0.5]),
            worst_tenant: 0.1,
        },
        poll_endpoint_list: random.chance(0.4),
        tighten_open_requests: random.chance(0.4),
        timer_resolution: Duration::from_micros(random.pick(&[200, 1000, 5000])),
    }
}

fn class(random: &mut Random) -> Class {
    let objective_ms = random.between(20, 600);
    Class {
        latency_objective: ms(objective_ms),
        objective_stretch: random.pick(&[0.0, 0.0, 0.5, 2.0]),
        deadline: ms(objective_ms + random.between(0, 1500)),
        priority_weight: random.pick(&[0.5, 1.0, 2.0, 10.0]),
        late_weight: random.pick(&[0.0, 0.0, 0.3]),
        idempotency: idempotency(random),
        streamed: random.chance(0.2),
    }
}

fn idempotency(random: &mut Random) -> Idempotency {
    let window = ms(random.between(30, 900));
    match random.below(6) {
        0 | 1 => Idempotency::Idempotent,
        2 => Idempotency::Keyed {
            scope: Scope::All,
            window,
        },
        3 => Idempotency::Keyed {
            scope: Scope::Zone,
            window,
        },
        4 => Idempotency::Keyed {
            scope: Scope::Cell,
            window,
        },
        _ => Idempotency::NonIdempotent,
    }
}

fn tenant(random: &mut Random) -> Tenant {
    Tenant {
        quota_per_s: random.between(1, 400) as f64,
        share: random.unit(),
    }
}

fn limits(random: &mut Random) -> Limits {
    Limits {
        max_attempts: random.between(1, 4) as u32,
        cancel_attempts: random.chance(0.7),
        health_checks: random.chance(0.8),
        hedging: random.chance(0.5),
        max_retry_after: random.chance(0.5).then(|| ms(random.between(50, 3000))),
        connect_timeout: ms(random.between(20, 300)),
    }
}

fn safety_rules(random: &mut Random) -> SafetyRules {
    SafetyRules {
        drain_grace: ms(random.between(100, 2000)),
        slow_start_capacity: random.pick(&[0.1, 0.3, 0.6, 1.0]),
        slow_start_window: ms(random.between(500, 8000)),
        overload_factor: random.pick(&[1.5, 3.0, 4.0]),
        overload_window: ms(random.between(300, 2000)),
        max_poll_interval: ms(random.between(500, 10_000)),
    }
}

/// Changes one part of the settings, as a configuration update does.
pub fn change_settings(random: &mut Random, settings: &mut Settings) {
    match random.below(7) {
        0 => settings.limits = limits(random),
        1 => settings.safety = safety_rules(random),
        2 => {
            let class = random.below(settings.classes.len() as u64) as usize;
            settings.classes[class].idempotency = idempotency(random);
        }
        3 => settings.classes.push(class(random)),
        4 => settings.tenants.push(tenant(random)),
        5 => settings.nodes = (settings.node + 1).max(random.pick(&[1, 3, 30, 300])),
        _ => {
            settings.reports = random.pick(&[
                ReportSource::Responses,
                ReportSource::HealthChecks,
                ReportSource::None,
            ])
        }
    }
}

/// The current behaviour of a simulated server.
#[derive(Clone, Copy, PartialEq)]
pub enum Behaviour {
    Healthy,
    Slow,
    Hanging,
    Failing,
    Resetting,
    Rejecting,
    Unreachable,
    SlowConnect,
}

pub struct SimulatedServer {
    pub endpoint: Endpoint,
    pub listed: bool,
    /// Processor time of a request, in microseconds.
    pub work_us: u64,
    pub cores: u64,
    pub in_flight: u64,
    pub behaviour: Behaviour,
}

pub fn server(random: &mut Random, number: u64) -> SimulatedServer {
    SimulatedServer {
        endpoint: Endpoint {
            id: ServerId(number * 7 + 3),
            zone: random.below(3) as u8,
            machine_type: random.below(2) as u8,
            cell: random.below(4) as u16,
            state: ServerState::Ready,
            weight: 1.0,
            started_at: None,
        },
        listed: true,
        work_us: random.between(2_000, 60_000),
        cores: random.between(1, 4),
        in_flight: 0,
        behaviour: Behaviour::Healthy,
    }
}

pub fn behaviour(random: &mut Random) -> Behaviour {
    random.pick(&[
        Behaviour::Healthy,
        Behaviour::Healthy,
        Behaviour::Healthy,
        Behaviour::Slow,
        Behaviour::Hanging,
        Behaviour::Failing,
        Behaviour::Resetting,
        Behaviour::Rejecting,
        Behaviour::Unreachable,
        Behaviour::SlowConnect,
    ])
}
