//! Requests that are owed a final response or have attempts in flight.

use crate::endpoint::Endpoint;
use crate::event::Outcome;
use crate::settings::Idempotency;
use std::time::Duration;

/// An attempt of a request.
pub(super) struct Attempt {
    /// The server's endpoint when the attempt was sent.
    pub(super) endpoint: Endpoint,
    pub(super) sent_at: Duration,
    /// The server's concurrency level when the attempt was sent.
    pub(super) concurrency_level: usize,
    /// `None` while the attempt is in flight.
    pub(super) outcome: Option<Outcome>,
}

impl Attempt {
    pub(super) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether the server may have run the request, as far as is known.
    pub(super) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// An open request.
#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    /// The idempotency of its class when its head was accepted. New settings may tighten it.
    pub(super) idempotency: Idempotency,
    /// The most attempts, as allowed when its head was accepted. Later settings may allow fewer.
    pub(super) max_attempts: u32,
    /// Whether hedging was allowed when its head was accepted. Later settings may forbid it.
    pub(super) hedging: bool,
    /// The latency objective of its class when its head was accepted.
    pub(super) latency_objective: Duration,
    /// Whether a response after the latency objective has any weight.
    pub(super) late_response_counts: bool,
    /// Its expected work relative to that of the average request.
    pub(super) relative_work: f64,
    /// Its priority: its weight relative to that of the average request.
    pub(super) priority: f64,
    /// The time by which it must have its final response.
    pub(super) deadline: Duration,
    pub(super) attempts: Vec<Attempt>,
    /// It does not wait for health checks (any more): it has waited or been sent once, or health checks are not the only
    /// source of load reports.
    pub(super) skips_health_checks: bool,
    /// It is held until a server is eligible or more concurrency levels are explored.
    pub(super) held: bool,
    /// The number of the attempt whose response the client is receiving.
    pub(super) streaming: Option<u32>,
    /// Set while its body is still being received: the time that it has from the end of the body to its deadline.
    pub(super) time_after_body: Option<Duration>,
    /// Its body is consumed, so it cannot be sent again.
    pub(super) body_consumed: bool,
    /// It has its final response, or its client has disconnected.
    pub(super) closed: bool,
}

impl Request {
    pub(super) fn body_pending(&self) -> bool {
        self.time_after_body.is_some()
    }

    /// Number of attempts in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_in_flight()).count()
    }

    /// The numbers of the attempts in flight.
    pub(super) fn attempts_in_flight(&self) -> impl Iterator<Item = u32> + '_ {
        let attempts = self.attempts.iter().enumerate();
        attempts
            .filter(|(_, a)| a.is_in_flight())
            .map(|(number, _)| number as u32)
    }

    /// The latest attempt in flight.
    pub(super) fn last_in_flight(&self) -> Option<&Attempt> {
        self.attempts.iter().rfind(|a| a.is_in_flight())
    }

    /// The first attempt that may have run.
    pub(super) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run())
    }

    /// Whether the next attempt would be a retry or a hedged request.
    pub(super) fn was_attempted(&self) -> bool {
        !self.attempts.is_empty()
    }
}
