//! Deadlines: until when an answer is of use.

use crate::event::NewRequest;
use crate::settings::{Class, Settings};
use std::time::Duration;

/// A request whose body is still being received may take this long: the longest body at the least rate takes less.
pub(super) const MAX_BODY_TIME: Duration = Duration::from_secs(1200);
/// Stretches of the latency objective are bounded by this factor.
const MAX_STRETCH: f64 = 1e3;
/// A retry whose time differs by less than one part in this many from a first request's is taken for a first request.
const SAME_TIME_DIVISOR: u32 = 64;

/// How long clients wait for a first request, by class: a marked retry has less, by what it has waited already.
#[derive(Debug)]
pub(super) struct FirstRequestTimes(Vec<Duration>);

impl FirstRequestTimes {
    pub(super) fn new(settings: &Settings) -> Self {
        FirstRequestTimes(vec![Duration::ZERO; settings.classes.len()])
    }

    pub(super) fn on_settings(&mut self, settings: &Settings) {
        let classes = settings.classes.len().max(self.0.len());
        self.0.resize(classes, Duration::ZERO);
    }

    /// How long a request's client has waited already, as far as it shows.
    fn already_waited(&mut self, request: &NewRequest, position: usize, class: &Class) -> Duration {
        if !request.client_retry {
            self.0[position] = request.remaining;
        }
        let first = self.0[position];
        if request.remaining.abs_diff(first) < first / SAME_TIME_DIVISOR {
            return Duration::ZERO;
        }
        class.deadline.saturating_sub(request.remaining)
    }

    /// Until when an answer to a new request of that class is of use. Timers come one resolution late at most, and the
    /// answer has to be there before the client leaves.
    pub(super) fn deadline(
        &mut self,
        settings: &Settings,
        now: Duration,
        request: &NewRequest,
        position: usize,
    ) -> Duration {
        let class = &settings.classes[position];
        let margin = 2 * settings.timer_resolution;
        let client_leaves = now + request.remaining.saturating_sub(margin);
        let work = request.expected_work.unwrap_or_default();
        let stretch = work.mul_f64(class.objective_stretch.clamp(0.0, MAX_STRETCH));
        let already_waited = self.already_waited(request, position, class);
        if class.late_weight > 0.0 {
            return client_leaves;
        }
        let objective = (now + class.latency_objective + stretch).saturating_sub(already_waited);
        client_leaves.min(objective)
    }
}
