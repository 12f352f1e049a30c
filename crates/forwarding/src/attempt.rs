//! Attempts: single sends of a request to a backend.

use crate::{Call, Payload, ResponseStarted};
use bytes::Bytes;
use sillward_balancer::{LoadReport, Outcome, RequestId, ServerId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// An attempt for a back-end protocol to make.
pub struct Attempt {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, in the order of sending, from 0.
    pub number: u32,
    /// The backend that the request is sent to.
    pub server: ServerId,
    /// When the attempt times out.
    pub deadline: Duration,
    /// The request in protocol-neutral form, shared by all its attempts.
    pub call: Rc<Call>,
    /// Receives the first bytes of a streamed response. The attempt continues until the whole response was forwarded.
    pub response_started: Cell<Option<oneshot::Sender<ResponseStarted>>>,
}

/// Why an attempt is stopped before it ends.
pub enum StopReason {
    /// The attempt has reached its deadline.
    TimedOut,
    /// The decision module has cancelled the attempt.
    Cancelled,
}

/// The result of an exchange with a backend.
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

/// Runs an exchange until it ends or is stopped. `may_have_run` is called when the exchange is stopped, and returns
/// whether the backend may have started to process the request.
///
/// Stopping drops the exchange, which closes its connection. The attempt keeps its claim on the call.
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
        // The client expects no response and the request may have run. Reporting it as served prevents a retry.
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
