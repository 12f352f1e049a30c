//! The reports that a node makes of itself and, as an aggregator, of its group; and the rate at which demand changes.

use super::StatsExchange;
use super::topology::Topology;
use crate::codec::encode_counts;
use crate::estimate::{GroupReportKey, summarise_group};
use crate::report_store::{Report, ReportStore, micros};
use sillward_membership::{Incarnation, Name};
use std::time::Duration;

/// The share by which the highest observed drift decays with each update.
const DRIFT_DECAY: f64 = 0.03;

impl StatsExchange {
    /// Makes a report of this node if a window has closed and the report interval has passed, so that the other nodes can have
    /// received the previous report.
    pub(super) fn make_report(&mut self, now: Duration) {
        if now < self.next_report_at {
            return;
        }
        let sum = self.own_counts.sum(now);
        let ended_at = self.own_counts.last_window_end();
        if sum.windows == 0 {
            self.next_report_at = ended_at + self.config.window;
            return;
        }
        // In a fleet of several groups a node's own report goes to its aggregators only, so a report per window costs little.
        let interval = if self.topology.is_single_group() {
            self.report_interval
        } else {
            self.config.window
        };
        self.next_report_at = now.max(ended_at) + interval;
        let encoded = encode_counts(&sum.counts);
        let report = Report {
            version: self.own_counts.version(),
            ended_us: micros(ended_at),
            span: self.config.window * sum.windows,
            counts: sum.counts.into(),
            encoded: encoded.into(),
            group_size: 1.0,
            represented: 1.0,
            largest_share: 1.0,
            arrival: 0,
        };
        let key = (self.own_name.clone(), self.incarnation);
        self.reports.insert(key, report);
    }

    /// Makes a report of the group if this node is an aggregator and the report is due.
    pub(super) fn make_group_report(&mut self, now: Duration) {
        if !self.topology.is_aggregator || now < self.next_group_report_at {
            return;
        }
        self.next_group_report_at = now + Topology::group_report_interval(self.report_interval);
        let span = self.config.window * self.config.windows_per_report as u32;
        let summary = summarise_group(
            &self.reports,
            &self.group_members,
            now,
            span,
            self.age_limits(),
        );
        let Some(summary) = summary else {
            return;
        };
        self.group_report_version += 1;
        let encoded = encode_counts(&summary.counts);
        let report = Report {
            version: self.group_report_version,
            ended_us: micros(now).saturating_sub(micros(summary.age)),
            span,
            counts: summary.counts.into(),
            encoded: encoded.into(),
            group_size: self.group_members.len() as f64,
            represented: summary.represented,
            largest_share: summary.largest_share,
            arrival: 0,
        };
        let key = GroupReportKey {
            groups: self.topology.groups,
            group: self.topology.own_group,
            aggregator: self.own_name.clone(),
            incarnation: self.incarnation,
        };
        self.group_reports.insert(key, report);
    }
}

/// The relative change of demand per second, which determines the error of old reports.
#[derive(Debug)]
pub(super) struct DemandDrift {
    per_second: f64,
    last_total: f64,
    updated_at: Duration,
}

impl DemandDrift {
    pub(super) fn new(now: Duration) -> Self {
        DemandDrift {
            per_second: 0.0,
            last_total: 0.0,
            updated_at: now,
        }
    }

    pub(super) fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Compares the calls in the known reports with those of the last update, once per window.
    pub(super) fn update(
        &mut self,
        now: Duration,
        reports: &ReportStore<(Name, Incarnation)>,
        window: Duration,
    ) {
        let elapsed = now.saturating_sub(self.updated_at);
        if elapsed < window {
            return;
        }
        let rates = reports.iter().map(|(_, report)| {
            report.counts.total_calls() as f64 / report.span.as_secs_f64().max(1e-3)
        });
        let total: f64 = rates.sum();
        let last = self.last_total;
        let change = (total - last).abs() / (total + last).max(1e-9) * 2.0 / elapsed.as_secs_f64();
        let is_comparable = last > 0.0 && total > 0.0;
        let observed = if is_comparable { change.min(1.0) } else { 0.0 };
        self.per_second = (self.per_second * (1.0 - DRIFT_DECAY)).max(observed);
        self.last_total = total;
        self.updated_at = now;
    }
}
