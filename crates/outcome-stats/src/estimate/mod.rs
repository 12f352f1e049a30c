//! Estimates for the whole fleet from the known reports, with age, coverage and error bounds.
//!
//! Reports may be false: the share of one node in an estimate is capped, whatever it reports.

mod backends;
mod demand;
mod share_cap;
mod summary;

pub(crate) use summary::summarise_group;

use crate::config::InjectedBug;
use crate::counts::{BackendClass, ClassId};
use crate::histogram::LatencyHistogram;
use crate::report_store::{Report, ReportStore};
use sillward_membership::{Incarnation, Name};
use std::collections::BTreeMap;
use std::time::Duration;
use summary::Summary;

/// How much of the fleet an estimate covers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Coverage {
    /// The living members, this node among them.
    pub living: usize,
    /// The members whose reports are used.
    pub reporting: usize,
    /// The sum of the report weights, which fall with age, divided by the number of living members: 1 if all are fresh.
    pub weight: f64,
    /// The weighted mean age of the reports.
    pub age: Duration,
    /// The age of the oldest report that is used.
    pub oldest: Duration,
}

/// The calls of a class in the whole fleet, per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandEstimate {
    /// Calls that are not client retries.
    pub first: f64,
    /// Client retries.
    pub retries: f64,
    /// Calls that nodes rejected.
    pub rejected: f64,
    /// Attempts sent to backends.
    pub sent: f64,
    /// Attempts served within the latency objective.
    pub in_time: f64,
    /// The error bound of `first + retries`, which holds for 19 of 20 estimates.
    pub error: f64,
}

/// The attempts of a class at a backend, by all nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendEstimate {
    /// Attempts per second.
    pub sent: f64,
    /// The share of ended attempts that were served in time. The influence of each node is capped.
    pub in_time: f64,
    /// The share of ended attempts that failed, neither late nor rejected.
    pub failed: f64,
    /// The number of ended attempts behind the shares, after caps and weights. Callers can combine it with the pseudo-counts of
    /// a prior.
    pub evidence: f64,
    /// The number of nodes of the own group plus the number of other groups that report it.
    pub observers: usize,
    /// Latencies of the served attempts.
    pub latencies: LatencyHistogram,
}

/// The estimates at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetEstimate {
    /// How much of the fleet they cover.
    pub coverage: Coverage,
    /// By class.
    pub demand: BTreeMap<ClassId, DemandEstimate>,
    /// By backend and class.
    pub backends: BTreeMap<BackendClass, BackendEstimate>,
}

/// Identifies the report that one aggregator makes of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupReportKey {
    /// The number of groups when the report was made.
    pub(crate) groups: u32,
    /// The index of the group, from 0.
    pub(crate) group: u32,
    /// The node that made the report, and its incarnation.
    pub(crate) aggregator: Name,
    pub(crate) incarnation: Incarnation,
}

/// The age up to which a report has full weight, and the age from which it has none.
#[derive(Clone, Copy)]
pub(crate) struct AgeLimits {
    pub(crate) fresh: Duration,
    pub(crate) oldest: Duration,
}

impl AgeLimits {
    /// The weight of a report: 1 while it is fresh, 0 once it is too old, and linear in between, so that estimates do not
    /// jump when reports stop coming. Ages are in seconds.
    fn weight(&self, age: f64) -> f64 {
        let oldest = self.oldest.as_secs_f64();
        let fading = (oldest - self.fresh.as_secs_f64()).max(1e-9);
        ((oldest - age) / fading).clamp(0.0, 1.0)
    }
}

/// The inputs of the estimates at a node.
pub(crate) struct Known<'a> {
    /// Reports of nodes.
    pub(crate) reports: &'a ReportStore<(Name, Incarnation)>,
    /// The members of the node's group.
    pub(crate) group_members: &'a BTreeMap<Name, Incarnation>,
    /// Reports of groups.
    pub(crate) group_reports: &'a ReportStore<GroupReportKey>,
    /// The node's group, if it is estimated from the reports of its nodes rather than from group reports.
    pub(crate) own_group: Option<u32>,
    /// The number of living members, this node among them.
    pub(crate) living: usize,
    /// The relative change of demand per second.
    pub(crate) drift: f64,
}

/// Figures of the fleet as a whole.
#[derive(Clone, Copy)]
struct Totals {
    /// The number of living members.
    members: f64,
    /// The weight of all reports.
    weight: f64,
    /// The mean age of the midpoints of the reports' spans, in seconds.
    age: f64,
    /// See [`Known::drift`].
    drift: f64,
    /// Whether shares are capped.
    caps_shares: bool,
}

impl Totals {
    /// The factor that extrapolates the reported counts to the whole fleet.
    fn scale(&self) -> f64 {
        self.members / self.weight.max(1e-9)
    }
}

/// Makes the estimates at `now`.
pub(crate) fn estimate(
    known: &Known<'_>,
    now: Duration,
    limits: AgeLimits,
    injected_bug: Option<InjectedBug>,
) -> FleetEstimate {
    let summaries = summaries(known, now, limits, injected_bug);
    let members = known.living.max(1) as f64;
    let weighted = |of: &dyn Fn(&Summary) -> f64| -> f64 {
        summaries
            .iter()
            .map(|summary| summary.weight * summary.nodes * of(summary))
            .sum()
    };
    let weight = weighted(&|_| 1.0).min(members);
    let reporting: f64 = summaries.iter().map(|summary| summary.nodes).sum();
    let oldest = summaries
        .iter()
        .map(|summary| summary.age)
        .fold(0.0, f64::max);
    let coverage = Coverage {
        living: known.living,
        reporting: reporting.round() as usize,
        weight: weight / members,
        age: Duration::from_secs_f64(weighted(&|summary| summary.age) / weight.max(1e-9)),
        oldest: Duration::from_secs_f64(oldest),
    };
    let half_span = weighted(&|summary| summary.span) / weight.max(1e-9) / 2.0;
    let totals = Totals {
        members,
        weight,
        age: coverage.age.as_secs_f64() + half_span,
        drift: known.drift,
        caps_shares: injected_bug != Some(InjectedBug::NoShareCap),
    };
    FleetEstimate {
        coverage,
        demand: demand::estimate(&summaries, totals),
        backends: backends::estimate(&summaries, totals),
    }
}

/// The summaries of the nodes of the own group, if it is estimated from their reports, and of each other group.
fn summaries(
    known: &Known<'_>,
    now: Duration,
    limits: AgeLimits,
    injected_bug: Option<InjectedBug>,
) -> Vec<Summary> {
    let mut summaries = match known.own_group {
        Some(_) => summary::of_nodes(
            known.reports,
            known.group_members,
            now,
            limits,
            injected_bug,
        ),
        None => Vec::new(),
    };
    let mut groups: BTreeMap<u32, Vec<&Report>> = BTreeMap::new();
    for (key, report) in known.group_reports.iter() {
        if known.own_group != Some(key.group) {
            groups.entry(key.group).or_default().push(report);
        }
    }
    let of_groups = groups
        .values()
        .filter_map(|reports| summary::of_reports(reports, now, limits, injected_bug));
    summaries.extend(of_groups);
    summaries
}
