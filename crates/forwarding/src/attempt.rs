//! Attempts and probes, and what a backend protocol is to the node.

use crate::{BackendUpdate, BodyStream, Call, Payload};
use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{LoadReport, Outcome, RequestId, ServerId};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Work that a backend protocol does for the node.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// A backend protocol.
pub trait BackendProtocol {
    /// Makes an attempt, until it ends or is stopped. Says [`Outcome::never_ran`] only of what never can have.
    fn attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
    ) -> LocalBoxFuture<AttemptResult>;
    /// Asks a backend for its load, or for a sign of life, within [`crate::HEALTH_CHECK_TIMEOUT`].
    fn health_check(self: Rc<Self>, server: ServerId) -> LocalBoxFuture<HealthCheckReply>;
    /// Takes in news of the list: addresses, and when a backend was told to drain or to be gone.
    fn update_backends(&self, update: &BackendUpdate, now: Duration);
    /// Takes in new settings.
    fn apply_settings(&self, settings: &PlatformSettings);
    /// Closes idle connections to a backend.
    fn close_idle(&self, server: ServerId);
}

/// An attempt to be made.
pub struct Attempt {
    pub id: RequestId,
    pub number: u32,
    pub server: ServerId,
    /// When the node stops waiting for it.
    pub deadline: Duration,
    pub call: Rc<Call>,
    /// The way for a long answer whose first bytes are there. The attempt goes on until all of it has gone through.
    pub response_started: Cell<Option<oneshot::Sender<ResponseStarted>>>,
}

/// The first bytes of a long answer.
pub struct ResponseStarted {
    pub id: RequestId,
    pub number: u32,
    /// What is there, and bytes in all where that is known.
    pub payload: Payload,
    pub length: Option<u64>,
    pub report: Option<LoadReport>,
    pub rest: Box<dyn BodyStream>,
}

/// Why an attempt is stopped.
pub enum StopReason {
    TimedOut,
    Cancelled,
}

/// What an exchange with a backend came to; with its answer if it was served.
pub struct Exchange {
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    pub response: Option<Payload>,
}

impl Exchange {
    /// Without a response.
    pub fn failed(outcome: Outcome, report: Option<LoadReport>) -> Self {
        Exchange {
            outcome,
            report,
            response: None,
        }
    }
}

impl From<Outcome> for Exchange {
    fn from(outcome: Outcome) -> Self {
        Exchange::failed(outcome, None)
    }
}

/// How an attempt ended.
pub struct AttemptResult {
    pub id: RequestId,
    pub number: u32,
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    /// The answer, if it was served.
    pub response: Option<Payload>,
}

/// What a health check came to.
pub struct HealthCheckReply {
    /// How it ended.
    pub outcome: Outcome,
    /// The load that the backend reported, if it did.
    pub report: Option<LoadReport>,
}

impl From<Outcome> for HealthCheckReply {
    fn from(outcome: Outcome) -> Self {
        HealthCheckReply {
            outcome,
            report: None,
        }
    }
}

/// How a health check ended.
pub struct HealthCheckResult {
    pub server: ServerId,
    pub outcome: Outcome,
    pub sent_at: Duration,
    pub report: Option<LoadReport>,
}

/// Lets an exchange run until it ends or is stopped. `written` tells whether it may have run by then.
pub async fn run_attempt(
    attempt: &Attempt,
    written: impl Fn() -> bool,
    exchange: impl Future<Output = Exchange>,
    stopped: oneshot::Receiver<StopReason>,
) -> AttemptResult {
    let Exchange {
        mut outcome,
        report,
        mut response,
    } = tokio::select! {
        biased;
        ended = exchange => ended,
        // The exchange is dropped, and its connection closes.
        stop = stopped => Exchange::from(match stop {
            _ if !written() => Outcome::NotSent,
            // Its claim on the call stays: it may run, or may yet.
            Ok(StopReason::TimedOut) => Outcome::TimedOut,
            Ok(StopReason::Cancelled) | Err(_) => Outcome::Cancelled,
        }),
    };
    if !attempt.call.expects_response && !outcome.never_ran() {
        // Nobody waits for what it comes to, and it may have run: that is its one attempt.
        outcome = Outcome::Served;
        response = Some(response.unwrap_or(Payload::plain(bytes::Bytes::new())));
    }
    AttemptResult {
        id: attempt.id,
        number: attempt.number,
        outcome,
        report,
        response,
    }
}
