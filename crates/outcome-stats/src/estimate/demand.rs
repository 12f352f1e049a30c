//! Estimates of demand.

use super::share_cap::{MAX_SHARE_OF_SUM, cap_shares};
use super::summary::Summary;
use super::{DemandEstimate, Totals};
use crate::counts::ClassId;
use std::collections::BTreeMap;

/// The number of standard deviations that covers 19 of 20 estimates.
const ERROR_STANDARD_DEVIATIONS: f64 = 2.0;

/// Event rates of a class, per second.
#[derive(Clone, Copy, Default)]
struct Rates {
    first: f64,
    retries: f64,
    rejected: f64,
    sent: f64,
    in_time: f64,
}

impl Rates {
    fn calls(&self) -> f64 {
        self.first + self.retries
    }

    fn scale(&mut self, factor: f64) {
        self.first *= factor;
        self.retries *= factor;
        self.rejected *= factor;
        self.sent *= factor;
        self.in_time *= factor;
    }
}

/// The part of a summary that concerns one class.
struct ClassReport {
    weight: f64,
    nodes: f64,
    largest_share: f64,
    rates: Rates,
}

impl ClassReport {
    fn weighted_calls(&self) -> f64 {
        self.weight * self.rates.calls()
    }

    /// Splits the weighted calls into those of the largest node of a group (second) and those of all its other nodes (first).
    fn split_calls(&self) -> [f64; 2] {
        let calls = self.weighted_calls();
        if self.nodes > 1.0 {
            [
                calls * (1.0 - self.largest_share),
                calls * self.largest_share,
            ]
        } else {
            [calls, 0.0]
        }
    }

    /// The weighted sum of the nodes' squared deviations from the mean. A group is modelled as its largest node, and other
    /// nodes that all have the same rate.
    fn squared_deviations(&self, mean: f64) -> f64 {
        let calls = self.rates.calls();
        let others = (self.nodes - 1.0).max(0.0);
        let (largest, rest) = if others > 0.0 {
            let largest = calls * self.largest_share;
            (largest, (calls - largest) / others)
        } else {
            (calls, 0.0)
        };
        self.weight * ((largest - mean).powi(2) + others * (rest - mean).powi(2))
    }
}

/// The estimates of all classes.
pub(super) fn estimate(summaries: &[Summary], totals: Totals) -> BTreeMap<ClassId, DemandEstimate> {
    let mut classes: BTreeMap<ClassId, Vec<ClassReport>> = BTreeMap::new();
    for summary in summaries {
        for (class, rates) in rates_by_class(summary) {
            classes.entry(class).or_default().push(ClassReport {
                weight: summary.weight,
                nodes: summary.nodes,
                largest_share: summary.largest_share,
                rates,
            });
        }
    }
    classes
        .into_iter()
        .map(|(class, reports)| (class, estimate_class(reports, totals)))
        .collect()
}

fn rates_by_class(summary: &Summary) -> BTreeMap<ClassId, Rates> {
    let mut classes: BTreeMap<ClassId, Rates> = BTreeMap::new();
    let rate = |count: u32| f64::from(count) / summary.span;
    for (class, calls) in &summary.counts.calls {
        let rates = classes.entry(*class).or_default();
        rates.first += rate(calls.first);
        rates.retries += rate(calls.retries);
        rates.rejected += rate(calls.rejected);
    }
    for (key, attempts) in &summary.counts.attempts {
        let rates = classes.entry(key.class).or_default();
        rates.sent += rate(attempts.sent);
        rates.in_time += rate(attempts.in_time);
    }
    classes
}

fn estimate_class(mut reports: Vec<ClassReport>, totals: Totals) -> DemandEstimate {
    let capped = cap_calls(&mut reports, totals.caps_shares);
    let scale = totals.scale();
    let sum = |rate: fn(&Rates) -> f64| {
        reports
            .iter()
            .map(|report| report.weight * rate(&report.rates))
            .sum::<f64>()
            * scale
    };
    let first = sum(|rates| rates.first);
    let retries = sum(|rates| rates.retries);
    let mean = capped / totals.weight.max(1e-9);
    let total = first + retries;
    DemandEstimate {
        first,
        retries,
        rejected: sum(|rates| rates.rejected),
        sent: sum(|rates| rates.sent),
        in_time: sum(|rates| rates.in_time),
        error: error(&reports, totals, mean, total),
    }
}

/// Caps each node's calls at the sum of all others, and scales its other rates by the same factor. The largest node of a
/// group is capped separately from the rest of its group. Returns the sum of the capped calls.
fn cap_calls(reports: &mut [ClassReport], caps_shares: bool) -> f64 {
    let calls: Vec<f64> = reports.iter().flat_map(ClassReport::split_calls).collect();
    let capped = if caps_shares {
        cap_shares(&calls, MAX_SHARE_OF_SUM)
    } else {
        calls
    };
    for (report, capped) in reports.iter_mut().zip(capped.chunks(2)) {
        let before = report.weighted_calls();
        let factor = if before > 0.0 {
            capped.iter().sum::<f64>() / before
        } else {
            1.0
        };
        report.rates.scale(factor);
    }
    capped.iter().sum()
}

/// The error bound of the calls, from three causes: nodes without reports may differ from the others as much as these differ
/// from each other, small counts vary randomly, and demand may have changed since the reports were made.
fn error(reports: &[ClassReport], totals: Totals, mean: f64, total: f64) -> f64 {
    let weight = totals.weight;
    let with_class: f64 = reports
        .iter()
        .map(|report| report.weight * report.nodes)
        .sum();
    let without_class = (weight - with_class).max(0.0);
    let squared: f64 = reports
        .iter()
        .map(|report| report.squared_deviations(mean))
        .sum::<f64>()
        + without_class * mean * mean;
    let deviation = (squared / weight.max(1e-9)).sqrt();
    let unreported = (totals.members - weight).max(0.0);
    let coverage_error =
        unreported * deviation / weight.max(1.0).sqrt() + deviation * unreported.sqrt();
    let drift_error = total * (1.0 - (-totals.drift * totals.age).exp());
    let sampling_error = total.max(0.0).sqrt();
    ERROR_STANDARD_DEVIATIONS * (coverage_error + sampling_error) + drift_error
}
