//! The pull-based exchange of reports, within a byte rate that does not depend on the size of the fleet.
//!
//! A node requests from others, in rotation, the reports that they have received since its previous request. A response is made
//! after its request was sent, so a report is at most as old as the response states plus the time since the request: one that
//! was delayed, or forwarded long after its arrival, cannot appear new. The rotation follows a hash of the names, so that
//! reports reach every node in few steps; one in several requests goes to a random node, so that no part of the fleet becomes
//! isolated.
//!
//! Large fleets are divided into groups. Within a group, a few aggregators pull the reports of all members, and each adds them
//! up to a group report; group reports are exchanged between all nodes.

mod byte_budget;
mod own_reports;
mod pull;
mod receive;
mod respond;
mod topology;

use crate::config::StatsConfig;
use crate::counts::Counts;
use crate::estimate::{self, AgeLimits, FleetEstimate, GroupReportKey};
use crate::report_store::ReportStore;
use crate::windowed_counts::WindowedCounts;
use crate::wire::StatsMessage;
use byte_budget::ByteBudget;
use own_reports::DemandDrift;
use prost::Message;
use pull::PullState;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::SeedableRng;
use sillward_membership::{Incarnation, Name};
use std::collections::BTreeMap;
use std::time::Duration;
use topology::Topology;

/// The link overhead of a message, in bytes.
const LINK_OVERHEAD_BYTES: usize = 64;
/// The maximum size of a report without its counts, in bytes.
const REPORT_OVERHEAD_BYTES: usize = 56;
/// The maximum size of a message without its reports, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 160;
/// A smaller response does not justify its overhead.
const MIN_RESPONSE_BYTES: usize = 400;
/// The maximum number of marks of known reports in a request, for node reports and for group reports each.
const MAX_MARKS: usize = 256;
/// The slots of a link: a message replaces an earlier one in the same slot that has not been sent yet.
const REQUEST_SLOT: u32 = 1;
const RESPONSE_SLOT: u32 = 2;

/// An action that the caller has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message over a link.
    Send {
        /// The receiver.
        to: Name,
        /// The slot of the link.
        slot: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// Counters of the exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExchangeCounters {
    /// Requests sent.
    pub requests: u64,
    /// Responses to them.
    pub responses: u64,
    /// Reports received.
    pub reports: u64,
    /// Reports received that were new.
    pub new_reports: u64,
    /// Messages and reports that were malformed or not requested.
    pub invalid: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Requests received that got no response for lack of budget.
    pub unanswered: u64,
}

/// A node's part in the exchange.
pub struct StatsExchange {
    config: StatsConfig,
    own_name: Name,
    incarnation: Incarnation,
    own_counts: WindowedCounts,
    /// The living members, this node among them.
    living: BTreeMap<Name, Incarnation>,
    topology: Topology,
    /// The living members of its group, this node among them.
    group_members: BTreeMap<Name, Incarnation>,
    /// Reports of the members of its group.
    reports: ReportStore<(Name, Incarnation)>,
    /// Reports of groups. Those of its own group are only forwarded if the node estimates it from member reports.
    group_reports: ReportStore<GroupReportKey>,
    /// The number of reports that this node has made of its group.
    group_report_version: u64,
    pulls: BTreeMap<Name, PullState>,
    last_request: u64,
    next_pull_at: Duration,
    next_member_pull_at: Duration,
    next_report_at: Duration,
    next_group_report_at: Duration,
    /// The time between two reports of this node or its group: grows while responses are truncated, shrinks otherwise.
    report_interval: Duration,
    send_budget: ByteBudget,
    pull_budget: ByteBudget,
    /// A separate budget, at half the rate, for what an aggregator pulls from the members of its group.
    member_pull_budget: ByteBudget,
    drift: DemandDrift,
    random: Pcg32,
    counters: ExchangeCounters,
}

impl StatsExchange {
    /// Starts the exchange of a node at `now`, in the given incarnation.
    pub fn new(
        config: StatsConfig,
        own_name: Name,
        incarnation: Incarnation,
        seed: u64,
        now: Duration,
    ) -> Self {
        let only_self = BTreeMap::from([(own_name.clone(), incarnation)]);
        let max_reports = config.max_members.saturating_mul(2);
        let rate = config.bytes_per_second;
        StatsExchange {
            own_counts: WindowedCounts::new(config.window, config.windows_per_report, now),
            living: only_self.clone(),
            topology: Topology::default(),
            group_members: only_self,
            reports: ReportStore::new(max_reports),
            group_reports: ReportStore::new(max_reports),
            group_report_version: 0,
            pulls: BTreeMap::new(),
            last_request: 0,
            next_pull_at: now,
            next_member_pull_at: now,
            next_report_at: now,
            next_group_report_at: now,
            report_interval: config.window,
            send_budget: ByteBudget::new(rate, now),
            pull_budget: ByteBudget::new(rate, now),
            member_pull_budget: ByteBudget::new(rate / 2.0, now),
            drift: DemandDrift::new(now),
            random: Pcg32::seed_from_u64(seed),
            counters: ExchangeCounters::default(),
            config,
            own_name,
            incarnation,
        }
    }

    /// The counts of the open window.
    pub fn counts(&mut self, now: Duration) -> &mut Counts {
        self.own_counts.open(now)
    }

    /// Performs the work that is due. `incarnation` is this node's, and `others` are the other living members. A new
    /// incarnation resets the counts. Members that are not listed receive no requests, and their reports are not used.
    pub fn tick<'a>(
        &mut self,
        now: Duration,
        incarnation: Incarnation,
        others: impl Iterator<Item = (&'a Name, Incarnation)>,
    ) -> Vec<Action> {
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            self.own_counts.restart(now);
            self.pulls.clear();
            self.next_report_at = now;
        }
        self.update_members(now, others);
        self.drop_unwanted(now);
        self.make_report(now);
        self.make_group_report(now);
        self.drift.update(now, &self.reports, self.config.window);
        self.pull(now).into_iter().collect()
    }

    fn update_members<'a>(
        &mut self,
        now: Duration,
        others: impl Iterator<Item = (&'a Name, Incarnation)>,
    ) {
        let mut living: BTreeMap<Name, Incarnation> = others
            .take(self.config.max_members)
            .map(|(name, incarnation)| (name.clone(), incarnation))
            .collect();
        living.insert(self.own_name.clone(), self.incarnation);
        let has_changed = living.keys().ne(self.living.keys());
        self.living = living;
        if has_changed {
            self.update_topology(now);
        }
        self.group_members = self
            .living
            .iter()
            .filter(|(name, _)| self.topology.is_in_own_group(name))
            .map(|(name, incarnation)| (name.clone(), *incarnation))
            .collect();
    }

    fn update_topology(&mut self, now: Duration) {
        let rotation_size = self.config.rotation_size;
        let topology = Topology::new(&self.own_name, &self.living, rotation_size);
        if topology.is_aggregator && !self.topology.is_aggregator {
            let report_span = self.config.window * self.config.windows_per_report as u32;
            self.next_group_report_at = now + report_span;
        }
        self.topology = topology;
    }

    /// Drops reports that are too old or of members that are no longer living. Reports of a member's earlier incarnation
    /// stay until they are too old.
    fn drop_unwanted(&mut self, now: Duration) {
        let max_age = self.config.max_report_age;
        let uses_members = self.topology.uses_members();
        let (members, own_name) = (&self.group_members, &self.own_name);
        self.reports.retain(|(name, _), report| {
            let is_used = if uses_members {
                members.contains_key(name)
            } else {
                name == own_name
            };
            is_used && report.age(now) < max_age
        });
        let (groups, living) = (self.topology.groups, &self.living);
        self.group_reports.retain(|key, report| {
            key.groups == groups
                && living.contains_key(&key.aggregator)
                && report.age(now) < max_age
        });
        self.pulls.retain(|name, _| living.contains_key(name));
    }

    /// When the next [`StatsExchange::tick`] is due.
    pub fn next_wakeup(&self) -> Duration {
        let next = self.next_pull_at.min(self.next_report_at);
        if self.topology.is_aggregator {
            next.min(self.next_member_pull_at)
                .min(self.next_group_report_at)
        } else {
            next
        }
    }

    /// Handles a message that arrived over a link from a member in the given incarnation.
    pub fn handle_message(
        &mut self,
        now: Duration,
        from: &Name,
        incarnation: Incarnation,
        bytes: &[u8],
    ) -> Vec<Action> {
        let Ok(message) = StatsMessage::decode(bytes) else {
            self.counters.invalid += 1;
            return Vec::new();
        };
        if let Some(response) = message.response {
            self.receive(now, from, incarnation, &response, bytes.len());
        }
        let response = message
            .request
            .and_then(|request| self.respond(now, from, &request));
        response.into_iter().collect()
    }

    /// The estimates at `now`.
    pub fn estimate(&self, now: Duration) -> FleetEstimate {
        let topology = &self.topology;
        let known = estimate::Known {
            reports: &self.reports,
            group_members: &self.group_members,
            group_reports: &self.group_reports,
            own_group: topology.uses_members().then_some(topology.own_group),
            living: self.living.len(),
            drift: self.drift.per_second(),
        };
        estimate::estimate(&known, now, self.age_limits(), self.config.injected_bug)
    }

    fn age_limits(&self) -> AgeLimits {
        AgeLimits {
            fresh: self.fresh_for(),
            oldest: self.config.max_report_age,
        }
    }

    /// Counters of the exchange.
    pub fn counters(&self) -> ExchangeCounters {
        self.counters
    }

    /// The known reports of nodes.
    pub fn reports(&self) -> &ReportStore<(Name, Incarnation)> {
        &self.reports
    }

    /// The age up to which a report has full weight: a few report intervals, within bounds.
    pub fn fresh_for(&self) -> Duration {
        (4 * self.report_interval)
            .max(5 * self.config.window)
            .min(self.config.max_report_age / 2)
    }

    fn send(&mut self, now: Duration, to: Name, slot: u32, message: &StatsMessage) -> Action {
        let bytes = message.encode_to_vec();
        let cost = bytes.len() + LINK_OVERHEAD_BYTES;
        self.send_budget.available(now);
        self.send_budget.spend(cost);
        self.counters.bytes += cost as u64;
        Action::Send { to, slot, bytes }
    }
}
