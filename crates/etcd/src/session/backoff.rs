//! The backoff between attempts to connect: exponential, with jitter.

use sillward_runtime::random::Random;
use std::time::Duration;

pub(super) struct Backoff {
    initial: Duration,
    max: Duration,
    /// The longest that the next delay may be.
    next: Duration,
}

impl Backoff {
    pub(super) fn new(initial: Duration, max: Duration) -> Self {
        Backoff {
            initial,
            max,
            next: initial,
        }
    }

    /// An attempt succeeded: the next delay is short again.
    pub(super) fn reset(&mut self) {
        self.next = self.initial;
    }

    /// The delay before the next attempt: between half and all of a time that doubles up to the maximum.
    pub(super) fn next_delay(&mut self, random: &mut Random) -> Duration {
        let delay = self.next.mul_f64(0.5 + random.next_f64() / 2.0);
        self.next = (self.next * 2).min(self.max);
        delay
    }
}
