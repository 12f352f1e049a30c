//! The balancer's settings. Their names in the platform's JSON are in `wire.rs`.

use std::time::Duration;

/// The balancer's settings. Times are durations in real time; fractions are from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of nodes that share the servers, including this one; at least 1.
    pub nodes: u32,
    /// This node's number among them, from 0.
    pub node: u32,
    /// The zone of this node, by number.
    pub zone: u8,
    /// Request classes; events refer to them by position.
    pub classes: Vec<Class>,
    /// Tenants; events refer to them by position. May be empty.
    pub tenants: Vec<Tenant>,
    /// Priority weight of a request over its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight: f64,
    /// Whether priority weight counts per unit of work instead of per request. No policy uses it.
    pub weight_by_work: bool,
    /// How servers report their load.
    pub reports: ReportSource,
    /// What the deployment permits.
    pub limits: Limits,
    /// Parameters of the safety rules.
    pub safety: SafetyRules,
    /// Costs that the deployment assigns, as fractions of the service objective.
    pub penalties: Penalties,
    /// Weights of the deployment's service objective.
    pub objective_weights: ObjectiveWeights,
    /// Whether the endpoint list must be polled; otherwise updates are pushed.
    pub poll_endpoint_list: bool,
    /// Whether a stricter idempotency in new settings also applies to open requests. Set if the fleet agrees on settings by
    /// consensus; otherwise open requests keep the idempotency under which they were accepted.
    pub tighten_open_requests: bool,
    /// Resolution of the host's timers.
    pub timer_resolution: Duration,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A response within this time counts in full.
    pub latency_objective: Duration,
    /// The latency objective is extended by this multiple of the request's expected work.
    pub objective_stretch: f64,
    /// How long a client waits in total, including its own retries.
    pub deadline: Duration,
    /// Priority weight of a request.
    pub priority_weight: f64,
    /// Fraction of the weight that a response after the latency objective still has; 0 if late responses are useless.
    pub late_weight: f64,
    /// Whether a request may be retried once an attempt may have run.
    pub idempotency: Idempotency,
    /// Whether responses are streamed, so that [`crate::Event::ResponseStarted`] is reported. No policy uses it.
    pub streamed: bool,
}

/// Whether a request may be retried once an attempt may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be retried on any server.
    Idempotent,
    /// It carries an idempotency key: servers discard duplicates within a scope and a window.
    Keyed {
        /// The servers that share their idempotency keys.
        scope: Scope,
        /// How long they remember a key, from the send of the first attempt that may have run.
        window: Duration,
    },
    /// It must never run twice: no retry once an attempt may have run.
    #[default]
    NonIdempotent,
}

impl Idempotency {
    /// The idempotency that allows only what both allow, for a request that was accepted under one and continues under the
    /// other.
    pub fn stricter(self, other: Idempotency) -> Idempotency {
        match (self, other) {
            (same, Idempotency::Idempotent) => same,
            (
                Idempotency::Keyed { scope, window },
                Idempotency::Keyed {
                    scope: other_scope,
                    window: other_window,
                },
            ) if scope == other_scope => Idempotency::Keyed {
                scope,
                window: window.min(other_window),
            },
            // A request that was accepted without an idempotency key has none that servers could match.
            _ => Idempotency::NonIdempotent,
        }
    }
}

/// The group of servers within which duplicates of a keyed request are discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A tenant and its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Its quota in requests per second, over all nodes.
    pub quota_per_s: f64,
    /// Its share of the service objective. No policy uses it.
    pub share: f64,
}

/// Which messages carry load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Responses and health checks.
    Responses,
    /// Health checks only.
    HealthChecks,
    /// None.
    None,
}

/// What the deployment permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The most attempts of a request, including the first.
    pub max_attempts: u32,
    /// Whether an attempt in flight may be cancelled.
    pub cancel_attempts: bool,
    /// Whether health checks may be sent.
    pub health_checks: bool,
    /// Whether a request may have two attempts in flight (hedged requests).
    pub hedging: bool,
    /// The longest `Retry-After` that clients obey; `None` if none is sent to them.
    pub max_retry_after: Option<Duration>,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
}

/// Parameters of the safety rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SafetyRules {
    /// How long after a notification a node may still send to a draining or removed server.
    pub drain_grace: Duration,
    /// The fraction of its capacity that a server has at least when it has just started.
    pub slow_start_capacity: f64,
    /// The time after its start by which a server has its full capacity.
    pub slow_start_window: Duration,
    /// A warming server fails if it is sent more than this multiple of its current capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Duration,
    /// If the endpoint list is polled: the longest time without a poll or an open watch.
    pub max_poll_interval: Duration,
}

/// Costs that the deployment assigns, as fractions of the service objective.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Penalties {
    /// Cost of one health check per request.
    pub health_check: f64,
    /// Cost of one cross-zone attempt per request. No policy uses it.
    pub cross_zone: f64,
    /// Cost if the wasted work equals all requested work. No policy uses it.
    pub waste: f64,
    /// Cost if all requests fail only after their latency objective. No policy uses it.
    pub late_failure: f64,
    /// Cost of a new connection per request and of 100 open connections per server, together.
    pub connections: f64,
}

/// Weights of the parts of the service objective.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObjectiveWeights {
    /// All requests.
    pub all_requests: f64,
    /// The time window with the worst service. No policy uses it.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant, counting requests within its quota. No policy uses it.
    pub worst_tenant: f64,
}

impl Default for Settings {
    /// One node, one idempotent class, no tenants, no load reports and no health checks.
    fn default() -> Self {
        Settings {
            nodes: 1,
            node: 0,
            zone: 0,
            classes: vec![Class {
                latency_objective: Duration::from_millis(500),
                objective_stretch: 0.0,
                deadline: Duration::from_secs(1),
                priority_weight: 1.0,
                late_weight: 0.0,
                idempotency: Idempotency::Idempotent,
                streamed: false,
            }],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            weight_by_work: false,
            reports: ReportSource::None,
            limits: Limits {
                max_attempts: 3,
                cancel_attempts: false,
                health_checks: false,
                hedging: false,
                max_retry_after: None,
                connect_timeout: Duration::from_millis(250),
            },
            safety: SafetyRules {
                drain_grace: Duration::from_secs(1),
                slow_start_capacity: 1.0,
                slow_start_window: Duration::ZERO,
                overload_factor: 3.0,
                overload_window: Duration::from_secs(2),
                max_poll_interval: Duration::from_secs(10),
            },
            penalties: Penalties::default(),
            objective_weights: ObjectiveWeights {
                all_requests: 1.0,
                ..ObjectiveWeights::default()
            },
            poll_endpoint_list: false,
            tighten_open_requests: false,
            timer_resolution: Duration::from_millis(1),
        }
    }
}
