//! The timer queue for requests and for the decision module.

use sillward_balancer::RequestId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a timer. Timers that are due at the same time fire in the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerId {
    due: Duration,
    sequence: u64,
}

/// What a timer is for.
#[derive(Clone, Copy)]
pub(super) enum TimerKind {
    /// A timer of the decision module, with its token.
    Balancer(u64),
    /// The deadline of an attempt, with the number of the attempt.
    AttemptDeadline(RequestId, u32),
    /// The deadline of a request.
    RequestDeadline(RequestId),
}

impl TimerKind {
    /// The request that the timer belongs to. A token of the decision module is the number of its request, or matches no
    /// request.
    pub(super) fn request(self) -> RequestId {
        match self {
            TimerKind::Balancer(token) => RequestId(token),
            TimerKind::AttemptDeadline(id, _) | TimerKind::RequestDeadline(id) => id,
        }
    }
}

/// The pending timers, by due time.
#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeMap<TimerId, TimerKind>,
    last_sequence: u64,
}

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, due: Duration, kind: TimerKind) -> TimerId {
        self.last_sequence += 1;
        let id = TimerId {
            due,
            sequence: self.last_sequence,
        };
        self.pending.insert(id, kind);
        id
    }

    /// Cancels a timer if it is still pending.
    pub(super) fn cancel(&mut self, id: TimerId) {
        self.pending.remove(&id);
    }

    /// When the next timer is due.
    pub(super) fn next_due(&self) -> Option<Duration> {
        self.pending.first_key_value().map(|(id, _)| id.due)
    }

    /// Removes and returns the next timer that is due at `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<TimerKind> {
        let first = self.pending.first_entry()?;
        (first.key().due <= now).then(|| first.remove())
    }

    /// The number of pending timers.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}
