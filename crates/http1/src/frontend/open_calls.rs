//! The calls without a final response yet, by their `X-Call-Id`.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;

/// The identifiers of all open calls.
pub(super) type OpenCalls = RefCell<HashSet<HeaderValue>>;

/// Keeps a call registered as open until it is dropped.
pub(super) struct OpenCall<'a> {
    open_calls: &'a OpenCalls,
    id: HeaderValue,
}

impl<'a> OpenCall<'a> {
    /// Registers a call; `None` if one with this identifier is open.
    pub(super) fn register(open_calls: &'a OpenCalls, id: &HeaderValue) -> Option<Self> {
        let is_new = open_calls.borrow_mut().insert(id.clone());
        is_new.then(|| OpenCall {
            open_calls,
            id: id.clone(),
        })
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.open_calls.borrow_mut().remove(&self.id);
    }
}
