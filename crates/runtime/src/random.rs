//! Random numbers: from a seed, the same on every machine, or from the system.

use crate::simulation;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::io;

/// A number that differs from process to process, from the system's generator.
///
/// # Errors
/// The system's generator has failed.
pub fn entropy() -> io::Result<u64> {
    if let Some(machine) = simulation::current() {
        return Ok(machine.entropy());
    }
    getrandom::u64().map_err(|error| io::Error::other(error.to_string()))
}

/// A seeded generator. Not for secrets.
pub struct Random(Pcg32);

impl Random {
    /// A generator whose numbers follow from `seed` alone.
    pub fn seeded(seed: u64) -> Self {
        Random(Pcg32::seed_from_u64(seed))
    }

    /// The next number, uniform over all numbers of 32 bits.
    pub fn next_u32(&mut self) -> u32 {
        self.0.next_u32()
    }

    /// The next fraction, uniform from 0 (included) to 1 (excluded).
    pub fn next_f64(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 2f64.powi(32)
    }
}
