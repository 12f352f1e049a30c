//! A token bucket.

use std::time::Duration;

/// Limits events to a rate with bursts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
    /// Tokens a second.
    rate: f64,
    /// The most tokens.
    burst: f64,
}

impl TokenBucket {
    /// A full bucket of `burst` tokens that refills by `rate` a second.
    pub(crate) fn new(rate: f64, burst: f64, now: Duration) -> Self {
        TokenBucket {
            tokens: burst,
            refilled_at: now,
            rate,
            burst,
        }
    }

    /// Takes a token; false if there is none.
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
