//! Whoever counts what the node does. It decides nothing and is told nothing that the module is not.

use sillward_balancer::{Outcome, ServerId};
use std::time::Duration;

/// How long an attempt took.
pub struct AttemptTimes {
    /// Since its request was received.
    pub since_request: Duration,
    /// Since it was sent, or the request's last byte was received, whichever is later.
    pub since_sent: Duration,
}

/// Hears what happens in the node's own loop, so it has to be quick.
pub trait NodeObserver {
    /// A call was taken.
    fn request_accepted(&self, now: Duration, class: usize, again: bool);
    /// A call was turned away by the module.
    fn request_rejected(&self, now: Duration, class: usize);
    /// An attempt has ended: so long after its call came, and so long after it was sent.
    fn attempt_ended(
        &self,
        now: Duration,
        class: usize,
        at: ServerId,
        outcome: Outcome,
        times: AttemptTimes,
    );
    /// A backend is probed.
    fn health_check_started(&self, now: Duration, at: ServerId);
}
