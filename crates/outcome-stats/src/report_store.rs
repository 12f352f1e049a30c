//! The newest known report of each node or group. Inserting reports twice or in another order changes nothing.

use crate::counts::Counts;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A time of this node's monotonic clock in microseconds, signed because events at other nodes may precede its origin.
pub(crate) fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

/// The report of a node or a group.
#[derive(Clone, Debug)]
pub struct Report {
    /// The number of windows closed in its incarnation.
    pub version: u64,
    /// The earliest time at which its last window can have ended.
    pub(crate) ended_us: i64,
    /// The total length of its windows.
    pub span: Duration,
    /// The counts.
    pub counts: Rc<Counts>,
    /// The encoded counts, forwarded unchanged.
    pub encoded: Rc<[u8]>,
    /// The number of nodes in the group; 1 for a node's own report.
    pub group_size: f64,
    /// The weighted number of nodes whose reports it contains; 1 for a node's own report.
    pub represented: f64,
    /// The share of the group's calls at the node with the most calls; 1 for a node's own report.
    pub largest_share: f64,
    /// The sequence number of its arrival at this node.
    pub(crate) arrival: u64,
}

impl Report {
    /// The maximum age of the report.
    pub fn age(&self, now: Duration) -> Duration {
        Duration::from_micros(micros(now).saturating_sub(self.ended_us).max(0) as u64)
    }
}

/// The newest reports, by origin.
#[derive(Debug)]
pub struct ReportStore<K> {
    reports: BTreeMap<K, Report>,
    by_arrival: BTreeMap<u64, K>,
    arrivals: u64,
    max_reports: usize,
}

impl<K: Ord + Clone> ReportStore<K> {
    /// An empty store.
    pub fn new(max_reports: usize) -> Self {
        ReportStore {
            reports: BTreeMap::new(),
            by_arrival: BTreeMap::new(),
            arrivals: 0,
            max_reports,
        }
    }

    /// Inserts a report if it is newer than the known one. For the same version, the lower age bound
    /// is kept. Returns false if the report is not newer or the store is full.
    pub fn insert(&mut self, key: K, report: Report) -> bool {
        let has_capacity = self.reports.len() < self.max_reports;
        match self.reports.get_mut(&key) {
            Some(known) if known.version > report.version => return false,
            Some(known) if known.version == report.version => {
                known.ended_us = known.ended_us.max(report.ended_us);
                return false;
            }
            Some(known) => drop(self.by_arrival.remove(&known.arrival)),
            None if !has_capacity => return false,
            None => {}
        }
        self.arrivals += 1;
        self.by_arrival.insert(self.arrivals, key.clone());
        let report = Report {
            arrival: self.arrivals,
            ..report
        };
        self.reports.insert(key, report);
        true
    }

    /// Keeps only the reports for which `is_wanted` holds.
    pub fn retain(&mut self, is_wanted: impl Fn(&K, &Report) -> bool) {
        let by_arrival = &mut self.by_arrival;
        self.reports.retain(|key, report| {
            let keep = is_wanted(key, report);
            if !keep {
                by_arrival.remove(&report.arrival);
            }
            keep
        });
    }

    /// All reports, by key.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &Report)> {
        self.reports.iter()
    }

    /// The report of that key.
    pub fn get(&self, key: &K) -> Option<&Report> {
        self.reports.get(key)
    }

    /// The reports that arrived after the given arrival number, most recent first.
    pub fn arrived_after(&self, arrival: u64) -> impl Iterator<Item = (&K, &Report)> {
        let later = self.by_arrival.range(arrival.saturating_add(1)..).rev();
        later.filter_map(|(_, key)| self.reports.get(key).map(|report| (key, report)))
    }

    /// The number of reports.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether the store is empty.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// The total number of reports inserted so far, which is the last arrival number.
    pub fn arrivals(&self) -> u64 {
        self.arrivals
    }
}
