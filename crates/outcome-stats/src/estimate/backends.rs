//! Estimates of backends.

use super::share_cap::{MAX_SHARE_OF_BACKEND, cap_shares};
use super::summary::Summary;
use super::{BackendEstimate, Totals};
use crate::counts::{AttemptCounts, BackendClass, BackendId};
use crate::histogram::LatencyHistogram;
use std::collections::BTreeMap;

/// A summary, and its attempts of a class at a backend.
type Observation<'a> = (&'a Summary, &'a AttemptCounts);

/// The estimates of all backends that reports list individually, by class.
pub(super) fn estimate(
    summaries: &[Summary],
    totals: Totals,
) -> BTreeMap<BackendClass, BackendEstimate> {
    let mut observations: BTreeMap<BackendClass, Vec<Observation<'_>>> = BTreeMap::new();
    for summary in summaries {
        for (key, attempts) in &summary.counts.attempts {
            if key.backend != BackendId::OTHERS {
                observations
                    .entry(*key)
                    .or_default()
                    .push((summary, attempts));
            }
        }
    }
    observations
        .into_iter()
        .map(|(key, observations)| (key, estimate_backend(&observations, totals)))
        .collect()
}

fn estimate_backend(observations: &[Observation<'_>], totals: Totals) -> BackendEstimate {
    let sent = observations
        .iter()
        .map(|(summary, attempts)| summary.weight * f64::from(attempts.sent) / summary.span);
    let weights: Vec<f64> = observations
        .iter()
        .map(|(summary, attempts)| summary.weight * attempts.ended() as f64)
        .collect();
    let weights = if totals.caps_shares {
        cap_shares(&weights, MAX_SHARE_OF_BACKEND)
    } else {
        weights
    };
    let evidence: f64 = weights.iter().sum();
    let share = |of: fn(&AttemptCounts) -> u32| {
        let parts = observations
            .iter()
            .zip(&weights)
            .map(|((_, attempts), weight)| {
                weight * f64::from(of(attempts)) / (attempts.ended() as f64).max(1.0)
            });
        parts.sum::<f64>() / evidence.max(1e-9)
    };
    let mut latencies = LatencyHistogram::default();
    for (_, attempts) in observations {
        latencies.merge(&attempts.latencies);
    }
    BackendEstimate {
        sent: sent.sum::<f64>() * totals.scale(),
        in_time: share(|attempts| attempts.in_time),
        failed: share(|attempts| attempts.failed),
        evidence,
        observers: observations.len(),
        latencies,
    }
}
