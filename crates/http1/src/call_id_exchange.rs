//! What the frontend asks of the other process of its node.

use hyper::header::HeaderValue;

/// Tells the other process of this node, if there is one, which calls that must not run twice are open here, and knows those
/// that are open there.
pub trait CallIdExchange {
    /// Tells of a call that is to be opened. Returns whether it may be: no other process has its identifier in use.
    fn try_open(&self, id: &HeaderValue) -> bool;

    /// Tells that the identifier of an opened call is no longer in use.
    fn close(&self, id: &HeaderValue);
}

/// Of a node that no other process replaces.
pub struct NoOtherProcess;

impl CallIdExchange for NoOtherProcess {
    fn try_open(&self, _id: &HeaderValue) -> bool {
        true
    }

    fn close(&self, _id: &HeaderValue) {}
}
