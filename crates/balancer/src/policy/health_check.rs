//! Health checks: sent within a budget to find an idle server when no server is known to be below the cap.

use super::random::{self, RandomSource};
use crate::ids::{RequestId, ServerId};
use crate::settings::Penalties;
use std::time::Duration;

/// The cost of health checks may be at most this fraction of the service objective.
const BUDGET_FRACTION: f64 = 0.01;
/// The most health checks sent for one request.
const MAX_CHECKS_PER_REQUEST: usize = 2;
/// A request waits for health checks for this fraction of the mean latency; a server that takes longer is busy.
const WAIT_FRACTION: f64 = 1.0 / 16.0;

/// The budget of health checks, those in flight, and the requests that wait for them.
#[derive(Debug, Default)]
pub(super) struct HealthChecks {
    /// Number of health checks that the budget allows now.
    tokens: f64,
    in_flight: u32,
    /// Requests that wait for health checks, in the order in which they began to wait.
    waiting: Vec<RequestId>,
}

impl HealthChecks {
    /// Adds a request's share to the budget. The budget is capped at one health check per ready server.
    pub(super) fn on_request(&mut self, penalties: &Penalties, ready_servers: usize) {
        let paid = BUDGET_FRACTION / penalties.health_check.max(1e-9);
        self.tokens = (self.tokens + paid).min(ready_servers as f64);
    }

    pub(super) fn is_waiting(&self, id: RequestId) -> bool {
        self.waiting.contains(&id)
    }

    pub(super) fn stop_waiting(&mut self, id: RequestId) {
        self.waiting.retain(|waiting| *waiting != id);
    }

    pub(super) fn any_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    pub(super) fn wait(&mut self, id: RequestId) {
        self.waiting.push(id);
    }

    /// Chooses servers to check at random, and counts the health checks as sent.
    pub(super) fn choose(
        &mut self,
        mut candidates: Vec<ServerId>,
        random: &mut RandomSource,
    ) -> Vec<ServerId> {
        let mut chosen = Vec::new();
        for _ in 0..MAX_CHECKS_PER_REQUEST.min(self.tokens as usize) {
            let Some(server) = random::pick(&candidates, random.unit()) else {
                break;
            };
            candidates.retain(|candidate| *candidate != server);
            self.tokens -= 1.0;
            self.in_flight += 1;
            chosen.push(server);
        }
        chosen
    }

    /// Records the end of a health check. Returns the requests to dispatch again, and whether this was the last health check
    /// in flight, after which they stop waiting.
    pub(super) fn on_check_ended(&mut self) -> (Vec<RequestId>, bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        (self.waiting.clone(), self.in_flight == 0)
    }
}

/// How long a request waits for health checks.
pub(super) fn wait_time(mean_latency_s: f64, timer_resolution: Duration) -> Duration {
    Duration::from_secs_f64(mean_latency_s * WAIT_FRACTION).max(4 * timer_resolution)
}
