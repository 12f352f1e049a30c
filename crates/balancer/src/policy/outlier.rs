//! Outlier detection: servers that fail more often than the others are ejected for a time, then tried with single requests.

use super::context::Context;
use super::estimators::{Ewma, SMOOTHING};
use std::time::Duration;

/// Weight of an outcome in a server's failure rate.
const SERVER_WEIGHT: f64 = SMOOTHING * 2.0;
/// Weight of an outcome in the failure rate of all servers.
const OVERALL_WEIGHT: f64 = SMOOTHING / 2.0;
/// A server is an outlier over this failure rate ...
const MIN_FAILURE_RATE: f64 = 0.5;
/// ... if it is also this many times that of all servers: what all suffer is no server's fault.
const OUTLIER_RATIO: f64 = 1.5;
/// Each ejection in a row doubles its time, up to this many times.
const MAX_DOUBLINGS: u32 = 4;
/// An ejected server that is due gets this fraction of requests on trial; of non-idempotent requests, which cannot be
/// retried, a quarter of it. More would put most requests of a quiet node on trial.
const TRIAL_FRACTION: f64 = SMOOTHING;
const NON_IDEMPOTENT_TRIALS: f64 = 4.0;

/// What an outcome says of a server's health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum HealthSignal {
    /// It answered in good time.
    Answered,
    /// It answered with little time to spare.
    AnsweredSlowly,
    /// It failed, or was too late.
    Failed,
    /// It refused a second connection in a row: nobody is there.
    Unreachable,
}

impl HealthSignal {
    /// The signal as a failure, from 0 to 1.
    fn failure(self) -> f64 {
        match self {
            HealthSignal::Answered => 0.0,
            HealthSignal::AnsweredSlowly => 0.5,
            HealthSignal::Failed | HealthSignal::Unreachable => 1.0,
        }
    }

    /// Its weight in the server's failure rate.
    fn weight(self) -> f64 {
        match self {
            HealthSignal::Unreachable => 1.0,
            _ => SERVER_WEIGHT,
        }
    }
}

/// A server's health.
#[derive(Debug, Default)]
pub(super) struct ServerHealth {
    failure_rate: Ewma,
    /// The last attempt to connect failed, and nothing was answered since.
    connect_failed: bool,
    /// Ejected until then; from then on tried with single requests, until it answers.
    ejected_until: Option<Duration>,
    /// Ejections in a row; halved by an answer.
    ejections: u32,
}

impl ServerHealth {
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate.value()
    }

    /// Whether it is ejected, or on trial after an ejection.
    pub(super) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether its ejection is over, so that it may get a request on trial.
    pub(super) fn is_due_for_trial(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Records a failed connection that took `elapsed`, and classifies it. A first one may be chance. One that only took
    /// too long may come up late, however often, and stays a failure like others.
    pub(super) fn on_connect_failed(
        &mut self,
        elapsed: Duration,
        connect_timeout: Duration,
    ) -> ConnectFailure {
        let again = std::mem::replace(&mut self.connect_failed, true);
        let timed_out = elapsed >= connect_timeout;
        ConnectFailure {
            again,
            signal: if again && !timed_out {
                HealthSignal::Unreachable
            } else {
                HealthSignal::Failed
            },
        }
    }
}

/// A failed connection to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectFailure {
    /// Whether the one before failed too.
    pub(super) again: bool,
    pub(super) signal: HealthSignal,
}

/// Whether a first attempt with this draw, from 0 up to 1, may go to an ejected server on trial.
pub(super) fn is_trial(draw: f64, can_be_retried: bool) -> bool {
    let factor = if can_be_retried {
        1.0
    } else {
        NON_IDEMPOTENT_TRIALS
    };
    draw * factor < TRIAL_FRACTION
}

/// Compares servers with each other.
#[derive(Debug, Default)]
pub(super) struct OutlierDetector {
    /// Failure rate of attempts at all servers.
    overall: Ewma,
}

impl OutlierDetector {
    /// Takes a signal of a server's health.
    pub(super) fn observe(&mut self, health: &mut ServerHealth, signal: HealthSignal) {
        let failure = signal.failure();
        health.failure_rate.observe(failure, signal.weight());
        self.overall.observe(failure, OVERALL_WEIGHT);
        if failure < 1.0 {
            health.ejected_until = None;
            health.ejections /= 2;
            health.connect_failed = false;
        }
    }

    /// Whether a server is to be ejected after this signal. Half of the servers stay, unless one cannot be reached or fails
    /// while it is ejected; attempts sent before the ejection count for that too. `may_eject_more` is whether enough are left.
    pub(super) fn should_eject(
        &self,
        health: &ServerHealth,
        signal: HealthSignal,
        may_eject_more: impl FnOnce() -> bool,
    ) -> bool {
        if signal.failure() < 1.0 {
            return false;
        }
        if health.is_ejected() || signal == HealthSignal::Unreachable {
            return true;
        }
        let rate = health.failure_rate();
        let outlier = rate > MIN_FAILURE_RATE && rate > OUTLIER_RATIO * self.overall.value();
        outlier && may_eject_more()
    }
}

/// Ejects a server: for the time within which warming servers are judged, doubled for each ejection before in a row.
pub(super) fn eject(context: &Context<'_>, health: &mut ServerHealth) {
    let doublings = health.ejections.min(MAX_DOUBLINGS);
    let time = context.settings.safety.overload_window * (1 << doublings);
    health.ejected_until = Some(context.now + time);
    health.ejections += 1;
}

/// Whether one more of `ready` servers may be ejected where `ejected` are: half of them stay.
pub(super) fn may_eject_more(ejected: usize, ready: usize) -> bool {
    2 * ejected + 2 <= ready
}

#[cfg(test)]
#[path = "tests/outlier.rs"]
mod tests;
