//! Priority: a request's weight relative to that of the average request, from its class and its tenant's quota.

use super::estimators::{Ewma, SMOOTHING};
use crate::settings::{Class, Settings, Tenant};
use std::time::Duration;

/// Weight of one request in the moving averages.
const AVERAGE_SMOOTHING: f64 = SMOOTHING / 8.0;
/// Lower bound of [`ObjectiveWeights::all_requests`](crate::settings::ObjectiveWeights) where it is a divisor.
const MIN_ALL_REQUESTS_WEIGHT: f64 = SMOOTHING;
const MAX_PRIORITY: f64 = 1e3;

/// A token bucket that holds at most one second's tokens, and at least one.
#[derive(Clone, Copy, Debug, Default)]
struct TokenBucket {
    tokens: f64,
    at: Duration,
}

impl TokenBucket {
    /// Takes a token if one is available. `rate` is in tokens per second.
    fn take(&mut self, now: Duration, rate: f64) -> bool {
        let capacity = rate.max(1.0);
        self.tokens = (self.tokens + rate * (now - self.at).as_secs_f64()).min(capacity);
        self.at = now;
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

/// The average priority weight, and the tenants' remaining quotas.
#[derive(Debug)]
pub(super) struct Priorities {
    /// Average priority weight of a request.
    average_weight: Ewma,
    /// The quota of each tenant at this node.
    quotas: Vec<TokenBucket>,
}

impl Priorities {
    pub(super) fn new(settings: &Settings) -> Self {
        let classes = &settings.classes;
        let sum: f64 = classes.iter().map(|class| class.priority_weight).sum();
        Priorities {
            average_weight: Ewma::new(sum / classes.len().max(1) as f64),
            quotas: vec![TokenBucket::default(); settings.tenants.len()],
        }
    }

    /// Adds the tenants of new settings; known tenants keep their quota state.
    pub(super) fn on_settings(&mut self, settings: &Settings) {
        let tenants = settings.tenants.len().max(self.quotas.len());
        self.quotas.resize_with(tenants, TokenBucket::default);
    }

    /// The priority of a new request, which is charged to its tenant's quota. A request over the quota has a lower priority.
    /// The objective's weight for the worst-served class is spread over all classes.
    pub(super) fn of_request(
        &mut self,
        settings: &Settings,
        now: Duration,
        class: &Class,
        tenant: usize,
    ) -> f64 {
        let over_quota = self.charge_quota(settings, now, tenant);
        let factor = if over_quota {
            settings.over_quota_weight
        } else {
            1.0
        };
        let weight = class.priority_weight * factor;
        self.average_weight.observe(weight, AVERAGE_SMOOTHING);
        let average = self.average_weight.value();
        let objective = &settings.objective_weights;
        let spread =
            average * objective.worst_class / objective.all_requests.max(MIN_ALL_REQUESTS_WEIGHT);
        ((weight + spread) / (average + spread).max(1e-9)).clamp(0.0, MAX_PRIORITY)
    }

    /// Charges a request to its tenant's quota at this node, which is an equal share of the tenant's quota. Returns whether
    /// the request exceeds it.
    fn charge_quota(&mut self, settings: &Settings, now: Duration, tenant: usize) -> bool {
        let nodes = f64::from(settings.nodes.max(1));
        let quota = |tenant: &Tenant| tenant.quota_per_s / nodes;
        let rate = settings.tenants.get(tenant).map_or(0.0, quota);
        let quota = self.quotas.get_mut(tenant);
        quota.is_some_and(|quota| !quota.take(now, rate))
    }
}

/// The average expected work of a request, in seconds on a standard core; 0 before the first request that states its work.
#[derive(Debug, Default)]
pub(super) struct AverageWork(Ewma);

impl AverageWork {
    /// Records a request's expected work and returns it relative to the average; 1 if it is not known.
    pub(super) fn relative(&mut self, expected_work: Option<Duration>) -> f64 {
        let work_s = expected_work.unwrap_or_default().as_secs_f64();
        if work_s <= 0.0 {
            return 1.0;
        }
        let is_first = self.0.value() == 0.0;
        self.0
            .observe(work_s, if is_first { 1.0 } else { AVERAGE_SMOOTHING });
        work_s / self.0.value()
    }
}

#[cfg(test)]
#[path = "tests/priority.rs"]
mod tests;
