//! Outlier detection: servers that fail more often than the others are ejected for a time, then get single trial requests.

use super::context::Context;
use super::estimators::{Ewma, SMOOTHING};
use std::time::Duration;

/// Weight of an outcome in a server's failure rate.
const SERVER_WEIGHT: f64 = SMOOTHING * 2.0;
/// Weight of an outcome in the failure rate of all servers.
const OVERALL_WEIGHT: f64 = SMOOTHING / 2.0;
/// A server is an outlier if its failure rate exceeds this ...
const MIN_FAILURE_RATE: f64 = 0.5;
/// ... and also exceeds the failure rate of all servers by this factor: failures common to all are not one server's fault.
const OUTLIER_RATIO: f64 = 1.5;
/// Each consecutive ejection doubles the ejection time, up to this many times.
const MAX_DOUBLINGS: u32 = 4;
/// The fraction of requests that are trial requests while an ejected server is due for one. A larger fraction would turn
/// most requests of a node with little traffic into trial requests.
const TRIAL_FRACTION: f64 = SMOOTHING;
/// Non-idempotent requests, which cannot be retried, are trial requests less often by this factor.
const NON_IDEMPOTENT_TRIAL_DIVISOR: f64 = 4.0;

/// What an outcome indicates about a server's health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum HealthSignal {
    /// It served an attempt with enough time to spare.
    Served,
    /// It served an attempt with little time to spare.
    ServedSlowly,
    /// It failed or was too late.
    Failed,
    /// It refused a second consecutive connection: nothing listens there.
    Unreachable,
}

impl HealthSignal {
    /// The failure value of the signal, from 0 to 1.
    fn failure(self) -> f64 {
        match self {
            HealthSignal::Served => 0.0,
            HealthSignal::ServedSlowly => 0.5,
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
    /// The last connection attempt failed, and the server has served no attempt since.
    connect_failed: bool,
    /// Ejected until this time; after it the server gets trial requests until it serves one.
    ejected_until: Option<Duration>,
    /// Consecutive ejections; halved by each served attempt.
    ejections: u32,
}

impl ServerHealth {
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate.value()
    }

    /// Whether the server is ejected, or has served no attempt since its ejection ended.
    pub(super) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether its ejection has ended, so that it may get a trial request.
    pub(super) fn is_due_for_trial(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Records a connect failure after `elapsed` and classifies it. A first one may be chance. After a connect timeout the
    /// server may still become reachable, so timeouts count as ordinary failures however often they occur.
    pub(super) fn on_connect_failed(
        &mut self,
        elapsed: Duration,
        connect_timeout: Duration,
    ) -> ConnectFailure {
        let repeated = std::mem::replace(&mut self.connect_failed, true);
        let timed_out = elapsed >= connect_timeout;
        ConnectFailure {
            repeated,
            signal: if repeated && !timed_out {
                HealthSignal::Unreachable
            } else {
                HealthSignal::Failed
            },
        }
    }
}

/// A classified connect failure.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectFailure {
    /// Whether the previous connection to the server failed too.
    pub(super) repeated: bool,
    pub(super) signal: HealthSignal,
}

/// Whether a first attempt is sent as a trial request to an ejected server; `draw` is a random number in [0, 1).
pub(super) fn is_trial(draw: f64, can_be_retried: bool) -> bool {
    let factor = if can_be_retried {
        1.0
    } else {
        NON_IDEMPOTENT_TRIAL_DIVISOR
    };
    draw * factor < TRIAL_FRACTION
}

/// Detects servers that fail more often than the others.
#[derive(Debug, Default)]
pub(super) struct OutlierDetector {
    /// Failure rate of attempts at all servers.
    overall: Ewma,
}

impl OutlierDetector {
    /// Records a health signal of a server.
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

    /// Whether to eject a server after this signal. An unreachable server, and one that fails while it is ejected, is always
    /// ejected (again), even by an attempt sent before its ejection. Otherwise `may_eject_more` has to return true, which
    /// keeps half of the servers in use.
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

/// Ejects a server for the overload window, doubled for each previous consecutive ejection.
pub(super) fn eject(context: &Context<'_>, health: &mut ServerHealth) {
    let doublings = health.ejections.min(MAX_DOUBLINGS);
    let time = context.settings.safety.overload_window * (1 << doublings);
    health.ejected_until = Some(context.now + time);
    health.ejections += 1;
}

/// Whether one more of `ready` servers may be ejected if `ejected` of them already are. At least half stay in use.
pub(super) fn may_eject_more(ejected: usize, ready: usize) -> bool {
    2 * ejected + 2 <= ready
}

#[cfg(test)]
#[path = "tests/outlier.rs"]
mod tests;
