//! The balancer's random numbers: a seeded generator, so that equal seeds and events give equal decisions.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};

/// A source of numbers from 0 up to 1.
#[derive(Debug)]
pub(super) struct RandomSource(Pcg32);

impl RandomSource {
    pub(super) fn new(seed: u64) -> Self {
        RandomSource(Pcg32::seed_from_u64(seed))
    }

    /// A number from 0 up to 1, 1 excluded.
    pub(super) fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 2f64.powi(32)
    }
}

/// The item of a list on which a draw from 0 up to 1 falls; `None` if the list is empty.
pub(super) fn pick<T: Copy>(items: &[T], draw: f64) -> Option<T> {
    items.get((draw * items.len() as f64) as usize).copied()
}
