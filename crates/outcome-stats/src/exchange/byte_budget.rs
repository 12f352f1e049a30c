//! A token bucket for bytes.

use std::time::Duration;

/// A token bucket whose burst is one second's worth of bytes.
#[derive(Debug)]
pub(super) struct ByteBudget {
    bytes_per_second: f64,
    available: f64,
    updated_at: Duration,
}

impl ByteBudget {
    pub(super) fn new(bytes_per_second: f64, now: Duration) -> Self {
        ByteBudget {
            bytes_per_second,
            available: bytes_per_second,
            updated_at: now,
        }
    }

    /// The bytes that may be spent now; negative after overspending.
    pub(super) fn available(&mut self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.available =
            (self.available + self.bytes_per_second * elapsed).min(self.bytes_per_second);
        self.updated_at = now;
        self.available
    }

    pub(super) fn spend(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}
