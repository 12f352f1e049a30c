//! Polling of the endpoint list, where it is not pushed.

use crate::action::Action;
use crate::settings::SafetyRules;
use std::time::Duration;

/// A failed poll is made again after this at the most: what discovery has counts as notified within seconds of when it can
/// be reached, whatever polls failed before.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// First polls are spread over this fraction of the longest interval: all nodes may have started together.
const INITIAL_SPREAD: f64 = 1.0 / 4.0;
/// A poll that is not answered is made again after this fraction of the longest interval.
const POLL_AGAIN: u32 = 2;
/// The housekeeping timer's period: a fraction of the longest interval, and of the longest backoff.
const TICKS_PER_INTERVAL: u32 = 64;
const TICKS_PER_BACKOFF: u32 = 8;

/// When to poll next.
#[derive(Debug, Default)]
pub(super) struct EndpointPoller {
    /// `None` while the list is current.
    next_poll: Option<Duration>,
    backoff: Duration,
}

impl EndpointPoller {
    /// Schedules the first poll of a started node. `draw` is from 0 up to 1.
    pub(super) fn start(&mut self, now: Duration, safety: &SafetyRules, draw: f64) {
        let after = safety.max_poll_interval.mul_f64(draw * INITIAL_SPREAD);
        self.next_poll = Some(now + after);
    }

    /// A poll failed, or the watch ended: polls again after a backoff with jitter. `draw` is from 0 up to 1.
    pub(super) fn on_failure(&mut self, now: Duration, draw: f64) {
        self.backoff = (2 * self.backoff).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.next_poll = Some(now + self.backoff.mul_f64(0.5 + draw / 2.0));
    }

    /// The list was received.
    pub(super) fn on_success(&mut self) {
        self.next_poll = None;
        self.backoff = Duration::ZERO;
    }

    /// Polls if it is time, and sets the housekeeping timer again.
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
            self.next_poll = Some(now + interval / POLL_AGAIN);
        }
        let after = (interval / TICKS_PER_INTERVAL).min(MAX_BACKOFF / TICKS_PER_BACKOFF);
        actions.push(Action::SetTimer { after, token });
    }
}

#[cfg(test)]
#[path = "tests/polling.rs"]
mod tests;
