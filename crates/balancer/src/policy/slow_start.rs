//! Slow start: limits the requests sent to a server that is warming up after a start.
//!
//! The overload rule ([`SafetyRules::overload_factor`]) bounds what all nodes together may send to a warming server. The
//! nodes share no state, so each node's part is computed from its own traffic:
//!
//! ```text
//! permits per second = overload_factor * capacity * warm_server_rate * target_fraction
//! ```
//!
//! `capacity` is the guaranteed fraction of the server's capacity, and `warm_server_rate` is what one warm server serves per
//! second for this node. Summed over all nodes, the latter is less than one warm server's capacity, however the traffic is
//! distributed over the nodes. Each request sent uses a permit. Permits accrue at even intervals, with a random phase, and
//! expire after a short time, so that nodes with little traffic cannot accumulate them and send a burst.

use super::context::Context;
use super::endpoint_table::EndpointTable;
use super::estimators::DecayedRate;
use super::random::RandomSource;
use super::server::Server;
use crate::endpoint::Endpoint;
use crate::settings::SafetyRules;
use std::time::Duration;

/// All nodes together target at most this fraction of what the overload rule allows.
const MAX_TARGET_FRACTION: f64 = 0.75;
/// The target lies this many standard deviations below the overload rule's limit.
const SAFETY_DEVIATIONS: f64 = 6.0;
/// The lifetime of a permit as a fraction of the overload window.
const PERMIT_LIFETIME: f64 = 0.5;
/// The fraction of arriving work that is assumed to be served if no server was ever warm: more may arrive than all servers
/// can serve.
const ARRIVAL_FRACTION: f64 = 0.5;
/// Arriving work counts up to this multiple of what a warm server last served, because rejected requests arrive again.
const MAX_ARRIVAL_RATIO: f64 = 1.5;
/// A warming server gets no request with more than this multiple of the average work.
const MAX_RELATIVE_WORK: f64 = 2.0;
/// Upper bound of a permit's age, in seconds.
const MAX_PERMIT_AGE_S: f64 = 1e6;

/// The guaranteed fraction of a server's capacity: rises linearly from the slow start's initial fraction to 1.
pub(super) fn capacity(context: &Context<'_>, endpoint: &Endpoint) -> f64 {
    let Some(started_at) = endpoint.started_at else {
        return 1.0;
    };
    let safety = &context.settings.safety;
    let initial = safety.slow_start_capacity;
    let age_s = context.now.saturating_sub(started_at).as_secs_f64();
    let progress = age_s / safety.slow_start_window.as_secs_f64().max(1e-6);
    (initial + (1.0 - initial) * progress).min(1.0)
}

/// Whether slow start allows sending a request of that relative work to a server.
pub(super) fn permits(context: &Context<'_>, server: &Server, relative_work: f64) -> bool {
    !server.is_warming(context)
        || server.permit.is_valid(context.now) && relative_work <= MAX_RELATIVE_WORK
}

/// A server's permit for one request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Permit {
    valid_until: Duration,
    accrual: Option<Accrual>,
}

/// The fraction of the next permit, in [0, 1), that had accrued at a time.
#[derive(Clone, Copy, Debug)]
struct Accrual {
    at: Duration,
    fraction: f64,
}

impl Permit {
    fn is_valid(&self, now: Duration) -> bool {
        self.valid_until > now
    }

    pub(super) fn use_up(&mut self) {
        self.valid_until = Duration::ZERO;
    }

    /// Accrues permits up to `now` at `rate` permits per second. A newly listed server starts with `random_fraction` of a
    /// permit.
    fn accrue(&mut self, now: Duration, rate: f64, random_fraction: f64, lifetime: Duration) {
        let accrued = match self.accrual {
            Some(Accrual { at, fraction }) => fraction + rate * (now - at).as_secs_f64(),
            None => random_fraction,
        };
        let fraction = accrued.fract();
        self.accrual = Some(Accrual { at: now, fraction });
        let permit_age = Duration::from_secs_f64((fraction / rate.max(1e-9)).min(MAX_PERMIT_AGE_S));
        if accrued >= 1.0 && permit_age < lifetime {
            self.valid_until = now + lifetime - permit_age;
        }
    }
}

/// The traffic rates from which permit rates are computed.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    /// Work that arrived, relative to the average request.
    arrived: DecayedRate,
    /// Work served by warm servers.
    served_by_warm: DecayedRate,
    /// What one warm server served per second for this node when one was last warm.
    last_warm_server_rate: Option<f64>,
}

impl SlowStart {
    pub(super) fn on_request(&mut self, context: &Context<'_>, relative_work: f64) {
        self.arrived
            .add(context.now, context.rate_window_s(), relative_work);
    }

    pub(super) fn on_served_by_warm(&mut self, context: &Context<'_>, relative_work: f64) {
        self.served_by_warm
            .add(context.now, context.rate_window_s(), relative_work);
    }

    /// Saves the rate of warm servers. Called before an endpoint update, which may leave no server warm.
    pub(super) fn before_endpoint_update(
        &mut self,
        context: &Context<'_>,
        table: &EndpointTable,
        subset_size: usize,
    ) {
        let rate = self.warm_server_rate(context, table, subset_size);
        self.last_warm_server_rate = rate.or(self.last_warm_server_rate);
    }

    /// Accrues permits for the warming servers that this node tracks.
    pub(super) fn accrue_permits(
        &self,
        context: &Context<'_>,
        table: &mut EndpointTable,
        subset_size: usize,
        random: &mut RandomSource,
    ) {
        let tracked = table.tracked(context.settings, subset_size);
        let warming = tracked.filter(|s| s.is_warming(context));
        let warming: Vec<_> = warming
            .map(|s| (s.endpoint.id, s.capacity(context)))
            .collect();
        if warming.is_empty() {
            return;
        }
        let warm_server_rate = self
            .warm_server_rate(context, table, subset_size)
            .unwrap_or_else(|| {
                self.arrival_rate_per_server(context, table.ready_count(), subset_size)
            });
        let safety = &context.settings.safety;
        let lifetime = safety.overload_window.mul_f64(PERMIT_LIFETIME);
        let sharing_nodes = nodes_per_server(context, table.ready_count(), subset_size);
        for (id, capacity) in warming {
            let bound = safety.overload_factor * capacity * warm_server_rate;
            let rate = bound * target_fraction(safety, sharing_nodes, bound);
            let random_fraction = random.unit();
            if let Some(server) = table.get_mut(id) {
                server
                    .permit
                    .accrue(context.now, rate, random_fraction, lifetime);
            }
        }
    }

    /// What one warm server serves per second for this node; `None` if no server is warm.
    fn warm_server_rate(
        &self,
        context: &Context<'_>,
        table: &EndpointTable,
        subset_size: usize,
    ) -> Option<f64> {
        let subset = table.in_ring_order(context.settings).take(subset_size);
        let warm = subset.filter(|s| !s.is_warming(context)).count();
        let rate = self
            .served_by_warm
            .per_second(context.now, context.rate_window_s());
        (warm > 0).then(|| rate / warm as f64)
    }

    /// The work arriving per second, divided evenly among the servers. Used if no server is warm.
    fn arrival_rate_per_server(
        &self,
        context: &Context<'_>,
        ready_servers: usize,
        subset_size: usize,
    ) -> f64 {
        let servers = subset_size.min(ready_servers).max(1);
        let rate = self
            .arrived
            .per_second(context.now, context.rate_window_s());
        let per_server = rate / servers as f64;
        match self.last_warm_server_rate {
            Some(last) => per_server.min(MAX_ARRIVAL_RATIO * last),
            None => per_server * ARRIVAL_FRACTION,
        }
    }
}

/// How many nodes on average have the same server in their subsets, at least 1.
fn nodes_per_server(context: &Context<'_>, ready_servers: usize, subset_size: usize) -> f64 {
    let nodes = f64::from(context.settings.nodes);
    let sharing_nodes = nodes * subset_size as f64 / ready_servers.max(1) as f64;
    sharing_nodes.max(1.0)
}

/// The fraction of what the overload rule allows that nodes target; `bound` is this node's share of it in requests per
/// second.
///
/// With N requests allowed in the overload window the rule tolerates 2 * sqrt(N) + 2 more, for random variation. The target
/// lies [`SAFETY_DEVIATIONS`] standard deviations below that limit. It is the larger of two targets: if each node has less
/// than one permit per window, the sum over all nodes is a Poisson count; if each has more, each node is off by at most one
/// permit.
fn target_fraction(safety: &SafetyRules, sharing_nodes: f64, bound: f64) -> f64 {
    let allowed = bound * sharing_nodes * safety.overload_window.as_secs_f64();
    let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
    let half_deviations = SAFETY_DEVIATIONS / 2.0;
    let poisson_target =
        ((limit + SAFETY_DEVIATIONS * SAFETY_DEVIATIONS / 4.0).sqrt() - half_deviations).powi(2);
    let even_target = limit - SAFETY_DEVIATIONS * (sharing_nodes / 2.0).sqrt();
    (poisson_target.max(even_target) / allowed.max(1e-9)).min(MAX_TARGET_FRACTION)
}

#[cfg(test)]
#[path = "tests/slow_start.rs"]
mod tests;
