//! The requests of a node, and how many of them are held back.

use super::request::Request;
use crate::ids::RequestId;
use std::collections::BTreeMap;

/// All requests that are owed an answer, or some of whose attempts are in flight.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    /// Number of requests that are held back.
    waiting: usize,
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

    /// Number of requests that are held back.
    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Notes whether a request is held back.
    pub(super) fn set_waiting(&mut self, id: RequestId, waiting: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut request.waiting, waiting);
        self.waiting = self.waiting + usize::from(waiting) - usize::from(before);
    }
}
