//! The balancer's seeded random number generator: the same seed and events give the same decisions.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};

/// A source of uniform random numbers.
#[derive(Debug)]
pub(super) struct RandomSource(Pcg32);

impl RandomSource {
    pub(super) fn new(seed: u64) -> Self {
        RandomSource(Pcg32::seed_from_u64(seed))
    }

    /// A random number in [0, 1).
    pub(super) fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 2f64.powi(32)
    }
}

/// Picks the item that a draw in [0, 1) selects; `None` if the list is empty.
pub(super) fn pick<T: Copy>(items: &[T], draw: f64) -> Option<T> {
    items.get((draw * items.len() as f64) as usize).copied()
}
