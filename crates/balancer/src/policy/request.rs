//! Requests that are owed an answer, or some of whose attempts are in flight.

use crate::endpoint::Endpoint;
use crate::event::Outcome;
use crate::settings::Idempotency;
use std::time::Duration;

/// An attempt of a request.
pub(super) struct Attempt {
    /// The server as it was listed at the send.
    pub(super) endpoint: Endpoint,
    pub(super) sent_at: Duration,
    /// The server's crowding level at the send.
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

/// A request.
#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    /// As its class allowed when it was accepted.
    pub(super) idempotency: Idempotency,
    /// Most attempts, as allowed when it was accepted. Later settings may allow fewer.
    pub(super) max_attempts: u32,
    /// Its expected work in units of a usual request's.
    pub(super) relative_work: f64,
    /// Its priority: its weight in units of a usual request's.
    pub(super) priority: f64,
    /// An answer is of use until then.
    pub(super) deadline: Duration,
    pub(super) attempts: Vec<Attempt>,
    /// It has waited for health checks once, or must do without.
    pub(super) health_checks_done: bool,
    /// It is held back: for an eligible server, or until more is known of crowding.
    pub(super) waiting: bool,
    /// The attempt whose response the client is receiving.
    pub(super) streaming: Option<u32>,
    /// While its body is still being received: the time that it will have from the body's end.
    pub(super) time_after_body: Option<Duration>,
    /// Its body is consumed: it cannot be sent again.
    pub(super) body_consumed: bool,
    /// It has its final answer, or its client is gone.
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

    /// The attempt sent last of those in flight.
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
