//! Admission by crowding: a request goes to a server only where servers that are as crowded still answer in time.
//!
//! Crowding is counted in levels, requests at the server. For each level the gate remembers the fraction of attempts that
//! were answered in time.

use super::estimators::SMOOTHING;

/// Crowding beyond this many requests is one level.
pub(super) const LEVELS: usize = 64;
/// A level is open while at least this fraction of its attempts is answered in time; also the initial value.
const OPEN_FRACTION: f64 = 0.75;
/// A closed level still gets this fraction of requests where the server has none of this node: else nothing would show
/// that it answers in time again.
const TRIAL_FRACTION: f64 = SMOOTHING / 2.0;
/// The admission of requests has a reserve over 1 for single late answers.
const MAX_ADMISSION: f64 = 2.0;
/// What an answer in time adds to admission: it is steady where seven in eight are in time.
const ADMISSION_STEP: f64 = SMOOTHING * 2.0 / 7.0;
const MIN_ADMISSION: f64 = SMOOTHING / 2.0;

/// The crowding level of so many requests at a server.
pub(super) fn level(crowding: f64) -> usize {
    (crowding.round() as usize).min(LEVELS - 1)
}

/// What is known of answers in time.
#[derive(Debug)]
pub(super) struct ConcurrencyGate {
    /// Smoothed fraction of attempts answered in time, by the server's level at the send.
    in_time: Vec<f64>,
    /// Levels beyond this are unexplored: no attempt sent at half of such a level or more was answered in time yet.
    highest_explored: usize,
    /// The fraction of requests that is admitted where servers do not look crowded; over 1 in reserve.
    admission: f64,
}

impl ConcurrencyGate {
    pub(super) fn new() -> Self {
        ConcurrencyGate {
            in_time: vec![OPEN_FRACTION; LEVELS],
            highest_explored: 1,
            admission: MAX_ADMISSION,
        }
    }

    /// Whether a server at `level` is open to a request. `draw`, from 0 up to 1, is the request's; a higher priority is
    /// admitted more often. `unused` says that this node has nothing in flight there.
    pub(super) fn admits(&self, level: usize, unused: bool, priority: f64, draw: f64) -> bool {
        let chance = draw.powf(priority);
        let level_open = level == 0 || level <= self.highest_explored && self.is_in_time(level);
        // Many nodes together may overload a server that looks uncrowded to each of them.
        let admitted = level_open && chance <= self.admission;
        admitted || unused && chance < TRIAL_FRACTION
    }

    /// Whether it is not known yet if a server at `level` answers in time. A node that starts into an overload would
    /// otherwise overload all servers by trying, and one with fast servers would reject what they can take.
    pub(super) fn is_unexplored(&self, level: usize) -> bool {
        level > self.highest_explored && self.is_in_time(level)
    }

    fn is_in_time(&self, level: usize) -> bool {
        self.in_time[level] >= OPEN_FRACTION
    }

    /// An attempt sent at `level` was answered in time. So are those sent at lower levels; the next level gets a chance.
    pub(super) fn on_in_time(&mut self, level: usize) {
        for fraction in &mut self.in_time[..=level] {
            *fraction += (1.0 - *fraction) * SMOOTHING;
        }
        let next = &mut self.in_time[(level + 1).min(LEVELS - 1)];
        *next += (1.0 - *next) * SMOOTHING / 2.0;
        self.admission = (self.admission + ADMISSION_STEP).min(MAX_ADMISSION);
        // Where one was in time, twice as many may be tried.
        self.highest_explored = self.highest_explored.max(2 * level + 2);
    }

    /// An attempt sent at `level` was late or rejected; it counts for higher levels too. At level 0 the crowding is not this
    /// node's: other nodes overload the server, or it is at fault.
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
