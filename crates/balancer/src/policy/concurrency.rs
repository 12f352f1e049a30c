//! Admission by concurrency: a request is sent to a server only if attempts at the same concurrency have been served in
//! time.
//!
//! Concurrency is the estimated number of requests at a server; rounded to a whole number it is the concurrency level. For
//! each level the gate keeps the fraction of attempts that were served in time.

use super::estimators::SMOOTHING;

/// Number of concurrency levels. The last level holds all higher concurrencies.
pub(super) const LEVELS: usize = 64;
/// A level is open while at least this fraction of its attempts is served in time; also the initial value.
const MIN_IN_TIME_FRACTION: f64 = 0.75;
/// The fraction of requests that a closed level still admits if this node has none in flight at the server. Without them
/// the level could not be seen to recover.
const TRIAL_FRACTION: f64 = SMOOTHING / 2.0;
/// The upper bound of the admitted fraction. The part above 1 absorbs single late responses.
const MAX_ADMISSION: f64 = 2.0;
/// Increment of the admitted fraction for a response in time. Admission is steady if seven of eight responses are in time.
const ADMISSION_STEP: f64 = SMOOTHING * 2.0 / 7.0;
const MIN_ADMISSION: f64 = SMOOTHING / 2.0;

/// The concurrency level for a concurrency.
pub(super) fn level(concurrency: f64) -> usize {
    (concurrency.round() as usize).min(LEVELS - 1)
}

/// Tracks which concurrency levels are served in time.
#[derive(Debug)]
pub(super) struct ConcurrencyGate {
    /// Smoothed fraction of attempts served in time, by the server's level when the attempt was sent.
    in_time: Vec<f64>,
    /// The highest explored level. Higher ones are unexplored: no attempt sent at half of such a level or above has been
    /// served in time yet.
    highest_explored: usize,
    /// The fraction of requests that are admitted at open levels. It may exceed 1, see [`MAX_ADMISSION`].
    admission: f64,
}

impl ConcurrencyGate {
    pub(super) fn new() -> Self {
        ConcurrencyGate {
            in_time: vec![MIN_IN_TIME_FRACTION; LEVELS],
            highest_explored: 1,
            admission: MAX_ADMISSION,
        }
    }

    /// Whether a server at `level` may be sent a request. `draw` is a random number in [0, 1) drawn for the request; a higher
    /// `priority` is admitted more often. `none_in_flight` tells whether this node has no request in flight at the server.
    pub(super) fn admits(
        &self,
        level: usize,
        none_in_flight: bool,
        priority: f64,
        draw: f64,
    ) -> bool {
        let weighted_draw = draw.powf(priority);
        let level_open =
            level == 0 || level <= self.highest_explored && self.is_mostly_in_time(level);
        // Many nodes together may overload a server that has a low concurrency in the view of each node.
        let admitted = level_open && weighted_draw <= self.admission;
        admitted || none_in_flight && weighted_draw < TRIAL_FRACTION
    }

    /// Whether it is still unknown if a server at `level` responds in time. Without this state, a node that starts during an
    /// overload would overload all servers by trying, and a node with fast servers would reject requests that they can take.
    pub(super) fn is_unexplored(&self, level: usize) -> bool {
        level > self.highest_explored && self.is_mostly_in_time(level)
    }

    fn is_mostly_in_time(&self, level: usize) -> bool {
        self.in_time[level] >= MIN_IN_TIME_FRACTION
    }

    /// An attempt sent at `level` was served in time. This counts for all lower levels too, and with half the weight for
    /// the next level, so that it can open.
    pub(super) fn on_served_in_time(&mut self, level: usize) {
        for fraction in &mut self.in_time[..=level] {
            *fraction += (1.0 - *fraction) * SMOOTHING;
        }
        let next = &mut self.in_time[(level + 1).min(LEVELS - 1)];
        *next += (1.0 - *next) * SMOOTHING / 2.0;
        self.admission = (self.admission + ADMISSION_STEP).min(MAX_ADMISSION);
        // After a response in time at a level, about twice that level may be tried.
        self.highest_explored = self.highest_explored.max(2 * level + 2);
    }

    /// An attempt sent at `level` was late or rejected; this counts for all higher levels too. At level 0 this node's
    /// requests are not the cause: other nodes overload the server, or it is faulty.
    pub(super) fn on_late(&mut self, level: usize) {
        if level == 0 {
            self.admission = (self.admission - self.admission * SMOOTHING).max(MIN_ADMISSION);
            return;
        }
        for fraction in &mut self.in_time[level..] {
            *fraction -= *fraction * SMOOTHING;
        }
    }
}

#[cfg(test)]
#[path = "tests/concurrency.rs"]
mod tests;
