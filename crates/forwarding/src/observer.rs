//! Observes what the node does, for statistics.

use sillward_balancer::{Outcome, ServerId};
use std::time::Duration;

/// How long an attempt took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTimes {
    /// Since its request was received.
    pub since_request: Duration,
    /// Since it was sent, or since the request's last byte if that was received later.
    pub since_sent: Duration,
}

/// An observer of the node. It decides nothing. Its methods are called in the node's event loop and must be quick.
pub trait NodeObserver {
    /// A request was accepted. `is_retry`: the client says that it retries an earlier one.
    fn request_accepted(&self, now: Duration, class: usize, is_retry: bool);

    /// The decision module has rejected a request.
    fn request_rejected(&self, now: Duration, class: usize);

    /// An attempt has ended.
    fn attempt_ended(
        &self,
        now: Duration,
        class: usize,
        server: ServerId,
        outcome: Outcome,
        times: AttemptTimes,
    );

    /// A health check was started.
    fn health_check_started(&self, now: Duration, server: ServerId);
}
