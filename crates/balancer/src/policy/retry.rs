//! Retries and hedged requests: whether a request may have another attempt, on which servers, and when.

use super::context::Context;
use super::estimators::LatencyEstimates;
use super::request::Request;
use super::server::Server;
use crate::endpoint::Endpoint;
use crate::settings::{Idempotency, Scope};
use std::time::Duration;

/// Further attempts as a fraction of requests.
const BUDGET_RATIO: f64 = 0.4;
/// Tokens of the retry budget that are saved at most, and that a node starts with.
const MAX_TOKENS: f64 = 2.0 / BUDGET_RATIO;
const INITIAL_TOKENS: f64 = 1.0 / BUDGET_RATIO;
/// An attempt is silent for too long after this multiple of the median latency: for exponential latencies one in sixteen is.
const SILENCE_MEDIANS: f64 = 4.0;
/// Timers may come this much early.
const TIMER_SLACK: f64 = 0.99;
/// Most that a request's work counts for its timeout, in units of a usual request's.
const MAX_RELATIVE_WORK: f64 = 1e3;

/// The retry budget: each request adds a part of a token, each further attempt takes one.
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

/// Most attempts of a request. Fewer allowed by new settings bind it too, more do not.
pub(super) fn max_attempts(context: &Context<'_>, request: &Request) -> usize {
    if request.body_consumed {
        return request.attempts.len().max(1);
    }
    let allowed_now = context.settings.limits.max_attempts;
    request.max_attempts.min(allowed_now).max(1) as usize
}

/// How long an attempt may stay silent before the request is retried or hedged, where it may be.
pub(super) fn silence_timeout(
    context: &Context<'_>,
    latency: &LatencyEstimates,
    request: &Request,
) -> Duration {
    let relative_work = request.relative_work.clamp(1.0, MAX_RELATIVE_WORK);
    let timeout = Duration::from_secs_f64(SILENCE_MEDIANS * latency.median_s() * relative_work);
    timeout.max(2 * context.settings.timer_resolution)
}

/// Whether attempts in flight permit another one: there is none, or hedging is allowed and the only one has been
/// silent for too long.
pub(super) fn may_attempt_now(
    context: &Context<'_>,
    latency: &LatencyEstimates,
    request: &Request,
) -> bool {
    let Some(last) = request.last_in_flight() else {
        return true;
    };
    if !context.settings.limits.hedging || request.in_flight() >= 2 || request.body_pending() {
        return false;
    }
    let timeout = silence_timeout(context, latency, request);
    context.now >= last.sent_at + timeout.mul_f64(TIMER_SLACK)
}

/// Whether a request, some attempt of which may have run, may be sent to a server: as its idempotency allows.
pub(super) fn idempotency_allows(
    context: &Context<'_>,
    server: &Server,
    request: &Request,
) -> bool {
    let Some(first) = request.first_that_may_have_run() else {
        return true;
    };
    may_follow(context, server, request, &first.endpoint, first.sent_at)
}

/// Whether a request that was sent to one server at a time, and may have run there, may go to another one now.
pub(super) fn may_follow(
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
