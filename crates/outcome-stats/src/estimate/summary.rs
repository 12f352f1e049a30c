//! Summaries of reports: one for each node of the own group, and one for each other group.

use super::AgeLimits;
use crate::config::InjectedBug;
use crate::counts::Counts;
use crate::report_store::{Report, ReportStore};
use sillward_membership::{Incarnation, Name};
use std::collections::BTreeMap;
use std::time::Duration;

/// The merged reports of all incarnations of a node, so that a restart neither doubles nor loses its calls; or the median of
/// the reports of a group's aggregators. Times are in seconds.
pub(super) struct Summary {
    pub(super) counts: Counts,
    pub(super) span: f64,
    pub(super) age: f64,
    pub(super) weight: f64,
    /// The number of nodes whose reports it covers.
    pub(super) nodes: f64,
    /// The share of the calls at the node with the most calls.
    pub(super) largest_share: f64,
}

/// The summaries of the members of a group, by their names.
pub(super) fn of_nodes(
    reports: &ReportStore<(Name, Incarnation)>,
    members: &BTreeMap<Name, Incarnation>,
    now: Duration,
    limits: AgeLimits,
    injected_bug: Option<InjectedBug>,
) -> Vec<Summary> {
    let mut of_members: Vec<_> = reports
        .iter()
        .filter(|((name, _), _)| members.contains_key(name))
        .collect();
    // The newest incarnation comes first, because its age is used as the age of the node.
    of_members.sort_by(|((a, incarnation), _), ((b, other), _)| (a, other).cmp(&(b, incarnation)));
    let mut nodes: BTreeMap<&Name, Summary> = BTreeMap::new();
    for ((name, _), report) in of_members {
        let Some(summary) = of_reports(&[report], now, limits, injected_bug) else {
            continue;
        };
        match nodes.get_mut(name) {
            None => drop(nodes.insert(name, summary)),
            Some(node) => {
                node.counts.merge(&summary.counts);
                if injected_bug != Some(InjectedBug::DoubleCountRestarts) {
                    node.span += summary.span;
                }
            }
        }
    }
    nodes.into_values().collect()
}

/// Summarises reports about the same subject: a single report of a node, or the reports of a group's aggregators. `None` if
/// all are too old.
pub(super) fn of_reports(
    reports: &[&Report],
    now: Duration,
    limits: AgeLimits,
    injected_bug: Option<InjectedBug>,
) -> Option<Summary> {
    let age = |report: &Report| {
        if injected_bug == Some(InjectedBug::IgnoreAge) {
            0.0
        } else {
            report.age(now).as_secs_f64()
        }
    };
    let oldest = limits.oldest.as_secs_f64();
    let usable: Vec<&Report> = reports
        .iter()
        .copied()
        .filter(|report| age(report) < oldest && !report.span.is_zero())
        .collect();
    let span = usable.first()?.span.as_secs_f64();
    let count = usable.len() as f64;
    let mean = |of: &dyn Fn(&Report) -> f64| -> f64 {
        usable.iter().map(|report| of(report)).sum::<f64>() / count
    };
    let mut largest_shares: Vec<f64> = usable.iter().map(|report| report.largest_share).collect();
    largest_shares.sort_by(f64::total_cmp);
    let mean_age = mean(&|report| age(report));
    Some(Summary {
        counts: median_counts(&usable, span),
        span,
        age: mean_age,
        weight: limits.weight(mean_age),
        nodes: mean(&|report| report.represented),
        largest_share: largest_shares[(largest_shares.len() - 1) / 2],
    })
}

/// The median of the reports' counts, scaled to a span in seconds.
fn median_counts(reports: &[&Report], span: f64) -> Counts {
    if let [one] = reports {
        return (*one.counts).clone();
    }
    let scaled: Vec<Counts> = reports
        .iter()
        .map(|report| report.counts.scaled(span / report.span.as_secs_f64()))
        .collect();
    Counts::median(&scaled.iter().collect::<Vec<_>>())
}

/// The contents of a group report, as one of the aggregators makes it.
pub(crate) struct GroupSummary {
    /// The sum of the nodes' counts.
    pub(crate) counts: Counts,
    /// The weighted mean age.
    pub(crate) age: Duration,
    /// The number of nodes whose reports it covers.
    pub(crate) represented: f64,
    /// The share of the calls at the node with the most calls.
    pub(crate) largest_share: f64,
}

/// Adds up the reports of a group's members over a span; `None` if there are none.
pub(crate) fn summarise_group(
    reports: &ReportStore<(Name, Incarnation)>,
    members: &BTreeMap<Name, Incarnation>,
    now: Duration,
    span: Duration,
    limits: AgeLimits,
) -> Option<GroupSummary> {
    let mut counts = Counts::default();
    let mut represented = 0.0;
    let mut weighted_age = 0.0;
    let mut largest = 0.0f64;
    for summary in of_nodes(reports, members, now, limits, None) {
        let factor = summary.weight * span.as_secs_f64() / summary.span;
        counts.merge(&summary.counts.scaled(factor));
        represented += summary.weight;
        weighted_age += summary.weight * summary.age;
        largest = largest.max(summary.counts.total_calls() as f64 * factor);
    }
    let largest_share = largest / (counts.total_calls() as f64).max(1.0);
    let age = Duration::from_secs_f64(weighted_age / represented.max(1e-9));
    (represented > 0.0).then_some(GroupSummary {
        counts,
        age,
        represented,
        largest_share: largest_share.min(1.0),
    })
}
