//! What keys say together of a backend that several of them name.

use sillward_balancer::{ServerId, ServerState};
use sillward_endpoints::MAX_CLOCK_SKEW;
use sillward_forwarding::Backend;
use std::collections::HashMap;

/// Backends, each as the keys that were added give it.
#[derive(Default)]
pub(crate) struct ListedBackends(HashMap<ServerId, Backend>);

impl ListedBackends {
    /// Adds the value of a key, and returns the backend as all keys that were added give it.
    pub(crate) fn add(&mut self, backend: Backend) -> Backend {
        let id = backend.endpoint.id;
        let merged = match self.0.remove(&id) {
            Some(other) => merge(other, backend),
            None => backend,
        };
        self.0.insert(id, merged.clone());
        merged
    }

    /// Forgets all keys.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}

/// Merges the values of two keys. The merged state is as strict as that of either, unless one is known to refer
/// to an earlier incarnation of the backend: then the other one counts alone.
fn merge(first: Backend, second: Backend) -> Backend {
    if precedes(&first, &second) {
        return second;
    }
    if precedes(&second, &first) {
        return first;
    }
    let starts = [&first, &second]
        .into_iter()
        .filter_map(|b| b.endpoint.started_at);
    let started_at = starts.max();
    let mut merged = if strictness(second.endpoint.state) > strictness(first.endpoint.state) {
        second
    } else {
        first
    };
    merged.endpoint.started_at = started_at;
    merged
}

/// Whether both name a start, and the first an earlier one than clocks may account for. A start that is not named is neither
/// earlier nor later.
fn precedes(one: &Backend, other: &Backend) -> bool {
    match (one.endpoint.started_at, other.endpoint.started_at) {
        (Some(start), Some(other_start)) => other_start > start + MAX_CLOCK_SKEW,
        (None, _) | (_, None) => false,
    }
}

fn strictness(state: ServerState) -> u8 {
    match state {
        ServerState::Ready => 0,
        ServerState::Draining => 1,
        ServerState::Removed => 2,
    }
}

#[cfg(test)]
mod tests;
