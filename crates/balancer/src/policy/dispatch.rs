//! Dispatches a request that needs its first attempt, a retry or a hedged request: selects a server, then sends the request,
//! holds it, starts health checks or finishes it.

use super::Balancer;
use super::deadline::MAX_BODY_TIME;
use super::final_response::FinishReason;
use super::health_check;
use super::request::Request;
use super::retry;
use super::selection::{Draws, Selection, Selector};
use super::send_gate;
use crate::action::Action;
use crate::ids::{RequestId, ServerId};
use std::time::Duration;

/// At most this many requests are held because the concurrency levels of all servers are unexplored.
const MAX_HELD_REQUESTS: usize = 64;
/// A held request is dispatched again after this fraction of the mean latency.
const HOLD_TIME_FRACTION: f64 = 1.0 / 8.0;

/// Why a request is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// No server is eligible: none is ready, or all ready ones are warming up and this node has no permit for them.
    NoEligibleServer,
    /// It is not known yet whether servers at this concurrency respond in time.
    ConcurrencyUnexplored,
    /// Health checks are in flight that may find an idle server.
    HealthChecks,
}

impl Balancer {
    /// Selects a server for a request and acts on the selection, if the request may have an attempt now.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        // Always drawn here, so that the sequence of random numbers does not depend on the branches below.
        let draws = Draws {
            admission: self.random.unit(),
            choice: self.random.unit(),
        };
        self.accrue_permits();
        self.requests.set_held(id, false);
        let context = self.context();
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.closed || !retry::may_attempt_now(&context, &self.latency, request) {
            return;
        }
        let is_eligible = |s: &&_| send_gate::check_server(&context, s, request).is_ok();
        let ready = self
            .endpoints
            .in_ring_order(&self.settings)
            .filter(is_eligible);
        let eligible: Vec<_> = ready.take(self.subset_size()).collect();
        if let Some(reason) = self.reason_not_to_attempt(request, eligible.is_empty()) {
            return self.finish(id, reason, actions);
        }
        if eligible.is_empty() {
            return self.hold(id, HoldReason::NoEligibleServer, actions);
        }
        let may_check_health = !request.skips_health_checks && !self.health_checks.is_waiting(id);
        let selector = Selector {
            context,
            gate: &self.concurrency_gate,
            join_up_to: &self.join_up_to,
            may_check_health,
        };
        let selection = selector.select(request, eligible, draws);
        let first_attempt = !request.was_attempted();
        self.act_on(id, selection, first_attempt, may_check_health, actions);
    }

    /// Why a request gets no further attempt; `None` if it may have one.
    fn reason_not_to_attempt(
        &self,
        request: &Request,
        no_eligible_server: bool,
    ) -> Option<FinishReason> {
        if self.now >= request.deadline {
            return Some(FinishReason::DeadlinePassed);
        }
        if !request.was_attempted() {
            return None;
        }
        if !self.retry_budget.has(1.0) {
            return Some(FinishReason::RetryBudgetExhausted);
        }
        no_eligible_server.then_some(FinishReason::NoServerForRetry)
    }

    fn act_on(
        &mut self,
        id: RequestId,
        selection: Selection,
        first_attempt: bool,
        may_check_health: bool,
        actions: &mut Vec<Action>,
    ) {
        let (fallback, unknown_load) = match selection {
            Selection::BelowCap(server) => return self.send(id, server, actions),
            Selection::AtCap {
                fallback,
                unknown_load,
            } => (Some(fallback), unknown_load),
            Selection::Overloaded {
                unknown_load,
                unexplored,
            } => {
                if unexplored && first_attempt && self.requests.held_count() < MAX_HELD_REQUESTS {
                    return self.hold(id, HoldReason::ConcurrencyUnexplored, actions);
                }
                (None, unknown_load)
            }
        };
        if self.health_checks.is_waiting(id) {
            return;
        }
        if may_check_health && self.check_health(id, unknown_load, actions) {
            return;
        }
        match fallback {
            Some(server) => self.send(id, server, actions),
            None => self.finish(id, FinishReason::ServersOverloaded, actions),
        }
    }

    /// Holds a request and sets a timer to dispatch it again. The body of a held request is not read, so a request whose body
    /// is still being received is held for no longer than the time that it would have for its response.
    fn hold(&mut self, id: RequestId, reason: HoldReason, actions: &mut Vec<Action>) {
        let now = self.now;
        let out_of_time = |request: &Request| {
            let time = request.time_after_body;
            time.is_some_and(|time| now + MAX_BODY_TIME >= request.deadline + time)
        };
        if self.requests.get(id).is_some_and(out_of_time) {
            return self.finish(id, FinishReason::NoServerDuringBody, actions);
        }
        *self.hold_counts.entry(reason).or_default() += 1;
        let after = Duration::from_secs_f64(self.latency.mean_s() * HOLD_TIME_FRACTION);
        self.requests.set_held(id, true);
        actions.push(Action::SetTimer {
            after: after.max(self.settings.timer_resolution),
            token: id.0,
        });
    }

    /// Sends health checks to some of the candidates, within the budget, and holds the request until they end. Returns false
    /// if there is no health check in flight to wait for.
    fn check_health(
        &mut self,
        id: RequestId,
        candidates: Vec<ServerId>,
        actions: &mut Vec<Action>,
    ) -> bool {
        for server in self.health_checks.choose(candidates, &mut self.random) {
            if let Some(server) = self.endpoints.get_mut(server) {
                server.health_check_pending = true;
            }
            actions.push(Action::HealthCheck { server });
        }
        if !self.health_checks.any_in_flight() {
            return false;
        }
        *self
            .hold_counts
            .entry(HoldReason::HealthChecks)
            .or_default() += 1;
        self.health_checks.wait(id);
        let resolution = self.settings.timer_resolution;
        actions.push(Action::SetTimer {
            after: health_check::wait_time(self.latency.mean_s(), resolution),
            token: id.0,
        });
        true
    }
}
