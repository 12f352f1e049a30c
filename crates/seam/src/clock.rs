use std::time::Duration;
use tokio::time::Instant;

/// The one clock: Unix time as it was at the start, carried on by the monotonic clock, so that a backend's
/// `since_ms` and the times of events are on one scale that never runs backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock that takes the time of day as it is now.
    pub fn start() -> Self {
        let system =
            || std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let unix = crate::world::current().map_or_else(system, |world| world.unix());
        Clock { started: Instant::now(), unix }
    }

    /// The time since 1970.
    pub fn now(self) -> Duration {
        self.unix + self.started.elapsed()
    }

    /// The moment at which [`Clock::now`] is `at`.
    pub fn instant(self, at: Duration) -> Instant {
        self.started + at.saturating_sub(self.unix)
    }
}
