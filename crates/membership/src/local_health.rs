//! How well this node itself is doing, and how long answers take: both say how long to wait before accusing anybody.

use std::time::Duration;

/// The highest score: waits are at most nine times as long.
const WORST: u32 = 8;

/// Lifeguard's local health, and the time of round trips as TCP estimates it (RFC 6298).
#[derive(Clone, Debug)]
pub struct LocalHealth {
    score: u32,
    smoothed: Option<Duration>,
    variation: Duration,
    min_timeout: Duration,
}

impl LocalHealth {
    /// `min_timeout` is the shortest time that an answer is waited for.
    pub fn new(min_timeout: Duration) -> Self {
        LocalHealth {
            score: 0,
            smoothed: None,
            variation: Duration::ZERO,
            min_timeout,
        }
    }

    /// Something shows that this node may be slow, or not hear: an answer missing that others had, a suspicion of itself, a
    /// turn that came late.
    pub fn degrade(&mut self, by: u32) {
        self.score = (self.score + by).min(WORST);
    }

    /// A probe was answered in time.
    pub fn recover(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// 0 if all is well, 8 at worst.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// An answer took so long.
    pub fn record_round_trip(&mut self, trip: Duration) {
        match self.smoothed {
            None => {
                self.smoothed = Some(trip);
                self.variation = trip / 2;
            }
            Some(smoothed) => {
                self.variation = (self.variation * 3 + smoothed.abs_diff(trip)) / 4;
                self.smoothed = Some((smoothed * 7 + trip) / 8);
            }
        }
    }

    /// The smoothed round trip; `None` before the first answer.
    pub fn round_trip(&self) -> Option<Duration> {
        self.smoothed
    }

    /// How long an answer may take for a node in good health: never over ten times the min_timeout.
    pub fn base_ack_timeout(&self) -> Duration {
        let estimated = self
            .smoothed
            .map_or(self.min_timeout, |smoothed| smoothed + self.variation * 4);
        estimated.clamp(self.min_timeout, self.min_timeout * 10)
    }

    /// How long an answer is waited for by this node as it is.
    pub fn ack_timeout(&self) -> Duration {
        self.base_ack_timeout() * (self.score + 1)
    }
}
