//! One log of versions among the voters, and the rights of all nodes to act on them. No I/O and no clock: events with times
//! go in, actions come out.
//!
//! [`voter`] holds the log, on a consensus engine from the registry, and grants rights; [`node`] is every node's side: it
//! asks, learns, and knows what it may act on. [`rights`] is what both promise each other, which no engine gives.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod kept;
pub mod node;
pub mod rights;
pub mod voter;
pub mod words;

use std::time::Duration;

/// Mistakes that the checks must find. What ships has none: it can't be told any.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Plant {
    /// A right counts from when the answer came.
    FromArrival,
    /// A voter answers before its disk has what it says.
    NoSync,
    /// A voter consents without waiting for the rights that it gave.
    SkipWait,
    /// A voter that was restarted does not wait for the rights that it may have given.
    ForgetRight,
}

/// Times of an agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// W: no two nodes act on contradicting values for longer. A right lasts half of it.
    pub bound: Duration,
    /// Between two askings of a node.
    pub ask: Duration,
    /// How many parts in a thousand two clocks may go apart.
    pub drift: u32,
    /// The most rights that a voter has given at once, in the sense of nodes that have one.
    pub most: usize,
    /// A mistake.
    pub plant: Option<Plant>,
}

impl Default for Terms {
    fn default() -> Self {
        Terms::of(Duration::from_secs(2))
    }
}

impl Terms {
    /// For a W.
    pub fn of(bound: Duration) -> Self {
        Terms {
            bound,
            ask: bound / 6,
            drift: 10,
            most: 4096,
            plant: None,
        }
    }

    /// How long a node acts on what was confirmed, from when it asked.
    pub fn right(&self) -> Duration {
        let whole = self.bound / 2;
        whole - whole * self.drift / 1000
    }

    /// How long a voter waits for a right that it gave, from when it was asked.
    pub fn hold(&self) -> Duration {
        let whole = self.bound / 2;
        whole + whole * self.drift / 1000
    }

    fn planted(&self, plant: Plant) -> bool {
        self.plant == Some(plant)
    }
}

/// How many of so many are more than half.
pub fn majority(of: usize) -> usize {
    of / 2 + 1
}
