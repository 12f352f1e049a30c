//! Merges the reports of all sources on one endpoint.

use crate::endpoint::ListedEndpoint;
use crate::source::SourceEntry;
use sillward_balancer::ServerState;
use std::time::Duration;

/// Merges reports given in the order of their sources; `None` if there are none.
pub(crate) fn merge(entries: &[&SourceEntry]) -> Option<ListedEndpoint> {
    let newest = newest_start(entries);
    let mut merged = preferred_entry(entries, newest)?.listed;
    merged.endpoint.state = strictest_state(entries);
    merged.endpoint.started_at = newest;
    Some(merged)
}

/// Whether the report refers to an earlier incarnation than another one.
pub(crate) fn is_obsolete(entry: &SourceEntry, entries: &[&SourceEntry]) -> bool {
    entry.incarnation < newest_start(entries)
}

fn newest_start(entries: &[&SourceEntry]) -> Option<Duration> {
    entries
        .iter()
        .filter_map(|entry| entry.listed.endpoint.started_at)
        .max()
}

/// The report that determines the address and attributes: the first that lists the newest incarnation.
fn preferred_entry<'a>(
    entries: &[&'a SourceEntry],
    newest: Option<Duration>,
) -> Option<&'a SourceEntry> {
    let is_listed = |entry: &SourceEntry| !entry.listed.is_removed();
    let is_newest = |entry: &SourceEntry| {
        let started_at = entry.listed.endpoint.started_at;
        started_at.is_none() || started_at == newest
    };
    entries
        .iter()
        .find(|entry| is_listed(entry) && is_newest(entry))
        .or_else(|| entries.iter().find(|entry| is_listed(entry)))
        .or_else(|| entries.first())
        .copied()
}

fn strictest_state(entries: &[&SourceEntry]) -> ServerState {
    let reported = |state: ServerState| {
        entries
            .iter()
            .any(|entry| entry.listed.endpoint.state == state && !is_obsolete(entry, entries))
    };
    if reported(ServerState::Removed) {
        ServerState::Removed
    } else if reported(ServerState::Draining) {
        ServerState::Draining
    } else {
        ServerState::Ready
    }
}
