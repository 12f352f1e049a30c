//! Exponential backoff with jitter between connection attempts.

use sillward_runtime::random::Random;
use std::time::Duration;

pub(super) struct Backoff {
    initial: Duration,
    max: Duration,
    /// The upper bound of the next delay.
    next_max: Duration,
}

impl Backoff {
    pub(super) fn new(initial: Duration, max: Duration) -> Self {
        Backoff {
            initial,
            max,
            next_max: initial,
        }
    }

    /// Resets the delay after a successful attempt.
    pub(super) fn reset(&mut self) {
        self.next_max = self.initial;
    }

    /// Returns the delay before the next attempt: a random time between half and all of a bound that doubles with each
    /// call, up to the maximum.
    pub(super) fn next_delay(&mut self, random: &mut Random) -> Duration {
        let delay = self.next_max.mul_f64(0.5 + random.next_f64() / 2.0);
        self.next_max = (self.next_max * 2).min(self.max);
        delay
    }
}
