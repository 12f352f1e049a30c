//! The seam to the world outside: time, sockets, signals and random numbers come to every other package
//! through here and from nowhere else, so that a virtual clock and a simulated network can be put beneath.
//! `tests/seam.rs` of the root package fails when code reaches past it.
#![deny(unsafe_code)]
#![warn(missing_docs)]

mod clock;
pub mod files;
pub mod local;
pub mod net;
mod stream;
pub mod task;
pub mod world;

pub use clock::Clock;
pub use stream::{Handle, Stream};

/// What the environment tells of a fault. Not there in what ships.
#[cfg(feature = "faults")]
pub fn told(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Monotonic time, and waiting for it.
pub mod time {
    pub use tokio::time::{Instant, Sleep, sleep, sleep_until, timeout, timeout_at};
}

/// Signals that the process is sent.
pub mod signal {
    pub use tokio::signal::unix::{Signal, SignalKind, signal};
}

/// Random numbers, from a seed and the same on every machine.
pub mod random {
    use rand_pcg::Pcg32;
    use rand_pcg::rand_core::{RngCore, SeedableRng};

    /// A number that differs from process to process, as far as the system's own generator can tell.
    ///
    /// # Errors
    /// The system has none to give.
    pub fn entropy() -> std::io::Result<u64> {
        if let Some(world) = crate::world::current() {
            return Ok(world.entropy());
        }
        getrandom::u64().map_err(|e| std::io::Error::other(e.to_string()))
    }

    /// A generator. Not for secrets.
    pub struct Random(Pcg32);

    impl Random {
        /// A generator whose numbers follow from `seed` alone.
        pub fn seeded(seed: u64) -> Self {
            Random(Pcg32::seed_from_u64(seed))
        }

        /// The next number, over the whole range.
        pub fn number(&mut self) -> u32 {
            self.0.next_u32()
        }

        /// The next fraction: 0 or more, less than 1.
        pub fn fraction(&mut self) -> f64 {
            f64::from(self.0.next_u32()) / 2f64.powi(32)
        }
    }
}
