//! The open requests of a node, and how many of them are held.

use super::request::Request;
use crate::ids::RequestId;
use std::collections::BTreeMap;

/// All requests that are owed a final response or have attempts in flight.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    /// Number of held requests.
    held: usize,
}

impl RequestTable {
    pub(super) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    pub(super) fn all_mut(&mut self) -> impl Iterator<Item = &mut Request> {
        self.requests.values_mut()
    }

    pub(super) fn insert(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    /// Number of held requests.
    pub(super) fn held_count(&self) -> usize {
        self.held
    }

    /// Records whether a request is held.
    pub(super) fn set_held(&mut self, id: RequestId, held: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut request.held, held);
        self.held = self.held + usize::from(held) - usize::from(before);
    }
}
