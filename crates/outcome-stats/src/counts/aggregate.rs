//! Counts scaled to another time span, and the median of several nodes' counts.

use super::{AttemptCounts, BackendClass, CallCounts, ClassId, Counts};
use crate::histogram::LatencyHistogram;
use std::collections::BTreeSet;

impl Counts {
    /// Multiplies all counts by a factor and rounds each to the nearest integer.
    pub(crate) fn scaled(&self, factor: f64) -> Counts {
        Counts {
            attempts: self
                .attempts
                .iter()
                .map(|(key, attempts)| (*key, scale_attempts(attempts, factor)))
                .collect(),
            calls: self
                .calls
                .iter()
                .map(|(class, calls)| (*class, scale_calls(calls, factor)))
                .collect(),
        }
    }

    /// The median of each count, the lower one of an even number. The latencies are those of the node with the median number
    /// of calls.
    pub(crate) fn median(all: &[&Counts]) -> Counts {
        if let [one] = all {
            return (*one).clone();
        }
        let mut by_calls: Vec<&Counts> = all.to_vec();
        by_calls.sort_by_key(|counts| counts.total_calls());
        let median_node = by_calls.get(by_calls.len().saturating_sub(1) / 2).copied();
        let keys: BTreeSet<BackendClass> = all
            .iter()
            .flat_map(|counts| counts.attempts.keys().copied())
            .collect();
        let classes: BTreeSet<ClassId> = all
            .iter()
            .flat_map(|counts| counts.calls.keys().copied())
            .collect();
        Counts {
            attempts: keys
                .into_iter()
                .map(|key| (key, median_attempts(all, median_node, key)))
                .collect(),
            calls: classes
                .into_iter()
                .map(|class| (class, median_calls(all, class)))
                .collect(),
        }
    }
}

fn scale(count: u32, factor: f64) -> u32 {
    let scaled = (f64::from(count) * factor).round();
    scaled.min(f64::from(u32::MAX)) as u32
}

fn scale_attempts(attempts: &AttemptCounts, factor: f64) -> AttemptCounts {
    let mut latencies = LatencyHistogram::default();
    for (bucket, count) in attempts.latencies.buckets() {
        latencies.add(*bucket, scale(*count, factor));
    }
    AttemptCounts {
        sent: scale(attempts.sent, factor),
        in_time: scale(attempts.in_time, factor),
        late: scale(attempts.late, factor),
        rejected: scale(attempts.rejected, factor),
        failed: scale(attempts.failed, factor),
        work_ms: scale(attempts.work_ms, factor),
        health_checks: scale(attempts.health_checks, factor),
        latencies,
    }
}

fn scale_calls(calls: &CallCounts, factor: f64) -> CallCounts {
    CallCounts {
        first: scale(calls.first, factor),
        retries: scale(calls.retries, factor),
        rejected: scale(calls.rejected, factor),
    }
}

/// The median of a field, the lower one of an even number.
fn median_of<T>(items: &[T], field: fn(&T) -> u32) -> u32 {
    let mut counts: Vec<u32> = items.iter().map(field).collect();
    counts.sort_unstable();
    counts[(counts.len() - 1) / 2]
}

fn median_attempts(
    all: &[&Counts],
    median_node: Option<&Counts>,
    key: BackendClass,
) -> AttemptCounts {
    let none = AttemptCounts::default();
    let attempts: Vec<&AttemptCounts> = all
        .iter()
        .map(|counts| counts.attempts.get(&key).unwrap_or(&none))
        .collect();
    let latencies = median_node
        .and_then(|counts| counts.attempts.get(&key))
        .map(|attempts| attempts.latencies.clone());
    AttemptCounts {
        sent: median_of(&attempts, |attempts| attempts.sent),
        in_time: median_of(&attempts, |attempts| attempts.in_time),
        late: median_of(&attempts, |attempts| attempts.late),
        rejected: median_of(&attempts, |attempts| attempts.rejected),
        failed: median_of(&attempts, |attempts| attempts.failed),
        work_ms: median_of(&attempts, |attempts| attempts.work_ms),
        health_checks: median_of(&attempts, |attempts| attempts.health_checks),
        latencies: latencies.unwrap_or_default(),
    }
}

fn median_calls(all: &[&Counts], class: ClassId) -> CallCounts {
    let calls: Vec<CallCounts> = all
        .iter()
        .map(|counts| counts.calls.get(&class).copied().unwrap_or_default())
        .collect();
    CallCounts {
        first: median_of(&calls, |calls| calls.first),
        retries: median_of(&calls, |calls| calls.retries),
        rejected: median_of(&calls, |calls| calls.rejected),
    }
}
