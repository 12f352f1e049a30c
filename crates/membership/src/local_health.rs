//! Lifeguard's local health: a score of how slow this node itself is, and an estimate of how long acks take. Both
//! determine how long the node waits before it suspects others.

use std::time::Duration;

/// The highest score; timeouts are then nine times as long as those of a healthy node.
const MAX_SCORE: u32 = 8;
/// The longest ack timeout of a healthy node, as a multiple of the minimum.
const MAX_TIMEOUT_FACTOR: u32 = 10;

/// The local health score, and the round-trip time estimated as in TCP (RFC 6298).
#[derive(Clone, Debug)]
pub struct LocalHealth {
    score: u32,
    smoothed: Option<Duration>,
    variation: Duration,
    min_timeout: Duration,
}

impl LocalHealth {
    /// Creates the local health of a healthy node; `min_timeout` is the shortest ack timeout.
    pub fn new(min_timeout: Duration) -> Self {
        LocalHealth {
            score: 0,
            smoothed: None,
            variation: Duration::ZERO,
            min_timeout,
        }
    }

    /// Raises the score by `points`, because this node may be slow or partitioned: it got no nacks for a failed probe,
    /// was suspected by another member, or had a late timer.
    pub fn degrade(&mut self, points: u32) {
        self.score = (self.score + points).min(MAX_SCORE);
    }

    /// Lowers the score by one, because a probe got its ack in time.
    pub fn recover(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The score, from 0 for a healthy node to 8.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// Updates the estimate with a measured round trip.
    pub fn record_round_trip(&mut self, round_trip: Duration) {
        match self.smoothed {
            None => {
                self.smoothed = Some(round_trip);
                self.variation = round_trip / 2;
            }
            Some(smoothed) => {
                self.variation = (self.variation * 3 + smoothed.abs_diff(round_trip)) / 4;
                self.smoothed = Some((smoothed * 7 + round_trip) / 8);
            }
        }
    }

    /// The smoothed round-trip time; `None` before the first ack.
    pub fn round_trip(&self) -> Option<Duration> {
        self.smoothed
    }

    /// How long a healthy node waits for an ack: between the minimum and ten times the minimum.
    pub fn base_ack_timeout(&self) -> Duration {
        let estimated = self
            .smoothed
            .map_or(self.min_timeout, |smoothed| smoothed + self.variation * 4);
        estimated.clamp(self.min_timeout, self.min_timeout * MAX_TIMEOUT_FACTOR)
    }

    /// How long this node waits for an ack with its current score.
    pub fn ack_timeout(&self) -> Duration {
        self.base_ack_timeout() * (self.score + 1)
    }
}

#[cfg(test)]
mod tests;
