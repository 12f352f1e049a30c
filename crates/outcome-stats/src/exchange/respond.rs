//! Responses to requests for reports.

use super::{
    Action, MAX_MARKS, MESSAGE_OVERHEAD_BYTES, MIN_RESPONSE_BYTES, REPORT_OVERHEAD_BYTES,
    RESPONSE_SLOT, StatsExchange,
};
use crate::report_store::Report;
use crate::wire::{
    KnownReports, PullRequest, PullResponse, ReportMessage, StatsMessage, report_mark,
};
use sillward_membership::{Incarnation, Name};
use std::time::Duration;

/// The share of one second's bytes that responses leave for the node's own requests and for aggregators.
const RESERVED_SHARE: f64 = 0.25;
/// The largest relative error of a clock rate.
const CLOCK_DRIFT: f64 = 0.001;

/// A report that may go into a response.
struct Candidate<'a> {
    name: &'a Name,
    incarnation: Incarnation,
    /// The group number from 1; 0 for a node's own report.
    group: u32,
    report: &'a Report,
}

impl Candidate<'_> {
    fn mark(&self) -> u32 {
        let version = self.report.version;
        report_mark(
            self.name.as_str(),
            self.incarnation.salt,
            self.group,
            version,
        )
    }

    fn cost(&self) -> usize {
        self.report.encoded.len() + REPORT_OVERHEAD_BYTES
    }

    fn to_message(&self, now: Duration, groups: u32) -> ReportMessage {
        // Rounded up, and increased by what a slow clock may have missed.
        let age = self.report.age(now).mul_f64(1.0 + CLOCK_DRIFT) + Duration::from_millis(1);
        let milliseconds = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let of_group = |value: u32| if self.group > 0 { value } else { 0 };
        ReportMessage {
            name: self.name.as_str().to_owned(),
            epoch: self.incarnation.epoch,
            salt: self.incarnation.salt,
            version: self.report.version,
            age_ms: milliseconds(age),
            span_ms: milliseconds(self.report.span),
            counts: self.report.encoded.to_vec(),
            groups: of_group(groups),
            group: self.group,
            group_size: of_group(self.report.group_size as u32),
            represented_permille: of_group((self.report.represented * 1000.0) as u32),
            largest_share_permille: of_group((self.report.largest_share * 1000.0) as u32),
        }
    }
}

impl StatsExchange {
    /// The response to a request; `None` if it is invalid or there is too little budget, so that the sender retries later
    /// or asks another node.
    pub(super) fn respond(
        &mut self,
        now: Duration,
        to: &Name,
        request: &PullRequest,
    ) -> Option<Action> {
        if !self.living.contains_key(to) {
            self.counters.invalid += 1;
            return None;
        }
        let Some(max_bytes) = self.response_budget(now, request) else {
            self.counters.unanswered += 1;
            return None;
        };
        let (reports, truncated) = self.select_reports(now, to, request, max_bytes);
        let response = PullResponse {
            number: request.number,
            until: self.reports.arrivals(),
            groups_until: self.group_reports.arrivals(),
            salt: self.incarnation.salt,
            reports,
            truncated,
            own_only: request.own_only,
        };
        let message = StatsMessage {
            request: None,
            response: Some(response),
        };
        Some(self.send(now, to.clone(), RESPONSE_SLOT, &message))
    }

    /// The maximum size of a response in bytes; `None` if it is too small to justify a message.
    fn response_budget(&mut self, now: Duration, request: &PullRequest) -> Option<usize> {
        let rate = self.config.bytes_per_second;
        let reserved = if request.own_only {
            0.0
        } else {
            rate * RESERVED_SHARE
        };
        let available = self.send_budget.available(now) - reserved;
        let requested = f64::from(request.max_bytes);
        let max_bytes = available.min(requested).max(0.0) as usize;
        let worthwhile = requested.min(rate * (1.0 - RESERVED_SHARE) / 2.0);
        let is_too_small = max_bytes < MIN_RESPONSE_BYTES
            || (!request.own_only && (max_bytes as f64) < worthwhile);
        (!is_too_small).then_some(max_bytes)
    }

    /// The reports that the requesting node lacks and that fit, and whether any were omitted.
    fn select_reports(
        &self,
        now: Duration,
        to: &Name,
        request: &PullRequest,
        max_bytes: usize,
    ) -> (Vec<ReportMessage>, bool) {
        let marks = request.known.iter().take(2 * MAX_MARKS);
        let known = KnownReports::from_marks(marks.copied());
        let mut remaining = max_bytes.saturating_sub(MESSAGE_OVERHEAD_BYTES);
        let mut reports = Vec::new();
        let mut truncated = false;
        for candidate in self.candidates(to, request) {
            if candidate.name == to || known.contains(candidate.mark()) {
                continue;
            }
            if candidate.cost() > remaining {
                truncated = true;
                continue;
            }
            remaining -= candidate.cost();
            reports.push(candidate.to_message(now, self.topology.groups));
        }
        (reports, truncated)
    }

    /// Group reports first, because they are few and cover many nodes, then node reports; each most recent arrival first.
    /// Reports that do not fit reach the node through other nodes, or in their next version.
    fn candidates<'a>(
        &'a self,
        to: &'a Name,
        request: &PullRequest,
    ) -> impl Iterator<Item = Candidate<'a>> {
        let own_only = request.own_only;
        let (since, groups_since) = if request.salt == self.incarnation.salt {
            (request.since, request.groups_since)
        } else {
            (0, 0)
        };
        let groups = self
            .group_reports
            .arrived_after(groups_since)
            .map(|(key, report)| Candidate {
                name: &key.aggregator,
                incarnation: key.incarnation,
                group: key.group + 1,
                report,
            });
        let nodes = self
            .reports
            .arrived_after(since)
            .map(|((name, incarnation), report)| Candidate {
                name,
                incarnation: *incarnation,
                group: 0,
                report,
            });
        let is_own_aggregator =
            self.topology.is_in_own_group(to) && self.topology.aggregators.contains(to);
        let may_send = move |name: &Name| {
            if own_only {
                *name == self.own_name && is_own_aggregator
            } else {
                self.topology.is_single_group()
            }
        };
        groups
            .filter(move |_| !own_only)
            .chain(nodes.filter(move |candidate| may_send(candidate.name)))
    }
}
