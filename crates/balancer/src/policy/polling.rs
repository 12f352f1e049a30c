//! Polls the endpoint list in deployments where updates are not pushed.

use crate::action::Action;
use crate::settings::SafetyRules;
use std::time::Duration;

/// The longest backoff after a failed poll. A change counts as notified within seconds of discovery becoming reachable,
/// however many polls failed before.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// First polls are spread over this fraction of the longest poll interval, because all nodes may start at the same time.
const INITIAL_POLL_SPREAD: f64 = 1.0 / 4.0;
/// A poll without a response is repeated after the longest poll interval divided by this.
const POLL_TIMEOUT_DIVISOR: u32 = 2;
/// The period of the housekeeping timer is the longest poll interval divided by this ...
const TICKS_PER_INTERVAL: u32 = 64;
/// ... but at most the longest backoff divided by this.
const TICKS_PER_BACKOFF: u32 = 8;

/// Schedules polls of the endpoint list.
#[derive(Debug, Default)]
pub(super) struct EndpointPoller {
    /// The time of the next poll; `None` while the list is current.
    next_poll: Option<Duration>,
    backoff: Duration,
}

impl EndpointPoller {
    /// Schedules the first poll after the node's start. `draw` is a random number in [0, 1).
    pub(super) fn start(&mut self, now: Duration, safety: &SafetyRules, draw: f64) {
        let after = safety.max_poll_interval.mul_f64(draw * INITIAL_POLL_SPREAD);
        self.next_poll = Some(now + after);
    }

    /// Handles a failed poll or an ended watch: schedules a poll after a backoff with jitter. `draw` is a random number in
    /// [0, 1).
    pub(super) fn on_failure(&mut self, now: Duration, draw: f64) {
        self.backoff = (2 * self.backoff).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.next_poll = Some(now + self.backoff.mul_f64(0.5 + draw / 2.0));
    }

    /// Handles a received endpoint list.
    pub(super) fn on_success(&mut self) {
        self.next_poll = None;
        self.backoff = Duration::ZERO;
    }

    /// Polls if a poll is due, and sets the housekeeping timer again.
    pub(super) fn on_tick(
        &mut self,
        now: Duration,
        safety: &SafetyRules,
        token: u64,
        actions: &mut Vec<Action>,
    ) {
        let interval = safety.max_poll_interval;
        if self.next_poll.is_some_and(|at| now >= at) {
            actions.push(Action::WatchEndpoints { on: true });
            self.next_poll = Some(now + interval / POLL_TIMEOUT_DIVISOR);
        }
        let after = (interval / TICKS_PER_INTERVAL).min(MAX_BACKOFF / TICKS_PER_BACKOFF);
        actions.push(Action::SetTimer { after, token });
    }
}

#[cfg(test)]
#[path = "tests/polling.rs"]
mod tests;
