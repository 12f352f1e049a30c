//! The node's clock.

use std::time::Duration;
use tokio::time::Instant;

/// The node's clock: the Unix time of its start, advanced by the monotonic clock. Thus a backend's `since_ms` and the
/// times of events share one time scale, which never goes backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_at_start: Duration,
    #[cfg(feature = "faults")]
    fault: faults::Fault,
}

impl Clock {
    /// A clock that starts at the current system time.
    pub fn start() -> Self {
        let system = || {
            std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default()
        };
        let unix_at_start =
            crate::simulation::current().map_or_else(system, |machine| machine.unix_time());
        Clock {
            started: Instant::now(),
            unix_at_start,
            #[cfg(feature = "faults")]
            fault: faults::Fault::from_environment(),
        }
    }

    /// The time since the Unix epoch.
    pub fn now(self) -> Duration {
        self.unix_at_start + self.reading_at(self.started.elapsed())
    }

    /// The moment at which [`Clock::now`] is `at`.
    pub fn instant(self, at: Duration) -> Instant {
        self.started + self.elapsed_at(at.saturating_sub(self.unix_at_start))
    }

    #[cfg(not(feature = "faults"))]
    fn reading_at(self, elapsed: Duration) -> Duration {
        elapsed
    }

    #[cfg(not(feature = "faults"))]
    fn elapsed_at(self, reading: Duration) -> Duration {
        reading
    }

    #[cfg(feature = "faults")]
    fn reading_at(self, elapsed: Duration) -> Duration {
        self.fault.reading_at(elapsed)
    }

    #[cfg(feature = "faults")]
    fn elapsed_at(self, reading: Duration) -> Duration {
        self.fault.elapsed_at(reading)
    }
}

/// Injected fault: a clock with a wrong rate, which may jump.
#[cfg(feature = "faults")]
mod faults {
    use std::time::Duration;

    /// A clock that runs at another rate, and jumps ahead once.
    #[derive(Clone, Copy)]
    pub(super) struct Fault {
        rate: f64,
        jump: Duration,
        /// The time of the jump, in true time since the start.
        jump_at: Duration,
    }

    impl Fault {
        /// Reads `SILLWARD_FAULT_CLOCK_RATE` (1 is the true rate) and `SILLWARD_FAULT_CLOCK_JUMP` (`MS@MS`: the distance,
        /// and the time since the start). Malformed values are ignored.
        pub(super) fn from_environment() -> Self {
            let variable = |name| std::env::var(name).ok();
            let rate = variable("SILLWARD_FAULT_CLOCK_RATE").and_then(|rate| rate.parse().ok());
            let jump = variable("SILLWARD_FAULT_CLOCK_JUMP").and_then(|jump| {
                let (distance, at) = jump.split_once('@')?;
                Some((
                    Duration::from_millis(distance.parse().ok()?),
                    Duration::from_millis(at.parse().ok()?),
                ))
            });
            let (jump, jump_at) = jump.unwrap_or_default();
            Fault {
                rate: rate
                    .filter(|rate| (0.1..10.0).contains(rate))
                    .unwrap_or(1.0),
                jump,
                jump_at,
            }
        }

        /// The clock's reading after `elapsed` of true time, since the start.
        pub(super) fn reading_at(self, elapsed: Duration) -> Duration {
            let jumped = if !self.jump.is_zero() && elapsed >= self.jump_at {
                self.jump
            } else {
                Duration::ZERO
            };
            elapsed.mul_f64(self.rate) + jumped
        }

        /// The true time that has elapsed at a reading, since the start.
        pub(super) fn elapsed_at(self, reading: Duration) -> Duration {
            let before_jump = self.jump_at.mul_f64(self.rate);
            if self.jump.is_zero() || reading <= before_jump {
                return reading.div_f64(self.rate);
            }
            // A reading within the jump is reached at the moment of the jump.
            self.jump_at
                .max(reading.saturating_sub(self.jump).div_f64(self.rate))
        }
    }
}
