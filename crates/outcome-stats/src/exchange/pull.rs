//! Requests for reports.

use super::{
    Action, MAX_MARKS, MESSAGE_OVERHEAD_BYTES, MIN_RESPONSE_BYTES, REQUEST_SLOT, StatsExchange,
};
use crate::wire::{PullRequest, StatsMessage, report_mark};
use rand_pcg::rand_core::RngCore;
use sillward_membership::Name;
use std::time::Duration;

/// The time after which a request without a response is dropped.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// One in this many requests goes to a random node.
const RANDOM_PULL_EVERY: u64 = 6;
/// The share of the byte rate that requests may use.
const REQUEST_SHARE: f64 = 0.15;
/// The longest time between two requests, in seconds.
const MAX_REQUEST_INTERVAL_S: f64 = 10.0;
/// The time between two requests of an aggregator to members of its group, short enough to reach all of them within seconds.
const MEMBER_PULL_INTERVAL: Duration = Duration::from_millis(60);

/// A request that waits for its response.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingPull {
    pub(super) number: u64,
    pub(super) sent_at: Duration,
}

/// The state kept for a node that reports are pulled from.
#[derive(Debug, Default)]
pub(super) struct PullState {
    /// The arrival numbers up to which it has sent node reports and group reports, in the incarnation with this salt.
    pub(super) since: u64,
    pub(super) groups_since: u64,
    pub(super) salt: u32,
    pub(super) pending: Option<PendingPull>,
}

impl PullState {
    /// Whether a request is pending that may still be answered.
    fn is_pending(&self, now: Duration) -> bool {
        self.pending
            .is_some_and(|pending| now < pending.sent_at + REQUEST_TIMEOUT)
    }
}

impl StatsExchange {
    /// The request that is due, if any.
    pub(super) fn pull(&mut self, now: Duration) -> Option<Action> {
        let mut request = None;
        if now >= self.next_pull_at {
            request = self.pull_from_next(now);
        }
        if request.is_none() && self.topology.is_aggregator && now >= self.next_member_pull_at {
            request = self.pull_from_member(now);
        }
        request
    }

    /// Requests everything new from the next node in the rotation, or from a random one.
    fn pull_from_next(&mut self, now: Duration) -> Option<Action> {
        self.next_pull_at = now + self.pull_interval();
        let rate = self.config.bytes_per_second;
        let max_bytes = self.pull_budget.available(now).min(rate);
        // Requests are few and large, because a group report would never fit into a small remaining budget.
        if max_bytes < rate / 2.0 || self.send_budget.available(now) < MESSAGE_OVERHEAD_BYTES as f64
        {
            return None;
        }
        let to = self.next_pull_target()?;
        self.last_request += 1;
        let number = self.last_request;
        let state = self.pulls.entry(to.clone()).or_default();
        if state.is_pending(now) {
            return None;
        }
        state.pending = Some(PendingPull {
            number,
            sent_at: now,
        });
        let (since, groups_since, salt) = (state.since, state.groups_since, state.salt);
        let request = PullRequest {
            number,
            since,
            groups_since,
            salt,
            known: self.known_marks(),
            max_bytes: max_bytes as u32,
            own_only: false,
        };
        // Reserves the minimum size of a response; the rest is spent when it arrives.
        self.pull_budget.spend(MIN_RESPONSE_BYTES);
        Some(self.send_request(now, to, request))
    }

    /// The time between two requests, such that requests use no more than their share of the byte rate.
    fn pull_interval(&self) -> Duration {
        let marks = if self.topology.is_single_group() {
            self.reports.len()
        } else {
            self.group_reports.len()
        };
        let bytes = marks.min(MAX_MARKS) * 4 + MESSAGE_OVERHEAD_BYTES;
        let seconds = bytes as f64 / (REQUEST_SHARE * self.config.bytes_per_second).max(1.0);
        let by_rate = Duration::from_secs_f64(seconds.min(MAX_REQUEST_INTERVAL_S));
        self.config.min_request_interval.max(by_rate)
    }

    fn next_pull_target(&mut self) -> Option<Name> {
        let is_random_turn = self.last_request % RANDOM_PULL_EVERY == RANDOM_PULL_EVERY - 1;
        if is_random_turn && self.living.len() > self.topology.rotation.len() + 1 {
            let index = self.draw_below(self.living.len());
            let name = self.living.keys().nth(index);
            return name.filter(|name| **name != self.own_name).cloned();
        }
        let next = self.topology.rotation.pop_front()?;
        self.topology.rotation.push_back(next.clone());
        Some(next)
    }

    fn draw_below(&mut self, bound: usize) -> usize {
        ((u64::from(self.random.next_u32()) * bound as u64) >> 32) as usize
    }

    /// Marks of the reports that need not be sent again, most recent arrival first.
    fn known_marks(&self) -> Vec<u32> {
        let is_single_group = self.topology.is_single_group();
        let nodes = self.reports.arrived_after(0).filter(|_| is_single_group);
        let nodes = nodes.take(MAX_MARKS).map(|((name, incarnation), report)| {
            report_mark(name.as_str(), incarnation.salt, 0, report.version)
        });
        let groups = self.group_reports.arrived_after(0).take(MAX_MARKS);
        let groups = groups.map(|(key, report)| {
            let aggregator = key.aggregator.as_str();
            report_mark(
                aggregator,
                key.incarnation.salt,
                key.group + 1,
                report.version,
            )
        });
        nodes.chain(groups).collect()
    }

    /// An aggregator requests the own report of the next member of its group.
    fn pull_from_member(&mut self, now: Duration) -> Option<Action> {
        self.next_member_pull_at = now + MEMBER_PULL_INTERVAL;
        if self.member_pull_budget.available(now) < MIN_RESPONSE_BYTES as f64
            || self.send_budget.available(now) <= 0.0
        {
            return None;
        }
        self.last_request += 1;
        let number = self.last_request;
        let to = self.topology.member_rotation.pop_front()?;
        self.topology.member_rotation.push_back(to.clone());
        let incarnation = *self.living.get(&to)?;
        let state = self.pulls.entry(to.clone()).or_default();
        if state.is_pending(now) {
            return None;
        }
        state.pending = Some(PendingPull {
            number,
            sent_at: now,
        });
        let known = self.reports.get(&(to.clone(), incarnation));
        let mark =
            known.map(|report| report_mark(to.as_str(), incarnation.salt, 0, report.version));
        let request = PullRequest {
            number,
            known: mark.into_iter().collect(),
            max_bytes: self.config.bytes_per_second as u32 / 2,
            own_only: true,
            ..PullRequest::default()
        };
        self.member_pull_budget.spend(MIN_RESPONSE_BYTES);
        Some(self.send_request(now, to, request))
    }

    fn send_request(&mut self, now: Duration, to: Name, request: PullRequest) -> Action {
        self.counters.requests += 1;
        let message = StatsMessage {
            request: Some(request),
            response: None,
        };
        self.send(now, to, REQUEST_SLOT, &message)
    }
}
