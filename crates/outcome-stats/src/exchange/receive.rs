//! Handling of responses, and validation of the reports in them.

use super::{MIN_RESPONSE_BYTES, StatsExchange};
use crate::codec::decode_counts;
use crate::estimate::GroupReportKey;
use crate::report_store::{Report, micros};
use crate::wire::{PullResponse, ReportMessage};
use sillward_membership::{Incarnation, Name};
use std::time::Duration;

/// The factors applied to the report interval after a truncated response, and after a complete one.
const TRUNCATED_INTERVAL_FACTOR: f64 = 1.1;
const COMPLETE_INTERVAL_FACTOR: f64 = 0.96;

impl StatsExchange {
    /// Handles a response of `bytes` bytes.
    pub(super) fn receive(
        &mut self,
        now: Duration,
        from: &Name,
        incarnation: Incarnation,
        response: &PullResponse,
        bytes: usize,
    ) {
        let budget = if response.own_only {
            &mut self.member_pull_budget
        } else {
            &mut self.pull_budget
        };
        budget.available(now);
        budget.spend(bytes.saturating_sub(MIN_RESPONSE_BYTES));
        let Some(requested_at) = self.complete_pull(from, incarnation, response) else {
            self.counters.invalid += 1;
            return;
        };
        self.counters.responses += 1;
        self.adapt_report_interval(response);
        for message in &response.reports {
            self.counters.reports += 1;
            let is_new = self.receive_report(from, response.own_only, message, requested_at);
            self.counters.new_reports += u64::from(is_new);
        }
    }

    /// When the request was sent; `None` if none is pending with this number.
    fn complete_pull(
        &mut self,
        from: &Name,
        incarnation: Incarnation,
        response: &PullResponse,
    ) -> Option<Duration> {
        let state = self.pulls.get_mut(from)?;
        let pending = state
            .pending
            .filter(|pending| pending.number == response.number)?;
        state.pending = None;
        if incarnation.salt == response.salt && !response.own_only {
            state.since = response.until;
            state.groups_since = response.groups_until;
            state.salt = response.salt;
        }
        Some(pending.sent_at)
    }

    fn adapt_report_interval(&mut self, response: &PullResponse) {
        let factor = match (response.truncated, response.own_only) {
            (true, _) => TRUNCATED_INTERVAL_FACTOR,
            (false, false) => COMPLETE_INTERVAL_FACTOR,
            (false, true) => 1.0,
        };
        self.report_interval = self
            .report_interval
            .mul_f64(factor)
            .min(self.config.max_report_age / 4)
            .max(self.config.window);
    }

    /// Stores a report if its sender may provide it. Returns whether it is new.
    fn receive_report(
        &mut self,
        from: &Name,
        own_only: bool,
        message: &ReportMessage,
        requested_at: Duration,
    ) -> bool {
        let Some((name, incarnation, report)) = self.read_report(message, requested_at) else {
            self.counters.invalid += 1;
            return false;
        };
        if message.group == 0 {
            // A node's own report is accepted from that node, or from any node if there is a single group.
            let is_allowed = name == *from || !own_only && self.topology.is_single_group();
            return is_allowed
                && self.group_members.contains_key(&name)
                && self.reports.insert((name, incarnation), report);
        }
        let key = GroupReportKey {
            groups: message.groups,
            group: message.group - 1,
            aggregator: name,
            incarnation,
        };
        self.topology
            .is_aggregator_of(&key.aggregator, key.groups, key.group)
            && self.living.contains_key(&key.aggregator)
            && self.group_reports.insert(key, report)
    }

    /// Converts a report that was requested at `requested_at`; `None` if it is invalid.
    fn read_report(
        &self,
        message: &ReportMessage,
        requested_at: Duration,
    ) -> Option<(Name, Incarnation, Report)> {
        let name = Name::new(&message.name)?;
        let incarnation = Incarnation {
            epoch: message.epoch,
            salt: message.salt,
        };
        // Only this node makes reports under its own name.
        if name == self.own_name
            || message.span_ms == 0
            || message.version == 0
            || message.group > message.groups
        {
            return None;
        }
        let is_of_group = message.group > 0;
        let share = |permille: u32| {
            if is_of_group {
                f64::from(permille) / 1000.0
            } else {
                1.0
            }
        };
        let report = Report {
            version: message.version,
            ended_us: micros(requested_at).saturating_sub(i64::from(message.age_ms) * 1000),
            span: Duration::from_millis(message.span_ms.into()),
            counts: decode_counts(&message.counts)?.into(),
            encoded: message.counts.as_slice().into(),
            group_size: if is_of_group {
                f64::from(message.group_size.max(1))
            } else {
                1.0
            },
            represented: share(message.represented_permille),
            largest_share: share(message.largest_share_permille).min(1.0),
            arrival: 0,
        };
        let is_valid = report.represented > 0.0 && report.represented <= report.group_size;
        is_valid.then_some((name, incarnation, report))
    }
}
