//! The only access to the operating system: time, sockets, signals, files, tasks and random numbers.
//!
//! All other packages use only these modules, so that a simulation with a virtual clock and a simulated network
//! ([`simulation::SimulatedMachine`]) can replace the operating system. `tests/seam.rs` of the root package fails if
//! other code bypasses them.
#![deny(unsafe_code)]

mod clock;
pub mod files;
pub mod net;
pub mod random;
pub mod simulation;
mod stream;
pub mod task;
pub mod unix_socket;

pub use clock::Clock;
pub use stream::{Stream, StreamHandle};

/// An environment variable by which tests inject a fault. Never part of release builds.
#[cfg(feature = "faults")]
pub fn fault_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Monotonic time and timers.
pub mod time {
    pub use tokio::time::{Instant, Sleep, sleep, sleep_until, timeout, timeout_at};
}

/// Signals that the process receives.
pub mod signal {
    pub use tokio::signal::unix::{Signal, SignalKind, signal};
}
