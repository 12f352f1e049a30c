//! The incarnation of an endpoint that a report refers to: the process that ran at the endpoint's name between two
//! starts.

use std::time::Duration;

/// The largest difference between the clocks of two sources, or of a source and this node, that is tolerated: start
/// times that differ by no more may be those of one incarnation.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

/// What is known of the incarnation that a report refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incarnation {
    /// The report names the start time of the incarnation.
    Started {
        /// The start time, by the clock of the source.
        at: Duration,
        /// When the source named this start time first, by the clock of this node.
        first_named: Duration,
    },
    /// The report names no start time: it refers to the incarnation that was running when it was received, whose start
    /// time is unknown.
    RunningAt(Duration),
}

impl Incarnation {
    /// The incarnation that a report refers to which was received at `now`. `previous` is what the source reported
    /// before.
    pub(crate) fn of_report(
        started_at: Option<Duration>,
        now: Duration,
        previous: Option<Incarnation>,
    ) -> Self {
        let Some(at) = started_at else {
            return Incarnation::RunningAt(now);
        };
        let first_named = match previous {
            Some(Incarnation::Started {
                at: previous_start,
                first_named,
            }) if previous_start == at => first_named,
            _ => now,
        };
        Incarnation::Started { at, first_named }
    }

    /// Whether it is known that this incarnation ended before `other` started. An incarnation whose start time is
    /// unknown is not known to be earlier or later than one that started before the report on it was received.
    pub(crate) fn is_known_to_precede(self, other: Incarnation) -> bool {
        let Incarnation::Started {
            at: other_start,
            first_named,
        } = other
        else {
            return false;
        };
        match self {
            Incarnation::Started { at, .. } => other_start > at + MAX_CLOCK_SKEW,
            Incarnation::RunningAt(received) => {
                let was_reported_before = received < first_named;
                was_reported_before && other_start > received + MAX_CLOCK_SKEW
            }
        }
    }
}
