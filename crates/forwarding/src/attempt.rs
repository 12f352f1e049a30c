//! Attempts to have a request served by a backend.

use crate::{Call, Payload, ResponseStarted};
use bytes::Bytes;
use sillward_balancer::{LoadReport, Outcome, RequestId, ServerId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// An attempt to be made.
pub struct Attempt {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, in the order of sending, from 0.
    pub number: u32,
    /// The backend.
    pub server: ServerId,
    /// When the node stops waiting for it.
    pub deadline: Duration,
    /// What is sent.
    pub call: Rc<Call>,
    /// Where the first bytes of a streamed response go. The attempt goes on until all of the response was forwarded.
    pub response_started: Cell<Option<oneshot::Sender<ResponseStarted>>>,
}

/// Why an attempt is stopped.
pub enum StopReason {
    /// Its deadline has passed.
    TimedOut,
    /// The decision module has cancelled it.
    Cancelled,
}

/// What an exchange with a backend came to.
pub struct Exchange {
    /// How it ended.
    pub outcome: Outcome,
    /// The load that the backend reported, if it did.
    pub report: Option<LoadReport>,
    /// The response, if the request was served.
    pub response: Option<Payload>,
}

impl Exchange {
    /// An exchange without a response.
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
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, in the order of sending, from 0.
    pub number: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The load that the backend reported, if it did.
    pub report: Option<LoadReport>,
    /// The response, if the request was served and the response was not streamed.
    pub response: Option<Payload>,
}

/// Runs an exchange until it ends or is stopped. `may_have_run` is asked when it is stopped: whether the backend may
/// have begun with the request.
///
/// Stopping drops the exchange, which closes its connection; the attempt's claim on the call stays.
pub async fn run_attempt(
    attempt: &Attempt,
    may_have_run: impl Fn() -> bool,
    exchange: impl Future<Output = Exchange>,
    stopped: oneshot::Receiver<StopReason>,
) -> AttemptResult {
    let mut exchange = tokio::select! {
        biased;
        ended = exchange => ended,
        reason = stopped => Exchange::from(match reason {
            _ if !may_have_run() => Outcome::NotSent,
            Ok(StopReason::TimedOut) => Outcome::TimedOut,
            Ok(StopReason::Cancelled) | Err(_) => Outcome::Cancelled,
        }),
    };
    if !attempt.call.expects_response && !exchange.outcome.never_ran() {
        // Nobody waits for a response, and the request may have run: it gets no further attempt.
        exchange.outcome = Outcome::Served;
        exchange
            .response
            .get_or_insert_with(|| Payload::plain(Bytes::new()));
    }
    AttemptResult {
        id: attempt.id,
        number: attempt.number,
        outcome: exchange.outcome,
        report: exchange.report,
        response: exchange.response,
    }
}
