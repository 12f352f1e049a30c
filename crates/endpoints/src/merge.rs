//! Merges the reports of all sources on one endpoint.
//!
//! The invariant: the merged state is never less strict than the last report of any source, unless that report is known
//! to refer to an earlier incarnation of the endpoint than another source's last report.

use crate::endpoint::ListedEndpoint;
use crate::source::SourceEntry;
use sillward_balancer::ServerState;

/// Merges reports given in the order of their sources; `None` if there are none.
pub(crate) fn merge(entries: &[&SourceEntry]) -> Option<ListedEndpoint> {
    let mut merged = preferred_entry(entries)?.listed;
    merged.endpoint.state = strictest_state(entries);
    merged.endpoint.started_at = entries
        .iter()
        .filter_map(|entry| entry.listed.endpoint.started_at)
        .max();
    Some(merged)
}

/// Whether another report refers to an incarnation that is known to be later.
pub(crate) fn is_obsolete(entry: &SourceEntry, entries: &[&SourceEntry]) -> bool {
    entries
        .iter()
        .any(|other| entry.incarnation.is_known_to_precede(other.incarnation))
}

/// The report that determines the address and attributes: the first that lists the endpoint and is not obsolete.
fn preferred_entry<'a>(entries: &[&'a SourceEntry]) -> Option<&'a SourceEntry> {
    let is_listed = |entry: &SourceEntry| !entry.listed.is_removed();
    entries
        .iter()
        .find(|entry| is_listed(entry) && !is_obsolete(entry, entries))
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
