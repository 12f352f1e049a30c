//! Token bucket rate limiter.

use std::time::Duration;

/// Limits events to an average rate and a maximum burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
    /// Refill rate in tokens per second.
    rate: f64,
    /// Capacity in tokens.
    burst: f64,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens that refills at `rate` tokens per second.
    pub(crate) fn new(rate: f64, burst: f64, now: Duration) -> Self {
        TokenBucket {
            tokens: burst,
            refilled_at: now,
            rate,
            burst,
        }
    }

    /// Takes a token; returns false if none is available.
    pub(crate) fn try_take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}
