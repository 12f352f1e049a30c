//! The node's clock.

use std::time::Duration;
use tokio::time::Instant;

/// The node's clock: the Unix time of its start, advanced by the monotonic clock. So a backend's `since_ms` and the
/// times of events are on one scale, which never runs backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Duration,
    #[cfg(feature = "faults")]
    fault: faults::Fault,
}

impl Clock {
    /// A clock that starts at the present time of day.
    pub fn start() -> Self {
        let system = || {
            std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default()
        };
        let unix = crate::simulation::current().map_or_else(system, |machine| machine.unix_time());
        Clock {
            started: Instant::now(),
            unix,
            #[cfg(feature = "faults")]
            fault: faults::Fault::from_environment(),
        }
    }

    /// The time since 1970.
    pub fn now(self) -> Duration {
        self.unix + self.shown(self.started.elapsed())
    }

    /// The moment at which [`Clock::now`] is `at`.
    pub fn instant(self, at: Duration) -> Instant {
        self.started + self.true_time(at.saturating_sub(self.unix))
    }

    #[cfg(not(feature = "faults"))]
    fn shown(self, elapsed: Duration) -> Duration {
        elapsed
    }

    #[cfg(not(feature = "faults"))]
    fn true_time(self, shown: Duration) -> Duration {
        shown
    }

    #[cfg(feature = "faults")]
    fn shown(self, elapsed: Duration) -> Duration {
        self.fault.shown(elapsed)
    }

    #[cfg(feature = "faults")]
    fn true_time(self, shown: Duration) -> Duration {
        self.fault.elapsed(shown)
    }
}

/// Injected fault: a clock that runs wrong.
#[cfg(feature = "faults")]
mod faults {
    use std::time::Duration;

    /// Runs at another rate, and jumps ahead once.
    #[derive(Clone, Copy)]
    pub(super) struct Fault {
        rate: f64,
        jump: Duration,
        /// When it jumps, in true time since the start.
        jump_at: Duration,
    }

    impl Fault {
        /// Reads `SILLWARD_FAULT_CLOCK_RATE` (1 is right) and `SILLWARD_FAULT_CLOCK_JUMP` (`MS@MS`: how far, and when since
        /// the start). A value that is no number is ignored.
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

        /// What the clock shows when so much time has passed.
        pub(super) fn shown(self, elapsed: Duration) -> Duration {
            let jumped = if !self.jump.is_zero() && elapsed >= self.jump_at {
                self.jump
            } else {
                Duration::ZERO
            };
            elapsed.mul_f64(self.rate) + jumped
        }

        /// How much time has passed when the clock shows that.
        pub(super) fn elapsed(self, shown: Duration) -> Duration {
            let before = self.jump_at.mul_f64(self.rate);
            if self.jump.is_zero() || shown <= before {
                return shown.div_f64(self.rate);
            }
            // A time within the jump is shown at the moment of the jump.
            self.jump_at
                .max(shown.saturating_sub(self.jump).div_f64(self.rate))
        }
    }
}
