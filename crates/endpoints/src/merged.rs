//! The merged endpoint list.

use crate::endpoint::ListedEndpoint;
use crate::merge::{is_obsolete, merge};
use crate::source::{Source, SourceConfig, SourceEntry, SourceStatus};
use crate::unlisted::UnlistedEndpoints;
use sillward_balancer::{ServerId, ServerState};
use std::collections::BTreeMap;
use std::time::Duration;

/// The index of a source in the list passed to [`MergedEndpoints::new`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceId(pub usize);

/// The merged endpoint list of all sources. All times must come from the same monotonic clock. Methods that take a
/// [`SourceId`] panic if there is no such source.
pub struct MergedEndpoints {
    sources: Vec<Source>,
    merged: BTreeMap<ServerId, ListedEndpoint>,
    unlisted: UnlistedEndpoints,
}

impl MergedEndpoints {
    /// Creates an empty list. If several sources list an endpoint, the first of them in this order determines its
    /// address.
    pub fn new(sources: Vec<SourceConfig>) -> Self {
        MergedEndpoints {
            sources: sources.into_iter().map(Source::new).collect(),
            merged: BTreeMap::new(),
            unlisted: UnlistedEndpoints::default(),
        }
    }

    /// Starts a resync, in which a source sends its complete list: any number of calls of [`Self::update`] follow, then
    /// [`Self::finish_resync`].
    pub fn begin_resync(&mut self, source: SourceId, now: Duration) {
        self.sources[source.0].begin_resync(now);
    }

    /// Applies endpoints that a source sent, as part of its complete list or as changes. Each counts as reported at
    /// `now`, also if the source reported the same before: a list says what holds when it is sent. Returns the merged
    /// endpoints that changed.
    pub fn update(
        &mut self,
        source: SourceId,
        now: Duration,
        endpoints: &[ListedEndpoint],
    ) -> Vec<ListedEndpoint> {
        self.sources[source.0].mark_heard(now);
        let mut changed = Vec::new();
        for listed in endpoints {
            self.sources[source.0].record(now, listed);
            changed.extend(self.remerge(listed.endpoint.id, now));
        }
        changed
    }

    /// Applies a source's report that an endpoint was removed. Returns the merged endpoints that changed: none if the
    /// source never listed this one.
    pub fn remove(&mut self, source: SourceId, now: Duration, id: ServerId) -> Vec<ListedEndpoint> {
        self.sources[source.0].mark_heard(now);
        let Some(entry) = self.sources[source.0].entry(id) else {
            return Vec::new();
        };
        let mut listed = entry.listed;
        listed.endpoint.state = ServerState::Removed;
        self.sources[source.0].record(now, &listed);
        self.remerge(id, now).into_iter().collect()
    }

    /// Finishes a resync: endpoints that the source listed before and that are missing now are removed, unless the
    /// source's guard withholds the removal. Returns the merged endpoints that changed.
    pub fn finish_resync(&mut self, source: SourceId, now: Duration) -> Vec<ListedEndpoint> {
        let resynced = &mut self.sources[source.0];
        resynced.finish_resync(now);
        let missing = resynced.missing();
        let mut changed = Vec::new();
        if resynced.withholds_removal(&missing) {
            resynced.withhold(&missing, now);
        } else {
            for id in missing {
                changed.extend(self.remove(source, now, id));
            }
        }
        self.sources[source.0].update_withheld_count();
        changed
    }

    /// Records that a source is connected and has nothing new to report.
    pub fn mark_connected(&mut self, source: SourceId, now: Duration) {
        let source = &mut self.sources[source.0];
        source.mark_heard(now);
        source.mark_connected();
    }

    /// Records that a source is disconnected. Its reports remain in effect.
    pub fn mark_disconnected(&mut self, source: SourceId) {
        self.sources[source.0].mark_disconnected();
    }

    /// Applies the removals that have been withheld for the guard's delay; call it periodically. Returns the merged
    /// endpoints that changed.
    pub fn apply_due_removals(&mut self, now: Duration) -> Vec<ListedEndpoint> {
        let mut changed = Vec::new();
        for index in 0..self.sources.len() {
            let Some(due) = self.sources[index].due_removals(now) else {
                continue;
            };
            for id in due {
                changed.extend(self.remove(SourceId(index), now, id));
            }
            self.sources[index].update_withheld_count();
        }
        changed
    }

    /// The merged list, without removed endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.merged.values().filter(|listed| !listed.is_removed())
    }

    /// The status of each source, in the order of the sources.
    pub fn source_statuses(&self) -> Vec<SourceStatus> {
        self.sources.iter().map(Source::status).collect()
    }

    /// The report of each source on an endpoint, in the order of the sources.
    pub fn source_entries(&self, id: ServerId) -> Vec<Option<SourceEntry>> {
        self.sources
            .iter()
            .map(|source| source.entry(id).copied())
            .collect()
    }

    /// Whether a report of [`Self::source_entries`] has no effect on the state, because it is known to refer to an
    /// earlier incarnation of the endpoint than another source's report.
    pub fn is_obsolete(&self, entry: &SourceEntry) -> bool {
        is_obsolete(entry, &self.entries(entry.listed.endpoint.id))
    }

    /// The reports on an endpoint.
    fn entries(&self, id: ServerId) -> Vec<&SourceEntry> {
        self.sources
            .iter()
            .filter_map(|source| source.entry(id))
            .collect()
    }

    /// Merges the reports on an endpoint again and returns the merged endpoint if it changed.
    fn remerge(&mut self, id: ServerId, now: Duration) -> Option<ListedEndpoint> {
        let entries = self.entries(id);
        let merged = merge(&entries)?;
        if entries.iter().all(|entry| entry.listed.is_removed()) {
            if let Some(oldest) = self.unlisted.insert(id, now) {
                self.drop_reports(oldest);
            }
            return self
                .merged
                .remove(&id)
                .filter(|old| !old.is_removed())
                .map(|_| merged);
        }
        self.unlisted.remove(id);
        let old = self.merged.insert(id, merged);
        let is_new_but_removed = old.is_none() && merged.is_removed();
        (old != Some(merged) && !is_new_but_removed).then_some(merged)
    }

    /// Drops all reports on an endpoint.
    fn drop_reports(&mut self, id: ServerId) {
        for source in &mut self.sources {
            source.remove_entry(id);
        }
    }
}
