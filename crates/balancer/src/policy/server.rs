//! A node's state for a server. Each policy keeps its part in its own type.

use super::context::Context;
use super::estimators::SMOOTHING;
use super::outlier::ServerHealth;
use super::slow_start::{self, Permit};
use crate::endpoint::Endpoint;
use std::time::Duration;

/// A server's last reported load, plus the attempts that this node has sent to it since.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    /// Requests in flight.
    pub(super) in_flight: f64,
    pub(super) at: Duration,
}

/// A listed server.
#[derive(Default)]
pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    /// When this node first listed this process of the server.
    pub(super) listed_at: Duration,
    /// The Join-Up-To(m) estimate: attempts that this node sent since the server's last idle signal.
    pub(super) sends_since_idle: u32,
    /// The time of its last idle signal.
    pub(super) idle_at: Option<Duration>,
    /// Attempts of this node in flight whose request body is complete and whose response has not started.
    pub(super) in_flight: u32,
    pub(super) reported_load: Option<ReportedLoad>,
    /// Whether a health check of it is in flight.
    pub(super) health_check_pending: bool,
    pub(super) health: ServerHealth,
    pub(super) permit: Permit,
}

impl Server {
    /// The guaranteed fraction of its capacity: below 1 while it warms up.
    pub(super) fn capacity(&self, context: &Context<'_>) -> f64 {
        slow_start::capacity(context, &self.endpoint)
    }

    /// Whether it is still warming up after a start.
    pub(super) fn is_warming(&self, context: &Context<'_>) -> bool {
        self.capacity(context) < 1.0
    }

    /// Its load from a recent health check, plus the attempts that this node has sent since. `None` without a recent health
    /// check, or if health checks are not the only source of load reports.
    pub(super) fn recent_load(&self, context: &Context<'_>) -> Option<f64> {
        let load = self.reported_load?;
        let counts = context.load_by_health_check() && context.is_recent(load.at);
        counts.then_some(load.in_flight)
    }

    /// Its concurrency: the recent load, but at least this node's attempts in flight. Without a recent load, this node's
    /// attempts in flight are used, scaled up with the server's failure rate.
    pub(super) fn concurrency(&self, context: &Context<'_>) -> f64 {
        let own = f64::from(self.in_flight);
        match self.recent_load(context) {
            Some(load) => load.max(own),
            None => own / (1.0 - self.health.failure_rate()).max(SMOOTHING),
        }
    }

    /// Records an attempt sent to it. An attempt whose body is still being received does not count as work of the server yet.
    pub(super) fn on_send(&mut self, body_pending: bool) {
        self.permit.use_up();
        self.sends_since_idle += 1;
        if !body_pending {
            self.in_flight += 1;
        }
        if let Some(load) = &mut self.reported_load {
            load.in_flight += 1.0;
        }
    }
}
