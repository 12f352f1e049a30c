//! Random choices from a seed.

use std::time::Duration;

/// SplitMix64: the same numbers on every machine.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }

    pub fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number below `bound`, which is at least 1.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.number() % bound as u64) as usize
    }

    /// Whether something happens that happens so often in a hundred.
    pub fn percent(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }

    /// A time of so many milliseconds, the first included and the last not.
    pub fn millis(&mut self, range: std::ops::Range<usize>) -> Duration {
        Duration::from_millis((range.start + self.below(range.end - range.start)) as u64)
    }
}
