//! Sends requests to servers. No other code does, and every safety rule is checked here before each send.

use super::Balancer;
use super::concurrency;
use super::context::Context;
use super::estimators::LatencyEstimates;
use super::final_response::FinishReason;
use super::request::{Attempt, Request};
use super::retry;
use super::server::Server;
use super::slow_start;
use crate::action::Action;
use crate::endpoint::ServerState;
use crate::ids::{RequestId, ServerId};
use std::time::Duration;

/// An attempt is retried or hedged after its response timeout only if the request's remaining time is more than the timeout
/// times this ratio.
const RETRY_TIME_NUMERATOR: u32 = 5;
const RETRY_TIME_DENOMINATOR: u32 = 4;

/// Why a request may not be sent to a server now. Dispatch has already checked most of these, so only
/// [`SendBlocked::NoAttemptsLeft`] is expected here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendBlocked {
    /// It has its final response, or its client has disconnected.
    Closed,
    /// An attempt is in flight, and a hedged request is not allowed or not due.
    AttemptInFlight,
    /// Its deadline has passed.
    DeadlinePassed,
    /// It has used all its attempts, or its body is consumed.
    NoAttemptsLeft,
    /// The server is draining or removed. No request is sent within the drain grace either.
    ServerNotReady,
    /// The server is warming up, and this node has no permit for it or the request needs too much work.
    ServerWarmingUp,
    /// An attempt may have run, and the request's idempotency does not allow a retry at this server.
    MayHaveRun,
    /// An earlier attempt was sent to the same server.
    SameServer,
}

/// Checks whether the safety rules allow sending a request to a server.
///
/// # Errors
/// The rule that forbids it.
pub(super) fn check_server(
    context: &Context<'_>,
    server: &Server,
    request: &Request,
) -> Result<(), SendBlocked> {
    if server.endpoint.state != ServerState::Ready {
        return Err(SendBlocked::ServerNotReady);
    }
    if !slow_start::permits(context, server, request.relative_work) {
        return Err(SendBlocked::ServerWarmingUp);
    }
    if !retry::idempotency_allows(context, server, request) {
        return Err(SendBlocked::MayHaveRun);
    }
    let id = server.endpoint.id;
    if request.attempts.iter().any(|a| a.endpoint.id == id) {
        return Err(SendBlocked::SameServer);
    }
    Ok(())
}

/// Checks whether a request may be sent to any server now.
///
/// # Errors
/// The rule that forbids it.
fn check_request(
    context: &Context<'_>,
    latency: &LatencyEstimates,
    request: &Request,
) -> Result<(), SendBlocked> {
    if request.closed {
        return Err(SendBlocked::Closed);
    }
    if !retry::may_attempt_now(context, latency, request) {
        return Err(SendBlocked::AttemptInFlight);
    }
    if context.now >= request.deadline {
        return Err(SendBlocked::DeadlinePassed);
    }
    if request.attempts.len() >= retry::max_attempts(context, request) {
        return Err(SendBlocked::NoAttemptsLeft);
    }
    Ok(())
}

impl Balancer {
    /// Sends a request to a server if all rules allow it; otherwise finishes the request.
    pub(super) fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let context = self.context();
        let (Some(request), Some(server)) = (self.requests.get(id), self.endpoints.get(to)) else {
            return;
        };
        let allowed = check_request(&context, &self.latency, request)
            .and_then(|()| check_server(&context, server, request));
        if let Err(blocked) = allowed {
            return self.finish(id, FinishReason::SendBlocked(blocked), actions);
        }
        let is_retry = request.was_attempted();
        let body_pending = request.body_pending();
        let remaining = request.deadline - context.now;
        let response_timeout = retry::response_timeout(&context, &self.latency, request);
        let attempt = Attempt {
            endpoint: server.endpoint,
            sent_at: context.now,
            concurrency_level: concurrency::level(server.concurrency(&context)),
            outcome: None,
        };
        let may_retry = !body_pending && self.may_retry_after(server, request, response_timeout);
        let hedging = retry::may_hedge(&context, request);
        let timeout = if may_retry && !hedging {
            response_timeout
        } else {
            remaining
        };
        if may_retry && hedging {
            actions.push(Action::SetTimer {
                after: response_timeout,
                token: id.0,
            });
        }
        actions.push(Action::Send {
            id,
            server: to,
            timeout,
        });
        self.record_send(id, attempt, body_pending, is_retry);
    }

    /// Whether an attempt at a server would leave enough time, retry budget and another server for a retry. Without these,
    /// ending an unresponsive attempt early would only lose its response.
    fn may_retry_after(&self, server: &Server, request: &Request, timeout: Duration) -> bool {
        let remaining = request.deadline - self.now;
        let attempts = if request.was_attempted() { 2.0 } else { 1.0 };
        remaining > timeout * RETRY_TIME_NUMERATOR / RETRY_TIME_DENOMINATOR
            && self.retry_budget.has(attempts)
            && self.has_other_server(server, request)
    }

    /// Whether another server would be eligible for a retry after an attempt at `server`.
    fn has_other_server(&self, server: &Server, request: &Request) -> bool {
        let context = self.context();
        if request.attempts.len() + 1 >= retry::max_attempts(&context, request) {
            return false;
        }
        let first = request.first_that_may_have_run();
        let (first_endpoint, sent_at) = match first {
            Some(attempt) => (&attempt.endpoint, attempt.sent_at),
            None => (&server.endpoint, self.now),
        };
        let is_alternative = |other: &Server| {
            other.endpoint.id != server.endpoint.id
                && !other.health.is_ejected()
                && check_server(&context, other, request).is_ok()
                && retry::may_retry_on(&context, other, request, first_endpoint, sent_at)
        };
        let mut subset = self
            .endpoints
            .in_ring_order(&self.settings)
            .take(self.subset_size());
        subset.any(is_alternative)
    }

    /// Updates every policy that counts sends.
    fn record_send(&mut self, id: RequestId, attempt: Attempt, body_pending: bool, is_retry: bool) {
        if let Some(server) = self.endpoints.get_mut(attempt.endpoint.id) {
            server.on_send(body_pending);
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.skips_health_checks = true;
            request.attempts.push(attempt);
        }
        if is_retry {
            self.retry_budget.take_one();
        }
        self.health_checks.stop_waiting(id);
        let window_s = self.context().rate_window_s();
        self.send_rate.add(self.now, window_s, 1.0);
        self.join_up_to.on_send();
    }
}
