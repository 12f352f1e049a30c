//! Seeded random numbers. The order of draws is part of the behaviour, so that a run can be reproduced from its seed.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// A seeded random number generator.
pub(crate) struct Random(Pcg32);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random(Pcg32::seed_from_u64(seed))
    }

    pub(crate) fn next_u32(&mut self) -> u32 {
        self.0.next_u32()
    }

    /// Draws a number below `bound`, which must not be 0.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        ((u64::from(self.0.next_u32()) * bound as u64) >> 32) as usize
    }

    /// Draws a duration between half and one and a half times `time`.
    pub(crate) fn jitter(&mut self, time: Duration) -> Duration {
        time / 2 + time * (self.0.next_u32() >> 16) / 65536
    }
}
