//! Priority: a request's weight against that of the usual request, by its class and its tenant's quota.

use super::estimators::{Ewma, SMOOTHING};
use crate::settings::{Settings, Tenant};
use std::time::Duration;

/// Weight of a request in what is usual.
const USUAL_WEIGHT: f64 = SMOOTHING / 8.0;
/// The objective's weight of all requests counts as at least this.
const MIN_WHOLE: f64 = SMOOTHING;
const MAX_PRIORITY: f64 = 1e3;

/// A token bucket: requests at a rate, saved for a second.
#[derive(Clone, Copy, Debug, Default)]
struct TokenBucket {
    tokens: f64,
    at: Duration,
}

impl TokenBucket {
    /// Takes a token if there is one. `rate` is tokens per second.
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

/// What is usual, and what tenants have left of their quotas.
#[derive(Debug)]
pub(super) struct Priorities {
    /// Priority weight of the usual request.
    usual_weight: Ewma,
    /// Each tenant's quota at this node.
    quotas: Vec<TokenBucket>,
}

impl Priorities {
    pub(super) fn new(settings: &Settings) -> Self {
        let classes = &settings.classes;
        let sum: f64 = classes.iter().map(|class| class.priority_weight).sum();
        Priorities {
            usual_weight: Ewma::new(sum / classes.len().max(1) as f64),
            quotas: vec![TokenBucket::default(); settings.tenants.len()],
        }
    }

    /// Adds the tenants of new settings; known ones keep their quota state.
    pub(super) fn on_settings(&mut self, settings: &Settings) {
        let tenants = settings.tenants.len().max(self.quotas.len());
        self.quotas.resize_with(tenants, TokenBucket::default);
    }

    /// The priority of a new request. It takes one from its tenant's quota; beyond that it counts less. What the objective
    /// gives to the worst-served class is spread over all classes.
    pub(super) fn of_request(
        &mut self,
        settings: &Settings,
        now: Duration,
        class: usize,
        tenant: usize,
    ) -> f64 {
        let over_quota = self.is_over_quota(settings, now, tenant);
        let factor = if over_quota {
            settings.over_quota_weight
        } else {
            1.0
        };
        let weight = settings.classes[class].priority_weight * factor;
        self.usual_weight.observe(weight, USUAL_WEIGHT);
        let usual = self.usual_weight.value();
        let objective = &settings.objective_weights;
        let spread = usual * objective.worst_class / objective.all_requests.max(MIN_WHOLE);
        ((weight + spread) / (usual + spread).max(1e-9)).clamp(0.0, MAX_PRIORITY)
    }

    /// Counts a request against its tenant's quota at this node, an even part of the whole.
    fn is_over_quota(&mut self, settings: &Settings, now: Duration, tenant: usize) -> bool {
        let nodes = f64::from(settings.nodes.max(1));
        let quota = |tenant: &Tenant| tenant.quota_per_s / nodes;
        let rate = settings.tenants.get(tenant).map_or(0.0, quota);
        let quota = self.quotas.get_mut(tenant);
        quota.is_some_and(|quota| !quota.take(now, rate))
    }
}

/// The expected work of the usual request, in seconds of a standard core. 0 before the first request that states its work.
#[derive(Debug, Default)]
pub(super) struct UsualWork(Ewma);

impl UsualWork {
    /// A request's expected work in units of the usual request's; 1 where it is not known.
    pub(super) fn relative(&mut self, expected_work: Option<Duration>) -> f64 {
        let work_s = expected_work.unwrap_or_default().as_secs_f64();
        if work_s <= 0.0 {
            return 1.0;
        }
        let is_first = self.0.value() == 0.0;
        self.0
            .observe(work_s, if is_first { 1.0 } else { USUAL_WEIGHT });
        work_s / self.0.value()
    }
}

#[cfg(test)]
#[path = "tests/priority.rs"]
mod tests;
