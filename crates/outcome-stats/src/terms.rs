//! Times and bounds, and what several parts name.

use sillward_membership::{Incarnation, Name};
use std::time::Duration;

/// A mistake, planted by the build that has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Words count the same however old they are.
    StaleAsFresh,
    /// A node's words of several lives are added up as if they were of one time.
    DoubleCount,
    /// What a node tells counts whole, whatever the others say.
    BelieveLiar,
}

/// Times and bounds.
#[derive(Clone, Debug)]
pub struct Terms {
    /// How long a window is.
    pub window: Duration,
    /// Windows in a word.
    pub keep: usize,
    /// The most bytes a second that a node sends, and that it asks for.
    pub bytes_a_second: f64,
    /// Between two asks at the least.
    pub pause: Duration,
    /// Others that are asked in turn.
    pub neighbours: usize,
    /// A word counts for nothing once it is so old.
    pub oldest: Duration,
    /// The most members.
    pub most: usize,
    /// A planted mistake.
    pub plant: Option<Plant>,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            window: Duration::from_secs(1),
            keep: 5,
            bytes_a_second: 10_000.0,
            pause: Duration::from_millis(150),
            neighbours: 4,
            oldest: Duration::from_secs(60),
            most: 2048,
            plant: None,
        }
    }
}

/// Whose a sum is: of how many groups, which one, by whom.
pub(crate) type Sum = (u32, u32, Name, Incarnation);
