//! Retries and hedged requests: whether a request may have another attempt, at which servers, and when.

use super::context::Context;
use super::estimators::LatencyEstimates;
use super::request::Request;
use super::server::Server;
use crate::endpoint::Endpoint;
use crate::settings::{Idempotency, Scope};
use std::time::Duration;

/// Retries and hedged requests allowed per request.
const BUDGET_RATIO: f64 = 0.4;
/// The most tokens that the retry budget holds, and the number that it starts with.
const MAX_TOKENS: f64 = 2.0 / BUDGET_RATIO;
const INITIAL_TOKENS: f64 = 1.0 / BUDGET_RATIO;
/// The response timeout as a multiple of the median latency. With exponentially distributed latencies one attempt in
/// sixteen exceeds it.
const RESPONSE_TIMEOUT_MEDIANS: f64 = 4.0;
/// Timers may expire early; a hedged request is due from this fraction of the response timeout.
const TIMER_EARLY_FACTOR: f64 = 0.99;
/// Upper bound of a request's relative work in its response timeout.
const MAX_RELATIVE_WORK: f64 = 1e3;

/// The retry budget, a token bucket: each request adds a fraction of a token, each retry or hedged request takes one.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        RetryBudget {
            tokens: INITIAL_TOKENS,
        }
    }

    pub(super) fn on_request(&mut self) {
        self.tokens = (self.tokens + BUDGET_RATIO).min(MAX_TOKENS);
    }

    pub(super) fn has(&self, attempts: f64) -> bool {
        self.tokens >= attempts
    }

    pub(super) fn take_one(&mut self) {
        self.tokens -= 1.0;
    }
}

/// The most attempts of an open request. New settings can lower its limit but not raise it.
pub(super) fn max_attempts(context: &Context<'_>, request: &Request) -> usize {
    if request.body_consumed {
        return request.attempts.len().max(1);
    }
    let allowed_now = context.settings.limits.max_attempts;
    request.max_attempts.min(allowed_now).max(1) as usize
}

/// Whether an open request may have two attempts in flight. New settings can forbid it but not allow it.
pub(super) fn may_hedge(context: &Context<'_>, request: &Request) -> bool {
    request.hedging && context.settings.limits.hedging
}

/// How long to wait for a response before the request is retried or hedged, if that is allowed.
pub(super) fn response_timeout(
    context: &Context<'_>,
    latency: &LatencyEstimates,
    request: &Request,
) -> Duration {
    let relative_work = request.relative_work.clamp(1.0, MAX_RELATIVE_WORK);
    let timeout =
        Duration::from_secs_f64(RESPONSE_TIMEOUT_MEDIANS * latency.median_s() * relative_work);
    timeout.max(2 * context.settings.timer_resolution)
}

/// Whether the attempts in flight permit another one: there is none, or hedging is allowed and the only one has exceeded its
/// response timeout.
pub(super) fn may_attempt_now(
    context: &Context<'_>,
    latency: &LatencyEstimates,
    request: &Request,
) -> bool {
    let Some(last) = request.last_in_flight() else {
        return true;
    };
    if !may_hedge(context, request) || request.in_flight() >= 2 || request.body_pending() {
        return false;
    }
    let timeout = response_timeout(context, latency, request);
    context.now >= last.sent_at + timeout.mul_f64(TIMER_EARLY_FACTOR)
}

/// Whether a request's idempotency allows an attempt at a server, given the earlier attempts that may have run.
pub(super) fn idempotency_allows(
    context: &Context<'_>,
    server: &Server,
    request: &Request,
) -> bool {
    let Some(first) = request.first_that_may_have_run() else {
        return true;
    };
    may_retry_on(context, server, request, &first.endpoint, first.sent_at)
}

/// Whether a request that was sent to the server `first` at `sent_at`, and may have run there, may be sent to `server` now.
pub(super) fn may_retry_on(
    context: &Context<'_>,
    server: &Server,
    request: &Request,
    first: &Endpoint,
    sent_at: Duration,
) -> bool {
    match request.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, window } => {
            let shares_keys = match scope {
                Scope::All => true,
                Scope::Zone => first.zone == server.endpoint.zone,
                Scope::Cell => first.cell == server.endpoint.cell,
            };
            shares_keys && context.now < sent_at + window
        }
    }
}

#[cfg(test)]
#[path = "tests/retry.rs"]
mod tests;
