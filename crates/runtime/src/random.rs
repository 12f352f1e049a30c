//! Random numbers: from a seed, reproducible on every machine, or from the operating system.

use crate::simulation;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::io;

/// A number that differs from process to process, from the operating system's generator.
///
/// # Errors
/// The operating system's generator has failed.
pub fn entropy() -> io::Result<u64> {
    if let Some(machine) = simulation::current() {
        return Ok(machine.entropy());
    }
    getrandom::u64().map_err(|error| io::Error::other(error.to_string()))
}

/// A seeded generator. It is not cryptographically secure.
pub struct Random(Pcg32);

impl Random {
    /// A generator whose numbers depend only on `seed`.
    pub fn seeded(seed: u64) -> Self {
        Random(Pcg32::seed_from_u64(seed))
    }

    /// The next number, uniformly distributed over all values.
    pub fn next_u32(&mut self) -> u32 {
        self.0.next_u32()
    }

    /// The next number, uniformly distributed from 0 (inclusive) to 1 (exclusive).
    pub fn next_f64(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 2f64.powi(32)
    }
}
