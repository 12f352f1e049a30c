//! Observation of requests and attempts, for statistics.

use sillward_balancer::{Outcome, ServerId};
use std::time::Duration;

/// The duration of an attempt until its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTimes {
    /// The time since the request was received.
    pub since_request: Duration,
    /// The time since the attempt was sent, or since the last byte of the request if that was received later.
    pub since_sent: Duration,
}

/// An observer of the node, without influence on decisions. Its methods run in the node's event loop and must not block.
pub trait NodeObserver {
    /// A request was accepted. `is_retry` is true if the client marked it as a retry of an earlier request.
    fn request_accepted(&self, now: Duration, class: usize, is_retry: bool);

    /// A request was rejected by the decision module.
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
