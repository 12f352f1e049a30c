//! Deadlines of requests.

use crate::event::NewRequest;
use crate::settings::{Class, Settings};
use std::time::Duration;

/// The longest time for receiving a request's body. The largest body at the minimum transfer rate takes less.
pub(super) const MAX_BODY_TIME: Duration = Duration::from_secs(1200);
/// Upper bound of [`Class::objective_stretch`].
const MAX_OBJECTIVE_STRETCH: f64 = 1e3;
/// A retry is treated as a first request if its remaining time differs from that of a first request by less than one part
/// in this many.
const SAME_TIMEOUT_DIVISOR: u32 = 64;

/// How long clients wait for a first request, by class. The remaining time of a marked retry is shorter: its client
/// has already spent a part of it on earlier requests.
#[derive(Debug)]
pub(super) struct FirstRequestTimeouts(Vec<Duration>);

impl FirstRequestTimeouts {
    pub(super) fn new(settings: &Settings) -> Self {
        FirstRequestTimeouts(vec![Duration::ZERO; settings.classes.len()])
    }

    pub(super) fn on_settings(&mut self, settings: &Settings) {
        let classes = settings.classes.len().max(self.0.len());
        self.0.resize(classes, Duration::ZERO);
    }

    /// How long the client has already waited with earlier requests, as far as can be inferred.
    fn already_waited(
        &mut self,
        request: &NewRequest,
        class_index: usize,
        class: &Class,
    ) -> Duration {
        if !request.client_retry {
            self.0[class_index] = request.remaining;
        }
        let first = self.0[class_index];
        if request.remaining.abs_diff(first) < first / SAME_TIMEOUT_DIVISOR {
            return Duration::ZERO;
        }
        class.deadline.saturating_sub(request.remaining)
    }

    /// The deadline of a new request of `class`, at position `class_index`: when its client gives up, or at the latency objective if
    /// that is earlier and late responses have no weight. A margin is kept because timers are late by up to one timer
    /// resolution, and the response has to reach the client in time.
    pub(super) fn deadline(
        &mut self,
        settings: &Settings,
        now: Duration,
        request: &NewRequest,
        class_index: usize,
        class: &Class,
    ) -> Duration {
        let margin = 2 * settings.timer_resolution;
        let client_timeout_at = now + request.remaining.saturating_sub(margin);
        let work = request.expected_work.unwrap_or_default();
        let stretch = work.mul_f64(class.objective_stretch.clamp(0.0, MAX_OBJECTIVE_STRETCH));
        let already_waited = self.already_waited(request, class_index, class);
        if class.late_weight > 0.0 {
            return client_timeout_at;
        }
        let objective = (now + class.latency_objective + stretch).saturating_sub(already_waited);
        client_timeout_at.min(objective)
    }
}
