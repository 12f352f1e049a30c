//! Handles new requests and the completion of their bodies.

use super::Balancer;
use super::deadline::MAX_BODY_TIME;
use super::final_response::FinishReason;
use super::request::Request;
use crate::action::Action;
use crate::event::NewRequest;
use crate::ids::RequestId;
use crate::settings::{Idempotency, RequestPolicy};
use std::time::Duration;

/// Below this fraction of busy load reports a request is accepted with up to twice the work that its deadline allows,
/// because estimates of expected work are rough.
const MOSTLY_IDLE_BUSY_FRACTION: f64 = 0.5;

impl Balancer {
    /// Accepts a request and dispatches it.
    pub(super) fn on_request(&mut self, new: NewRequest, actions: &mut Vec<Action>) {
        let id = new.id;
        let request = self.new_request(&new);
        let available_time = match request.time_after_body {
            Some(time) => time,
            None => request.deadline.saturating_sub(self.now),
        };
        let timer_at = request.deadline;
        self.requests.insert(id, request);
        if self.exceeds_available_time(new.expected_work, available_time) {
            return self.finish(id, FinishReason::ExpectedWorkTooLong, actions);
        }
        actions.push(Action::SetTimer {
            after: timer_at - self.now,
            token: id.0,
        });
        self.dispatch(id, actions);
    }

    /// Creates the table entry of a request and updates every policy that counts requests.
    fn new_request(&mut self, new: &NewRequest) -> Request {
        let now = self.now;
        let class = new.class.min(self.settings.classes.len() - 1);
        let policy = match &new.policy {
            Some(accepted) => accepted.clone(),
            None => self.settings.request_policy(class),
        };
        let idempotency = self.idempotency_of(class, &policy);
        let deadline =
            self.first_request_timeouts
                .deadline(&self.settings, now, new, class, &policy.class);
        let relative_work = self.average_work.relative(new.expected_work);
        let context = super::context_of(&self.settings, now, &self.latency);
        self.slow_start.on_request(&context, relative_work);
        self.retry_budget.on_request();
        let ready_servers = self.endpoints.ready_count();
        self.health_checks
            .on_request(&self.settings.penalties, ready_servers);
        let priority = self
            .priorities
            .of_request(&self.settings, now, &policy.class, new.tenant);
        let time = deadline.saturating_sub(now);
        Request {
            class,
            idempotency,
            max_attempts: policy.max_attempts,
            hedging: policy.hedging,
            latency_objective: policy.class.latency_objective,
            late_response_counts: policy.class.late_weight > 0.0,
            relative_work,
            priority,
            deadline: if new.body_pending {
                now + MAX_BODY_TIME
            } else {
                deadline
            },
            skips_health_checks: !self.context().load_by_health_check(),
            time_after_body: new.body_pending.then_some(time),
            ..Request::default()
        }
    }

    /// The idempotency of a new request: that of its head, and where stricter settings apply to open requests, at most that
    /// of the settings in force, which may have come between its head and now.
    fn idempotency_of(&self, class: usize, policy: &RequestPolicy) -> Idempotency {
        let accepted = policy.class.idempotency;
        if !self.settings.tighten_open_requests {
            return accepted;
        }
        accepted.stricter(self.settings.classes[class].idempotency)
    }

    /// Whether even an idle server could not respond in time.
    fn exceeds_available_time(
        &self,
        expected_work: Option<Duration>,
        available_time: Duration,
    ) -> bool {
        let mostly_idle = self.join_up_to.busy_fraction() < MOSTLY_IDLE_BUSY_FRACTION;
        let limit = if mostly_idle {
            available_time * 2
        } else {
            available_time
        };
        expected_work.unwrap_or_default() >= limit
    }

    /// A request's body is not complete and the client has stopped waiting for the response.
    pub(super) fn on_body_overdue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if !request.body_pending() {
            return;
        }
        request.deadline = request.deadline.min(now);
        self.finish(id, FinishReason::DeadlinePassed, actions);
    }

    /// A request's body is complete: its deadline counts from its last byte, and its attempts in flight now count as work of
    /// their servers.
    pub(super) fn on_body_complete(
        &mut self,
        id: RequestId,
        since_last_byte: Duration,
        body_consumed: bool,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.closed {
            return;
        }
        let Some(time) = request.time_after_body.take() else {
            return;
        };
        let time = time.saturating_sub(since_last_byte);
        request.deadline = now + time;
        request.body_consumed |= body_consumed;
        let in_flight = request.attempts.iter().filter(|a| a.is_in_flight());
        let servers: Vec<_> = in_flight.map(|a| a.endpoint.id).collect();
        for server in &servers {
            if let Some(server) = self.endpoints.get_mut(*server) {
                server.in_flight += 1;
            }
        }
        actions.push(Action::SetTimer {
            after: time,
            token: id.0,
        });
        if servers.is_empty() {
            self.dispatch(id, actions);
        }
    }
}
