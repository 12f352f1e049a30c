//! The merged list, and the updates to it.

use crate::endpoint::ListedEndpoint;
use crate::merge::merge;
use crate::source::{Source, SourceConfig, SourceEntry, SourceStatus};
use sillward_balancer::{ServerId, ServerState};
use std::collections::BTreeMap;
use std::time::Duration;

/// A source, by its place in the order given to [`MergedEndpoints::new`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceId(pub usize);

/// The merged list of all sources. Times are those of one clock, and do not go back. Methods that take a [`SourceId`]
/// panic where there is no such source.
pub struct MergedEndpoints {
    sources: Vec<Source>,
    merged: BTreeMap<ServerId, ListedEndpoint>,
}

impl MergedEndpoints {
    /// An empty list for these sources. Where several list an endpoint, the first gives its address.
    pub fn new(sources: Vec<SourceConfig>) -> Self {
        MergedEndpoints {
            sources: sources.into_iter().map(Source::new).collect(),
            merged: BTreeMap::new(),
        }
    }

    /// A source begins to send its complete list: [`Self::update`] follows with its endpoints, in any number of parts,
    /// then [`Self::finish_resync`].
    pub fn begin_resync(&mut self, source: SourceId, now: Duration) {
        self.sources[source.0].begin_resync(now);
    }

    /// A source sends endpoints, as part of its complete list or as changes. Returns what has changed.
    pub fn update(
        &mut self,
        source: SourceId,
        now: Duration,
        endpoints: &[ListedEndpoint],
    ) -> Vec<ListedEndpoint> {
        self.sources[source.0].touch(now);
        let mut changed = Vec::new();
        for listed in endpoints {
            self.record(source, now, listed);
            changed.extend(self.refresh(listed.endpoint.id));
        }
        changed
    }

    /// A source reports that an endpoint is gone. Returns what has changed: nothing if the source never listed it.
    pub fn remove(&mut self, source: SourceId, now: Duration, id: ServerId) -> Vec<ListedEndpoint> {
        self.sources[source.0].touch(now);
        let Some(entry) = self.sources[source.0].entry(id) else {
            return Vec::new();
        };
        let mut listed = entry.listed;
        listed.endpoint.state = ServerState::Removed;
        self.record(source, now, &listed);
        self.refresh(id).into_iter().collect()
    }

    /// A source has sent its complete list: what its last one had and this one lacks is removed, or withheld by its
    /// guard. Returns what has changed.
    pub fn finish_resync(&mut self, source: SourceId, now: Duration) -> Vec<ListedEndpoint> {
        let resynced = &mut self.sources[source.0];
        resynced.finish_resync(now);
        let missing = resynced.missing();
        let mut changed = Vec::new();
        if resynced.distrusts(&missing) {
            resynced.withhold(&missing, now);
        } else {
            for id in missing {
                changed.extend(self.remove(source, now, id));
            }
        }
        self.sources[source.0].count_withheld();
        changed
    }

    /// A source is connected, and has nothing new.
    pub fn mark_connected(&mut self, source: SourceId, now: Duration) {
        let source = &mut self.sources[source.0];
        source.touch(now);
        source.mark_connected();
    }

    /// A source is disconnected. What it reported stays.
    pub fn mark_disconnected(&mut self, source: SourceId) {
        self.sources[source.0].mark_disconnected();
    }

    /// Applies the removals that were withheld for long enough; to be called now and then. Returns what has changed.
    pub fn apply_due_removals(&mut self, now: Duration) -> Vec<ListedEndpoint> {
        let mut changed = Vec::new();
        for index in 0..self.sources.len() {
            let Some(due) = self.sources[index].due_removals(now) else {
                continue;
            };
            for id in due {
                changed.extend(self.remove(SourceId(index), now, id));
            }
            self.sources[index].count_withheld();
        }
        changed
    }

    /// The merged list, without what is removed.
    pub fn endpoints(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.merged.values().filter(|listed| !listed.is_removed())
    }

    /// The sources' statuses, in their order.
    pub fn source_statuses(&self) -> Vec<SourceStatus> {
        self.sources.iter().map(Source::status).collect()
    }

    /// Each source's report of an endpoint, in their order.
    pub fn source_entries(&self, id: ServerId) -> Vec<Option<SourceEntry>> {
        self.sources
            .iter()
            .map(|source| source.entry(id).copied())
            .collect()
    }

    fn record(&mut self, source: SourceId, now: Duration, listed: &ListedEndpoint) {
        let newest = self
            .sources
            .iter()
            .filter_map(|source| source.entry(listed.endpoint.id)?.listed.endpoint.started_at)
            .max();
        // Without a start time of its own, a report is about the newest incarnation that any source knows of.
        let incarnation = listed.endpoint.started_at.or(newest);
        self.sources[source.0].record(now, listed, incarnation);
    }

    /// Merges the reports of an endpoint again; returns the endpoint if it has changed.
    fn refresh(&mut self, id: ServerId) -> Option<ListedEndpoint> {
        let entries: Vec<&SourceEntry> = self
            .sources
            .iter()
            .filter_map(|source| source.entry(id))
            .collect();
        let merged = merge(&entries)?;
        if entries.iter().all(|entry| entry.listed.is_removed()) {
            self.forget(id);
            return self
                .merged
                .remove(&id)
                .filter(|old| !old.is_removed())
                .map(|_| merged);
        }
        let old = self.merged.insert(id, merged);
        let is_new_but_removed = old.is_none() && merged.is_removed();
        (old != Some(merged) && !is_new_but_removed).then_some(merged)
    }

    /// No source lists the endpoint any more: their reports need not be remembered.
    fn forget(&mut self, id: ServerId) {
        for source in &mut self.sources {
            source.forget(id);
        }
    }
}
