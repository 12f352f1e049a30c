//! The schedule of a graceful shutdown.

use std::time::Duration;

/// The time for writing the last responses before the process exits.
const RESPONSE_WRITE_TIME: Duration = Duration::from_millis(50);
/// The time kept for a request's response is at most the longest request duration divided by this. Otherwise a deployment
/// with long deadlines would reject requests for most of its shutdown.
const RESERVED_TIME_DIVISOR: u32 = 4;

/// Until when a process that shuts down accepts requests, by when each has its response, and when the process exits.
///
/// Every request that was accepted has its final response before the process exits: a request is accepted only while there is
/// time for its response, and none is without the start of one beyond [`ShutdownSchedule::responses_by`]. The schedule does not
/// limit responses that have begun: the process exits once they have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    max_request_duration: Duration,
    responses_by: Duration,
    exits_by: Duration,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that starts at `now`. Connections may carry new requests for `deregistration_delay`, and no
    /// request is meant to take longer than `max_request_duration`.
    pub fn new(
        now: Duration,
        deregistration_delay: Duration,
        max_request_duration: Duration,
    ) -> Self {
        let exits_by = now + deregistration_delay + max_request_duration;
        ShutdownSchedule {
            max_request_duration,
            responses_by: exits_by.saturating_sub(RESPONSE_WRITE_TIME),
            exits_by,
        }
    }

    /// Until when a request is accepted, counted at its last byte, whose response is wanted within `wanted_within` of that.
    pub fn accepts_until(&self, wanted_within: Duration) -> Duration {
        let reserved = wanted_within.min(self.max_request_duration / RESERVED_TIME_DIVISOR);
        self.responses_by.saturating_sub(reserved)
    }

    /// By when every open request has its final response, or the start of it.
    pub fn responses_by(&self) -> Duration {
        self.responses_by
    }

    /// When the process exits unless a response has begun and not ended. It exits earlier if nothing is open.
    pub fn exits_by(&self) -> Duration {
        self.exits_by
    }
}
