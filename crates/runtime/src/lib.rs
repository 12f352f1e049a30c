//! The only access to the outside: time, sockets, signals, files, tasks and random numbers.
//!
//! Every other package uses these modules and nothing else, so that a virtual clock and a simulated network
//! ([`simulation::SimulatedMachine`]) can take the place of the system. `tests/seam.rs` of the root package fails when code reaches
//! past them.
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

/// A variable of the environment by which tests inject a fault. Not in what ships.
#[cfg(feature = "faults")]
pub fn fault_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Monotonic time, and waiting for it.
pub mod time {
    pub use tokio::time::{Instant, Sleep, sleep, sleep_until, timeout, timeout_at};
}

/// Signals that the process receives.
pub mod signal {
    pub use tokio::signal::unix::{Signal, SignalKind, signal};
}
