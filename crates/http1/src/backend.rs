//! The client for backends that speak HTTP/1.1: attempts and health checks.

mod request;
mod response;
mod session;
mod streaming;

pub use session::{Http1, Session};

use crate::outgoing_body::{OutgoingBody, WriteProgress};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response};
use request::{CallRequest, health_check_request};
use response::{LongResponses, ReceivedBody, ReceivedResponse, transport_failure};
use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{LoadReport, Outcome, ServerId};
use sillward_forwarding::{
    Attempt, AttemptResult, BackendProtocol, BackendUpdate, Call, Exchange, HEALTH_CHECK_TIMEOUT,
    HealthCheckResponse, LoadReportParser, LocalBoxFuture, MemoryBudget, Payload, PayloadFormat,
    StopReason, run_attempt,
};
use sillward_logging::log_peer;
use sillward_metrics::Counters;
use sillward_pool::{Connection, Pool, PoolTimeouts};
use sillward_runtime::time::timeout;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The number of connections in a row that may fail before a request is written to them. Then the attempt has failed to
/// connect.
const MAX_FAILED_CONNECTIONS: usize = 4;

/// The progress of an attempt.
#[derive(Default)]
enum AttemptState {
    /// The call is not claimed: nothing was written.
    #[default]
    Unclaimed,
    /// The call is claimed: its request is being written, or has been.
    Claimed(Rc<WriteProgress>),
}

impl AttemptState {
    /// Whether a backend may have run the request, which requires that its last byte was written.
    fn may_have_run(&self) -> bool {
        match self {
            AttemptState::Unclaimed => false,
            AttemptState::Claimed(progress) => progress.is_complete(),
        }
    }

    fn is_claimed(&self) -> bool {
        matches!(self, AttemptState::Claimed(_))
    }
}

/// The client for all backends that speak HTTP/1.1.
pub struct BackendClient {
    pool: Rc<Pool<Http1>>,
    /// The memory for bodies of requests and responses.
    budget: MemoryBudget,
    load_reports: LoadReportParser,
    counters: Rc<Counters>,
}

impl BackendProtocol for BackendClient {
    fn attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
    ) -> LocalBoxFuture<AttemptResult> {
        Box::pin(async move {
            let state = RefCell::<AttemptState>::default();
            let result = run_attempt(
                &attempt,
                || state.borrow().may_have_run(),
                self.exchange(&attempt, &state),
                stopped,
            )
            .await;
            if result.outcome.never_ran() && state.borrow().is_claimed() {
                attempt.call.release_claim();
            }
            result
        })
    }

    fn health_check(self: Rc<Self>, server: ServerId) -> LocalBoxFuture<HealthCheckResponse> {
        Box::pin(async move {
            timeout(HEALTH_CHECK_TIMEOUT, self.check_health(server))
                .await
                .unwrap_or(HealthCheckResponse::from(Outcome::TimedOut))
        })
    }

    fn update_backends(&self, update: &BackendUpdate, now: Duration) {
        self.pool.update_backends(update, now);
    }

    fn apply_settings(&self, settings: &PlatformSettings) {
        self.pool
            .set_timeouts(PoolTimeouts::from_settings(settings));
    }

    fn close_idle(&self, server: ServerId) {
        self.pool.close_idle(server);
    }
}

impl BackendClient {
    /// A client that takes connections from `pool` and the memory for bodies from `budget`.
    pub fn new(
        pool: Rc<Pool<Http1>>,
        budget: MemoryBudget,
        load_reports: LoadReportParser,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        Rc::new(BackendClient {
            pool,
            budget,
            load_reports,
            counters,
        })
    }

    /// Sends an attempt's request and receives the response. A request that was not written is sent again over another
    /// connection: a failed connection does not mean that the backend is down.
    async fn exchange(
        self: &Rc<Self>,
        attempt: &Attempt,
        state: &RefCell<AttemptState>,
    ) -> Exchange {
        for _ in 0..MAX_FAILED_CONNECTIONS {
            let mut connection = match self.pool.acquire(attempt.server).await {
                Ok(connection) => connection,
                Err(outcome) => return Exchange::from(outcome),
            };
            if connection.session.sender.ready().await.is_err() {
                continue;
            }
            let progress = connection.session.progress.clone();
            let Some(request) = self.claim_and_build_request(attempt, &progress) else {
                self.pool.release_unused(connection);
                return Exchange::from(Outcome::NotSent);
            };
            state.replace(AttemptState::Claimed(progress.clone()));
            let mut error = match connection.session.sender.try_send_request(request).await {
                Ok(response) => return self.receive(attempt, connection, response).await,
                Err(error) => error,
            };
            // Dropping an unsent request returns its body to the call, so it is kept until the call's body has been checked.
            let unsent_request = error.take_message();
            let never_ran = unsent_request.is_some() || !progress.is_complete();
            if never_ran && !attempt.call.is_body_consumed() {
                attempt.call.release_claim();
                state.replace(AttemptState::Unclaimed);
                continue;
            }
            if !progress.is_complete() {
                // A long body that was not written completely is no evidence against the backend.
                return Exchange::from(Outcome::NotSent);
            }
            return Exchange::from(transport_failure(error.error()));
        }
        Exchange::from(Outcome::ConnectFailed)
    }

    /// Builds the attempt's request if it may still be sent. Since the attempt was decided on, its deadline, the backend's
    /// drain grace or the idempotency window may have ended, or the call may have received its final response.
    fn claim_and_build_request(
        &self,
        attempt: &Attempt,
        progress: &Rc<WriteProgress>,
    ) -> Option<Request<OutgoingBody>> {
        let now = self.pool.clock.now();
        let call = &attempt.call;
        let address = self.pool.usable_address(attempt.server)?;
        let request = CallRequest::new(call)?;
        if call.is_body_consumed() || !call.claim(now, attempt.deadline) {
            return None;
        }
        // The time budget of a request whose body is still being received starts at the last byte of the body.
        let time_budget = match &call.streaming_body {
            Some(body) => body.time_budget,
            None => attempt.deadline - now,
        };
        let body = OutgoingBody::of_call(call, progress.clone(), self.counters.clone());
        Some(request.into_http(address, time_budget, body))
    }

    /// Receives the response to an attempt. A long response is streamed to the client if the call permits it.
    async fn receive(
        self: &Rc<Self>,
        attempt: &Attempt,
        connection: Connection<Http1>,
        response: Response<Incoming>,
    ) -> Exchange {
        let long_responses = LongResponses::of_call(&attempt.call);
        let ReceivedResponse {
            outcome,
            report,
            body,
        } = self
            .read_response(attempt.server, long_responses, response)
            .await;
        let is_written = connection.session.progress.is_complete();
        if outcome == Outcome::Served && !is_written {
            log_peer(format_args!(
                "server {:x}: dropped a response that arrived before its request was completely sent",
                attempt.server.0
            ));
            return Exchange::failed(Outcome::NotSent, report);
        }
        let body = match body {
            Some(ReceivedBody::Partial {
                first,
                length,
                rest,
            }) => {
                let streamed =
                    self.stream_response(attempt, connection, first, length, rest, report);
                return Exchange::from(streamed.await);
            }
            Some(ReceivedBody::Complete(bytes)) => {
                // A connection whose response arrived before its request was completely sent cannot be reused.
                if is_written {
                    self.pool.release(connection);
                }
                Some(bytes)
            }
            None => None,
        };
        validated_exchange(attempt, outcome, report, body)
    }

    async fn check_health(self: &Rc<Self>, server: ServerId) -> HealthCheckResponse {
        let mut connection = match self.pool.acquire(server).await {
            Ok(connection) => connection,
            Err(outcome) => return HealthCheckResponse::from(outcome),
        };
        let body = OutgoingBody::empty(connection.session.progress.clone());
        let reports_enabled = self.load_reports.is_enabled();
        let Some(address) = self.pool.usable_address(server) else {
            return HealthCheckResponse::from(Outcome::NotSent);
        };
        let request = health_check_request(address, reports_enabled, body);
        let response = match connection.session.sender.send_request(request).await {
            Ok(response) => response,
            Err(error) => return HealthCheckResponse::from(transport_failure(&error)),
        };
        let received = self
            .read_response(server, LongResponses::Dropped, response)
            .await;
        let Some(ReceivedBody::Complete(body)) = received.body else {
            return HealthCheckResponse {
                outcome: received.outcome,
                report: received.report,
            };
        };
        self.pool.release(connection);
        let report_in_body = if reports_enabled && received.outcome == Outcome::Served {
            self.parse_report(&body)
        } else {
            None
        };
        HealthCheckResponse {
            outcome: received.outcome,
            report: report_in_body.or(received.report),
        }
    }

    fn parse_report(&self, body: &[u8]) -> Option<LoadReport> {
        let text = std::str::from_utf8(body).ok()?;
        self.load_reports.parse(text)
    }
}

impl LongResponses {
    /// Whether a call's long responses can be streamed. A response validator needs the complete response.
    fn of_call(call: &Call) -> Self {
        let can_stream = call.response_validator.is_none()
            && call.payload.format == PayloadFormat::PLAIN
            && call.expects_response;
        if can_stream {
            LongResponses::Streamed
        } else {
            LongResponses::Dropped
        }
    }
}

/// The result of an attempt whose response is complete. A body that the call's response validator does not accept is an error
/// of the backend.
fn validated_exchange(
    attempt: &Attempt,
    outcome: Outcome,
    report: Option<LoadReport>,
    body: Option<Bytes>,
) -> Exchange {
    if outcome != Outcome::Served {
        return Exchange::failed(outcome, report);
    }
    let call = &attempt.call;
    let is_valid = |body: &Bytes| {
        call.response_validator
            .as_ref()
            .is_none_or(|validate| validate(body))
    };
    let Some(bytes) = body.filter(is_valid) else {
        log_peer(format_args!(
            "server {:x}: dropped a response with an invalid body",
            attempt.server.0
        ));
        return Exchange::failed(Outcome::Error, report);
    };
    Exchange {
        outcome,
        report,
        response: Some(Payload {
            format: call.payload.format,
            bytes,
        }),
    }
}
