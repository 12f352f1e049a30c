//! Health checks: sent to find an idle server where none below the cap is known, within a budget.

use super::random::{self, RandomSource};
use crate::ids::{RequestId, ServerId};
use crate::settings::Penalties;
use std::time::Duration;

/// The fraction of the service that health checks may cost.
const BUDGET: f64 = 0.01;
/// Health checks for one request.
const CHECKS_PER_REQUEST: usize = 2;
/// A request waits for health checks for this fraction of the mean latency: a server that takes longer is busy.
const WAIT: f64 = 1.0 / 16.0;

/// Health checks in flight, their budget, and the requests that wait for them.
#[derive(Debug, Default)]
pub(super) struct HealthChecks {
    /// Health checks that may be sent now.
    tokens: f64,
    in_flight: u32,
    /// Requests that wait for health checks, in the order of their arrival.
    waiting: Vec<RequestId>,
}

impl HealthChecks {
    /// Each request pays for a part of a health check. No more is saved than one for each ready server.
    pub(super) fn on_request(&mut self, penalties: &Penalties, ready_servers: usize) {
        let paid = BUDGET / penalties.health_check.max(1e-9);
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

    /// Draws the servers to check for a request, and counts the checks as sent.
    pub(super) fn choose(
        &mut self,
        mut candidates: Vec<ServerId>,
        random: &mut RandomSource,
    ) -> Vec<ServerId> {
        let mut chosen = Vec::new();
        for _ in 0..CHECKS_PER_REQUEST.min(self.tokens as usize) {
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

    /// Notes the end of a health check. Returns the requests that are to be looked at again, and whether they stop waiting:
    /// after the last one in flight.
    pub(super) fn on_end(&mut self) -> (Vec<RequestId>, bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        (self.waiting.clone(), self.in_flight == 0)
    }
}

/// How long a request waits for health checks.
pub(super) fn wait_time(mean_latency_s: f64, timer_resolution: Duration) -> Duration {
    Duration::from_secs_f64(mean_latency_s * WAIT).max(4 * timer_resolution)
}
