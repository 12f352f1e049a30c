use std::time::Duration;
use tokio::time::Instant;

/// The one clock: Unix time as it was at the start, carried on by the monotonic clock, so that a backend's
/// `since_ms` and the times of events are on one scale that never runs backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Duration,
    #[cfg(feature = "faults")]
    fault: faults::Fault,
}

impl Clock {
    /// A clock that takes the time of day as it is now.
    pub fn start() -> Self {
        let system = || {
            std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default()
        };
        let unix = crate::world::current().map_or_else(system, |world| world.unix());
        Clock {
            started: Instant::now(),
            unix,
            #[cfg(feature = "faults")]
            fault: faults::Fault::told(),
        }
    }

    /// The time since 1970.
    pub fn now(self) -> Duration {
        self.unix + self.run(self.started.elapsed())
    }

    /// The moment at which [`Clock::now`] is `at`.
    pub fn instant(self, at: Duration) -> Instant {
        self.started + self.true_time(at.saturating_sub(self.unix))
    }

    #[cfg(not(feature = "faults"))]
    fn run(self, elapsed: Duration) -> Duration {
        elapsed
    }

    #[cfg(not(feature = "faults"))]
    fn true_time(self, shown: Duration) -> Duration {
        shown
    }

    #[cfg(feature = "faults")]
    fn run(self, elapsed: Duration) -> Duration {
        self.fault.shown(elapsed)
    }

    #[cfg(feature = "faults")]
    fn true_time(self, shown: Duration) -> Duration {
        self.fault.elapsed(shown)
    }
}

/// A clock that runs wrong.
#[cfg(feature = "faults")]
mod faults {
    use std::time::Duration;

    /// Runs at another rate, and jumps ahead once.
    #[derive(Clone, Copy)]
    pub struct Fault {
        rate: f64,
        jump: Duration,
        at: Duration,
    }

    impl Fault {
        /// As the environment tells: `SILLWARD_FAULT_CLOCK_RATE` (1 is right), `SILLWARD_FAULT_CLOCK_JUMP` (`MS@MS`: so far,
        /// when so much time has passed since the start). What is no number is taken for none.
        pub fn told() -> Self {
            let told = |name| std::env::var(name).ok();
            let rate = told("SILLWARD_FAULT_CLOCK_RATE").and_then(|rate| rate.parse().ok());
            let jump = told("SILLWARD_FAULT_CLOCK_JUMP").and_then(|jump| {
                let (far, at) = jump.split_once('@')?;
                Some((
                    Duration::from_millis(far.parse().ok()?),
                    Duration::from_millis(at.parse().ok()?),
                ))
            });
            let (jump, at) = jump.unwrap_or_default();
            Fault {
                rate: rate
                    .filter(|rate| (0.1..10.0).contains(rate))
                    .unwrap_or(1.0),
                jump,
                at,
            }
        }

        pub fn shown(self, elapsed: Duration) -> Duration {
            let jumped = if !self.jump.is_zero() && elapsed >= self.at {
                self.jump
            } else {
                Duration::ZERO
            };
            elapsed.mul_f64(self.rate) + jumped
        }

        pub fn elapsed(self, shown: Duration) -> Duration {
            let before = self.at.mul_f64(self.rate);
            if self.jump.is_zero() || shown <= before {
                return shown.div_f64(self.rate);
            }
            // Within what was jumped over nothing ever is: it is the moment of the jump.
            self.at
                .max(shown.saturating_sub(self.jump).div_f64(self.rate))
        }
    }
}
