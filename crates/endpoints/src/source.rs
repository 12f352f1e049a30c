//! A source of endpoints: the state of its connection and its report on each endpoint.

use crate::endpoint::ListedEndpoint;
use crate::guard::RemovalGuard;
use crate::incarnation::Incarnation;
use sillward_balancer::ServerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The configuration of a source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceConfig {
    /// The name shown to operators.
    pub name: String,
    /// Limits the removals that a resync may imply; without a guard they take effect at once.
    pub removal_guard: Option<RemovalGuard>,
}

/// The state of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceState {
    /// It has not reported anything yet.
    NeverSynced,
    /// It is sending its complete list.
    Resyncing,
    /// It has sent its complete list and is connected.
    Current,
    /// It is disconnected; its reports remain in effect.
    Disconnected,
}

/// The status of a source, as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceStatus {
    /// The name of the source.
    pub name: String,
    /// The state of the source.
    pub state: SourceState,
    /// When the source last sent anything.
    pub last_heard: Option<Duration>,
    /// The number of endpoints that the source lists.
    pub endpoints: usize,
    /// The number of withheld removals, as of the last resync or check for due removals.
    pub withheld_removals: usize,
}

/// A source's report on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SourceEntry {
    /// The endpoint as the source lists it.
    pub listed: ListedEndpoint,
    /// When this state was first reported.
    pub since: Duration,
    /// Since when the removal of the endpoint is withheld, if it was missing from a complete list.
    pub removal_withheld_since: Option<Duration>,
    /// The incarnation that the report refers to.
    pub incarnation: Incarnation,
    /// When the source sent the report last.
    pub reported_at: Duration,
    /// The number of the last resync that contained the endpoint.
    last_resync: u64,
}

pub(crate) struct Source {
    name: String,
    removal_guard: Option<RemovalGuard>,
    state: SourceState,
    last_heard: Option<Duration>,
    entries: BTreeMap<ServerId, SourceEntry>,
    /// The number of the current resync, or of the last one if none is in progress.
    resync_number: u64,
    withheld_removals: usize,
}

impl Source {
    pub(crate) fn new(config: SourceConfig) -> Self {
        Source {
            name: config.name,
            removal_guard: config.removal_guard,
            state: SourceState::NeverSynced,
            last_heard: None,
            entries: BTreeMap::new(),
            resync_number: 0,
            withheld_removals: 0,
        }
    }

    pub(crate) fn status(&self) -> SourceStatus {
        SourceStatus {
            name: self.name.clone(),
            state: self.state,
            last_heard: self.last_heard,
            endpoints: self.listed_count(),
            withheld_removals: self.withheld_removals,
        }
    }

    pub(crate) fn entry(&self, id: ServerId) -> Option<&SourceEntry> {
        self.entries.get(&id)
    }

    pub(crate) fn remove_entry(&mut self, id: ServerId) {
        self.entries.remove(&id);
    }

    pub(crate) fn begin_resync(&mut self, now: Duration) {
        self.resync_number += 1;
        self.state = SourceState::Resyncing;
        self.last_heard = Some(now);
    }

    pub(crate) fn finish_resync(&mut self, now: Duration) {
        self.state = SourceState::Current;
        self.last_heard = Some(now);
    }

    pub(crate) fn mark_heard(&mut self, now: Duration) {
        self.last_heard = Some(now);
    }

    pub(crate) fn mark_connected(&mut self) {
        if self.state == SourceState::Disconnected {
            self.state = SourceState::Current;
        }
    }

    pub(crate) fn mark_disconnected(&mut self) {
        if self.state != SourceState::NeverSynced {
            self.state = SourceState::Disconnected;
        }
    }

    /// Records a report that was received at `now`.
    pub(crate) fn record(&mut self, now: Duration, listed: &ListedEndpoint) {
        let id = listed.endpoint.id;
        let old = self.entries.get(&id);
        let is_repeated = |old: &&SourceEntry| {
            let before = old.listed.endpoint;
            before.state == listed.endpoint.state && before.started_at == listed.endpoint.started_at
        };
        let since = old.filter(is_repeated).map_or(now, |old| old.since);
        let previous = old.map(|old| old.incarnation);
        let entry = SourceEntry {
            listed: *listed,
            since,
            removal_withheld_since: None,
            incarnation: Incarnation::of_report(listed.endpoint.started_at, now, previous),
            reported_at: now,
            last_resync: self.resync_number,
        };
        self.entries.insert(id, entry);
    }

    /// The listed endpoints that were missing from the resync that has just finished.
    pub(crate) fn missing(&self) -> Vec<ServerId> {
        self.entries
            .iter()
            .filter(|(_, entry)| {
                !entry.listed.is_removed() && entry.last_resync != self.resync_number
            })
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether the guard withholds the removal of these endpoints.
    pub(crate) fn withholds_removal(&self, missing: &[ServerId]) -> bool {
        let listed = self.listed_count();
        self.removal_guard
            .is_some_and(|guard| guard.withholds(missing.len(), listed))
    }

    /// Withholds the removal of these endpoints from `now` on; a removal already withheld keeps its start time.
    pub(crate) fn withhold(&mut self, missing: &[ServerId], now: Duration) {
        for id in missing {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.removal_withheld_since.get_or_insert(now);
            }
        }
    }

    /// The endpoints whose removal has been withheld for the guard's delay. Only a current source can confirm removals,
    /// and removals of its whole list stay withheld. `None` if there is nothing to check.
    pub(crate) fn due_removals(&self, now: Duration) -> Option<Vec<ServerId>> {
        let guard = self.removal_guard?;
        let is_current = self.state == SourceState::Current;
        if self.withheld_removals == 0
            || !is_current
            || self.withheld_removals >= self.listed_count()
        {
            return None;
        }
        let is_due = |entry: &SourceEntry| {
            entry
                .removal_withheld_since
                .is_some_and(|since| now >= since + guard.delay)
        };
        let due = self.entries.iter().filter(|(_, entry)| is_due(entry));
        Some(due.map(|(id, _)| *id).collect())
    }

    pub(crate) fn update_withheld_count(&mut self) {
        self.withheld_removals = self
            .entries
            .values()
            .filter(|entry| entry.removal_withheld_since.is_some())
            .count();
    }

    fn listed_count(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| !entry.listed.is_removed())
            .count()
    }
}
