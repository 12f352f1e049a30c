//! Slow start: how much a server may be sent while it warms up after a start.
//!
//! The overload rule ([`SafetyRules::overload_factor`]) bounds what all nodes together may send a warming server. Nodes do not
//! know of each other, so each takes as its part:
//!
//! ```text
//! permits per second = overload_factor * capacity * rate_of_warm * target_fraction
//! ```
//!
//! `capacity` is the fraction of its capacity that the server has for certain, `rate_of_warm` what one warm server serves per
//! second for this node. Over all nodes the latter adds up to less than one warm server's capacity, whatever part of the traffic
//! each has. A request is sent only for a permit. Permits come at even times, the first one at random, and last for a
//! short time, so that quiet nodes cannot save them up for a burst.

use super::context::Context;
use super::endpoint_table::EndpointTable;
use super::estimators::DecayedRate;
use super::random::RandomSource;
use super::server::Server;
use crate::endpoint::Endpoint;
use crate::settings::SafetyRules;
use std::time::Duration;

/// All nodes together aim at no more than this fraction of what the overload rule allows.
const MAX_TARGET_FRACTION: f64 = 0.75;
/// The target lies this many of its own standard deviations below the rule's limit.
const SAFETY_DEVIATIONS: f64 = 6.0;
/// A permit lasts for this fraction of the time within which the server is judged.
const PERMIT_LIFETIME: f64 = 0.5;
/// Of arriving work, where no server was ever warm: more may arrive than all can serve.
const ARRIVAL_FRACTION: f64 = 0.5;
/// Arrivals count up to this multiple of what a warm server last served: rejected requests come again.
const MAX_ARRIVAL_RATIO: f64 = 1.5;
/// A warming server gets no request of more than this many times the usual work.
const MAX_RELATIVE_WORK: f64 = 2.0;
/// A permit's age is counted up to this, in seconds.
const MAX_PERMIT_AGE_S: f64 = 1e6;

/// The fraction of its capacity that a server has for certain: from the slow start's initial fraction up to 1.
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

/// Whether a server may be sent a request of that work, as far as slow start is concerned.
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

/// The part of a permit that was due at a time, from 0 up to 1.
#[derive(Clone, Copy, Debug)]
struct Accrual {
    at: Duration,
    part: f64,
}

impl Permit {
    fn is_valid(&self, now: Duration) -> bool {
        self.valid_until > now
    }

    pub(super) fn use_up(&mut self) {
        self.valid_until = Duration::ZERO;
    }

    /// Counts on to `now` at `rate` permits per second. A server just listed is at a random place between two permits.
    fn accrue(&mut self, now: Duration, rate: f64, random_part: f64, lifetime: Duration) {
        let due = match self.accrual {
            Some(Accrual { at, part }) => part + rate * (now - at).as_secs_f64(),
            None => random_part,
        };
        let part = due.fract();
        self.accrual = Some(Accrual { at: now, part });
        let age = Duration::from_secs_f64((part / rate.max(1e-9)).min(MAX_PERMIT_AGE_S));
        if due >= 1.0 && age < lifetime {
            self.valid_until = now + lifetime - age;
        }
    }
}

/// Rates from which permits follow.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    /// Work that arrived, in units of a usual request's.
    arrived: DecayedRate,
    /// Work served by warm servers.
    served_by_warm: DecayedRate,
    /// What one warm server served per second for this node when there last was one.
    last_rate_of_warm: Option<f64>,
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

    /// To be called before an update of the endpoint list, after which no server may be warm.
    pub(super) fn before_list_update(
        &mut self,
        context: &Context<'_>,
        table: &EndpointTable,
        subset_size: usize,
    ) {
        let rate = self.rate_of_warm(context, table, subset_size);
        self.last_rate_of_warm = rate.or(self.last_rate_of_warm);
    }

    /// Counts on the permits of the warming servers near this node's place on the ring.
    pub(super) fn accrue_permits(
        &self,
        context: &Context<'_>,
        table: &mut EndpointTable,
        subset_size: usize,
        random: &mut RandomSource,
    ) {
        let near = table.near(context.settings, subset_size);
        let warming = near.filter(|s| s.is_warming(context));
        let warming: Vec<_> = warming
            .map(|s| (s.endpoint.id, s.capacity(context)))
            .collect();
        if warming.is_empty() {
            return;
        }
        let rate_of_warm = self
            .rate_of_warm(context, table, subset_size)
            .unwrap_or_else(|| self.part_of_arrivals(context, table.ready_count(), subset_size));
        let safety = &context.settings.safety;
        let lifetime = safety.overload_window.mul_f64(PERMIT_LIFETIME);
        let sharing = nodes_per_server(context, table.ready_count(), subset_size);
        for (id, capacity) in warming {
            let bound = safety.overload_factor * capacity * rate_of_warm;
            let rate = bound * target_fraction(safety, sharing, bound);
            let random_part = random.unit();
            if let Some(server) = table.get_mut(id) {
                server
                    .permit
                    .accrue(context.now, rate, random_part, lifetime);
            }
        }
    }

    /// What one warm server serves per second for this node, if one is warm.
    fn rate_of_warm(
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

    /// An even part of arriving work, where no server is warm.
    fn part_of_arrivals(
        &self,
        context: &Context<'_>,
        ready_servers: usize,
        subset_size: usize,
    ) -> f64 {
        let servers = subset_size.min(ready_servers).max(1);
        let rate = self
            .arrived
            .per_second(context.now, context.rate_window_s());
        let part = rate / servers as f64;
        match self.last_rate_of_warm {
            Some(last) => part.min(MAX_ARRIVAL_RATIO * last),
            None => part * ARRIVAL_FRACTION,
        }
    }
}

/// How many nodes choose among subsets that hold the same server. At least 1.
fn nodes_per_server(context: &Context<'_>, ready_servers: usize, subset_size: usize) -> f64 {
    let nodes = f64::from(context.settings.nodes);
    let sharing = nodes * subset_size as f64 / ready_servers.max(1) as f64;
    sharing.max(1.0)
}

/// The fraction of what the overload rule allows that nodes aim at; `bound` is this node's part of it in requests per second.
///
/// With N allowed in the judged time the rule tolerates 2 * sqrt(N) + 2 more by chance. The target lies
/// [`SAFETY_DEVIATIONS`] standard deviations below that limit, by the larger of two estimates of the deviation: where each node
/// has less than one permit in the judged time, their sum is a Poisson count; where each has more, it is off by at most one
/// permit a node.
fn target_fraction(safety: &SafetyRules, sharing: f64, bound: f64) -> f64 {
    let allowed = bound * sharing * safety.overload_window.as_secs_f64();
    let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
    let half = SAFETY_DEVIATIONS / 2.0;
    let poisson_target =
        ((limit + SAFETY_DEVIATIONS * SAFETY_DEVIATIONS / 4.0).sqrt() - half).powi(2);
    let even_target = limit - SAFETY_DEVIATIONS * (sharing / 2.0).sqrt();
    (poisson_target.max(even_target) / allowed.max(1e-9)).min(MAX_TARGET_FRACTION)
}

#[cfg(test)]
#[path = "tests/slow_start.rs"]
mod tests;
