//! Lifeguard's local health: how well this node itself is doing, and how long acks take. Both determine how long the node
//! waits before it suspects others.

use std::time::Duration;

/// The highest score: timeouts are at most nine times as long as for a healthy node.
const MAX_SCORE: u32 = 8;
/// The ack timeout of a healthy node is at most so many times its minimum.
const MAX_TIMEOUT_FACTOR: u32 = 10;

/// The local health score, and the round-trip time as TCP estimates it (RFC 6298).
#[derive(Clone, Debug)]
pub struct LocalHealth {
    score: u32,
    smoothed: Option<Duration>,
    variation: Duration,
    min_timeout: Duration,
}

impl LocalHealth {
    /// A healthy node's; `min_timeout` is the shortest time that an ack is waited for.
    pub fn new(min_timeout: Duration) -> Self {
        LocalHealth {
            score: 0,
            smoothed: None,
            variation: Duration::ZERO,
            min_timeout,
        }
    }

    /// Raises the score by `by`: this node may be slow or cut off, as a missed nack, a suspicion of itself or a late timer
    /// shows.
    pub fn degrade(&mut self, points: u32) {
        self.score = (self.score + points).min(MAX_SCORE);
    }

    /// Lowers the score by one: a probe was answered in time.
    pub fn recover(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The score: 0 for a healthy node, 8 at worst.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// Takes a measured round trip into the estimate.
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

    /// The smoothed round trip; `None` before the first ack.
    pub fn round_trip(&self) -> Option<Duration> {
        self.smoothed
    }

    /// How long a healthy node waits for an ack: the minimum to ten times the minimum.
    pub fn base_ack_timeout(&self) -> Duration {
        let estimated = self
            .smoothed
            .map_or(self.min_timeout, |smoothed| smoothed + self.variation * 4);
        estimated.clamp(self.min_timeout, self.min_timeout * MAX_TIMEOUT_FACTOR)
    }

    /// How long this node waits for an ack, given its score.
    pub fn ack_timeout(&self) -> Duration {
        self.base_ack_timeout() * (self.score + 1)
    }
}

#[cfg(test)]
mod tests;
