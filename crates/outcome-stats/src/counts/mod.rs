//! What is counted: attempts by backend and class, and clients' calls by class.

mod aggregate;
#[cfg(test)]
mod tests;

use crate::histogram::LatencyHistogram;
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A backend, identified by a number that is the same at every node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);

impl BackendId {
    /// Stands for all backends that did not fit into a report.
    pub const OTHERS: BackendId = BackendId(0);

    /// Folds the 64-bit backend number of the node into 32 bits, and keeps 0 for [`BackendId::OTHERS`].
    pub fn of(id: u64) -> Self {
        BackendId(((id ^ (id >> 32)) as u32).max(1))
    }
}

/// A class, identified by a hash of its name, because nodes may list their classes in different orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u32);

impl ClassId {
    /// The class of this name.
    pub fn of(name: &str) -> Self {
        let hash = xxh3_64(name.as_bytes());
        ClassId((hash ^ (hash >> 32)) as u32)
    }
}

/// A class at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendClass {
    /// The backend.
    pub backend: BackendId,
    /// The class.
    pub class: ClassId,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served within the latency objective of its class.
    InTime,
    /// Served after the latency objective, or timed out.
    Late,
    /// Rejected by the backend.
    Rejected,
    /// Anything else.
    Failed,
}

/// Attempts of a class at a backend.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Attempts sent.
    pub sent: u32,
    /// Attempts that ended as [`AttemptOutcome::InTime`].
    pub in_time: u32,
    /// Attempts that ended as [`AttemptOutcome::Late`].
    pub late: u32,
    /// Attempts that ended as [`AttemptOutcome::Rejected`].
    pub rejected: u32,
    /// Attempts that ended as [`AttemptOutcome::Failed`].
    pub failed: u32,
    /// Expected work of the attempts as stated by the clients, in milliseconds.
    pub work_ms: u32,
    /// Health checks sent.
    pub health_checks: u32,
    /// Latencies of the served attempts.
    pub latencies: LatencyHistogram,
}

impl AttemptCounts {
    /// Adds other counts.
    pub fn merge(&mut self, other: &AttemptCounts) {
        add(&mut self.sent, other.sent);
        add(&mut self.in_time, other.in_time);
        add(&mut self.late, other.late);
        add(&mut self.rejected, other.rejected);
        add(&mut self.failed, other.failed);
        add(&mut self.work_ms, other.work_ms);
        add(&mut self.health_checks, other.health_checks);
        self.latencies.merge(&other.latencies);
    }

    /// Attempts that have ended.
    pub fn ended(&self) -> u64 {
        let outcomes = [self.in_time, self.late, self.rejected, self.failed];
        outcomes.iter().map(|count| u64::from(*count)).sum()
    }
}

/// Clients' calls of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Admitted calls that are not client retries.
    pub first: u32,
    /// Admitted calls that are client retries.
    pub retries: u32,
    /// Calls that the node rejected.
    pub rejected: u32,
}

impl CallCounts {
    fn merge(&mut self, other: &CallCounts) {
        add(&mut self.first, other.first);
        add(&mut self.retries, other.retries);
        add(&mut self.rejected, other.rejected);
    }
}

fn add(count: &mut u32, more: u32) {
    *count = count.saturating_add(more);
}

/// All counts of a time span.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts, by backend and class.
    pub attempts: BTreeMap<BackendClass, AttemptCounts>,
    /// Calls, by class.
    pub calls: BTreeMap<ClassId, CallCounts>,
}

impl Counts {
    /// Adds other counts. The sum does not depend on order or grouping.
    pub fn merge(&mut self, other: &Counts) {
        for (backend_class, attempts) in &other.attempts {
            self.attempts
                .entry(*backend_class)
                .or_default()
                .merge(attempts);
        }
        for (class, calls) in &other.calls {
            self.calls.entry(*class).or_default().merge(calls);
        }
    }

    /// The number of admitted calls, retries included.
    pub fn total_calls(&self) -> u64 {
        self.calls
            .values()
            .map(|calls| u64::from(calls.first) + u64::from(calls.retries))
            .sum()
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty() && self.calls.is_empty()
    }

    /// Counts an admitted call.
    pub fn record_call(&mut self, class: ClassId, is_retry: bool) {
        let calls = self.calls.entry(class).or_default();
        if is_retry {
            add(&mut calls.retries, 1);
        } else {
            add(&mut calls.first, 1);
        }
    }

    /// Counts a call that the node rejected.
    pub fn record_rejection(&mut self, class: ClassId) {
        add(&mut self.calls.entry(class).or_default().rejected, 1);
    }

    /// Counts an attempt that was sent, with its expected work.
    pub fn record_attempt(&mut self, backend_class: BackendClass, work: Duration) {
        let attempts = self.attempts.entry(backend_class).or_default();
        add(&mut attempts.sent, 1);
        let work_ms = u32::try_from(work.as_millis()).unwrap_or(u32::MAX);
        add(&mut attempts.work_ms, work_ms);
    }

    /// Counts the end of an attempt, with its latency if it was served.
    pub fn record_outcome(
        &mut self,
        backend_class: BackendClass,
        outcome: AttemptOutcome,
        latency: Option<Duration>,
    ) {
        let attempts = self.attempts.entry(backend_class).or_default();
        let count = match outcome {
            AttemptOutcome::InTime => &mut attempts.in_time,
            AttemptOutcome::Late => &mut attempts.late,
            AttemptOutcome::Rejected => &mut attempts.rejected,
            AttemptOutcome::Failed => &mut attempts.failed,
        };
        add(count, 1);
        if let Some(latency) = latency {
            attempts.latencies.record(latency);
        }
    }

    /// Counts a health check that was sent.
    pub fn record_health_check(&mut self, backend: BackendId) {
        let backend_class = BackendClass {
            backend,
            class: ClassId(0),
        };
        let attempts = self.attempts.entry(backend_class).or_default();
        add(&mut attempts.health_checks, 1);
    }
}
