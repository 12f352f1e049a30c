//! The backends' side: attempts, what their answers tell, and probes.

use crate::outgoing::{Outgoing, Written};
use crate::socket::HyperIo;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode};
use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{LoadReport, Outcome, ServerId};
use sillward_forwarding::{
    Attempt, AttemptResult, BackendProtocol, BackendUpdate, BodyStream, Exchange,
    HEALTH_CHECK_TIMEOUT, HealthCheckReply, IncompleteBody, LoadReportParser, LocalBoxFuture,
    MAX_BODY_BYTES, MAX_BUFFERED_RESPONSE_BYTES, MemoryBudget, Payload, PayloadFormat,
    READ_BUFFER_BYTES, ResponseStarted, StopReason, run_attempt,
};
use sillward_logging::log_peer;
use sillward_metrics::Counters;
use sillward_pool::{Connection, ConnectionProtocol, Pool, PoolTimeouts};
use sillward_runtime::Stream;
use sillward_runtime::task::{AbortHandle, spawn_local};
use sillward_runtime::time::{Instant, Sleep, sleep, timeout, timeout_at};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind::InvalidData, ErrorKind::InvalidInput};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;

/// So many connections in a row may turn out broken before a request was written to them.
const BROKEN_IN_A_ROW: usize = 4;

/// A backend that gives nothing of a long answer for so long has broken it.
const SILENCE: Duration = Duration::from_secs(10);

/// One of unknown length goes on after so long, however little is there: it may be a long one, of which the first bytes are
/// what its client waits for. What comes at once is still seen whole first.
const HOLD: Duration = Duration::from_millis(100);

/// HTTP/1.1 over a connection to a backend.
pub struct Http1;

/// Carries one request at a time.
pub struct Carrier {
    sender: SendRequest<Outgoing>,
    written: Rc<Written>,
    task: AbortHandle,
}

impl Drop for Carrier {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ConnectionProtocol for Http1 {
    type Session = Carrier;

    async fn handshake(&self, stream: Stream) -> io::Result<Carrier> {
        let written = Rc::<Written>::default();
        let sending = HyperIo::observed(stream, written.clone());
        let opened = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(sending)
            .await;
        let (sender, connection) = opened.map_err(io::Error::other)?;
        let task = spawn_local(async move {
            let _ = connection.await; // its end shows in the request on it
        });
        Ok(Carrier {
            sender,
            written,
            task: task.abort_handle(),
        })
    }

    fn is_closed(carrier: &Carrier) -> bool {
        carrier.sender.is_closed()
    }
}

/// How far an attempt has gone.
#[derive(Default)]
struct Sent {
    /// Its call counts it as out.
    claimed: Cell<bool>,
    /// What the connection tells that it goes out on.
    written: RefCell<Option<Rc<Written>>>,
}

impl Sent {
    /// Only whose last byte was written can have begun.
    fn may_have_run(&self) -> bool {
        self.written
            .borrow()
            .as_ref()
            .is_some_and(|written| written.is_whole())
    }
}

/// A backend's answer.
enum Answered {
    /// All of it.
    Whole(Bytes),
    /// What is here of a long one, and how long it is where that is known.
    Long(Bytes, Option<u64>, Incoming),
}

/// The backends that speak HTTP/1.1.
pub struct BackendClient {
    pool: Rc<Pool<Http1>>,
    /// Room for bodies, requests' and answers'.
    budget: MemoryBudget,
    reports: LoadReportParser,
    counters: Rc<Counters>,
}

impl BackendProtocol for BackendClient {
    fn attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
    ) -> LocalBoxFuture<AttemptResult> {
        Box::pin(async move {
            let sent = Sent::default();
            let ended = run_attempt(
                &attempt,
                || sent.may_have_run(),
                self.exchange(&attempt, &sent),
                stopped,
            )
            .await;
            if ended.outcome.never_ran() && sent.claimed.get() {
                attempt.call.release_claim();
            }
            ended
        })
    }

    fn health_check(self: Rc<Self>, server: ServerId) -> LocalBoxFuture<HealthCheckReply> {
        Box::pin(async move {
            timeout(HEALTH_CHECK_TIMEOUT, self.probed(server))
                .await
                .unwrap_or(HealthCheckReply::from(Outcome::TimedOut))
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
    pub fn new(
        pool: Rc<Pool<Http1>>,
        budget: MemoryBudget,
        reports: LoadReportParser,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        Rc::new(BackendClient {
            pool,
            budget,
            reports,
            counters,
        })
    }

    async fn exchange(self: &Rc<Self>, attempt: &Attempt, sent: &Sent) -> Exchange {
        for _ in 0..BROKEN_IN_A_ROW {
            let mut connection = match self.pool.acquire(attempt.server).await {
                Ok(connection) => connection,
                Err(outcome) => return Exchange::from(outcome),
            };
            if connection.session.sender.ready().await.is_err() {
                continue;
            }
            // Time has passed since the decision: what was permitted then may not be any more.
            let written = connection.session.written.clone();
            let Some(request) = self.request(attempt, &written) else {
                self.pool.release_unused(connection);
                return Exchange::from(Outcome::NotSent);
            };
            sent.claimed.set(true);
            sent.written.replace(Some(written.clone()));
            match connection.session.sender.try_send_request(request).await {
                Ok(response) => return self.taken_in(attempt, connection, response).await,
                // Given back, or broken before its last byte was written: it never ran, so another connection may have
                // it. That this one broke says nothing of whether its backend is there.
                Err(mut e) => match e.take_message() {
                    given_back
                        if (given_back.is_some() || !written.is_whole())
                            && !attempt.call.is_body_consumed() =>
                    {
                        attempt.call.release_claim();
                        sent.claimed.set(false);
                        sent.written.replace(None);
                    }
                    // A long body says little of its backend by that.
                    _ if !written.is_whole() => return Exchange::from(Outcome::NotSent),
                    _ => return Exchange::from(broken(e.error())),
                },
            }
        }
        Exchange::from(Outcome::ConnectFailed)
    }

    /// Takes an attempt's answer in: whole, or as it comes.
    async fn taken_in(
        self: &Rc<Self>,
        attempt: &Attempt,
        connection: Connection<Http1>,
        response: Response<Incoming>,
    ) -> Exchange {
        let (server, call) = (attempt.server, &attempt.call);
        let format = call.payload.format;
        // Whoever judges an answer has to see all of it.
        let may_be_long = call.response_validator.is_none()
            && format == PayloadFormat::PLAIN
            && call.expects_response;
        let (outcome, report, body) = self.answered(server, may_be_long, response).await;
        if outcome == Outcome::Served && !connection.session.written.is_whole() {
            log_peer(format_args!(
                "server {:x}: an answer before the end of its request was dropped",
                server.0
            ));
            return Exchange::failed(Outcome::NotSent, report);
        }
        let body = match body {
            Some(Answered::Long(first, length, rest)) => {
                let started = (first, length, report);
                return Exchange::from(self.passed_on(attempt, connection, started, rest).await);
            }
            Some(Answered::Whole(body)) => {
                // Answered before the end of its request, it is of no further use, and takes no more of the body.
                if connection.session.written.is_whole() {
                    self.pool.release(connection);
                }
                Some(body)
            }
            None => None,
        };
        let is_answer = |body: &Bytes| {
            call.response_validator
                .as_ref()
                .is_none_or(|judge| judge(body))
        };
        let answer = body
            .filter(is_answer)
            .filter(|_| outcome == Outcome::Served);
        if outcome == Outcome::Served && answer.is_none() {
            log_peer(format_args!(
                "server {:x}: a body that is no answer to its call was dropped",
                server.0
            ));
            return Exchange::failed(Outcome::Error, report);
        }
        Exchange {
            outcome,
            report,
            response: answer.map(|bytes| Payload { format, bytes }),
        }
    }

    /// Lets a long answer go through to the client, and returns how that ended.
    async fn passed_on(
        self: &Rc<Self>,
        attempt: &Attempt,
        connection: Connection<Http1>,
        (first, length, report): (Bytes, Option<u64>, Option<LoadReport>),
        body: Incoming,
    ) -> Outcome {
        let (ended, over) = oneshot::channel();
        let come = first.len() as u64;
        let rest = Box::new(Passing {
            body,
            come,
            length,
            connection: Some(connection),
            backend: self.clone(),
            ended: Some(ended),
            silence: Box::pin(sleep(SILENCE)),
        });
        let payload = Payload {
            format: PayloadFormat::PLAIN,
            bytes: first,
        };
        let started = ResponseStarted {
            id: attempt.id,
            number: attempt.number,
            payload,
            length,
            report,
            rest,
        };
        if attempt
            .response_started
            .take()
            .is_none_or(|start| start.send(started).is_err())
        {
            return Outcome::Cancelled; // the node has ended
        }
        // Without a word it was let go of: its client has left, or has another answer.
        over.await.unwrap_or(Outcome::Cancelled)
    }

    /// The request as it is written now, if it may still be: not past its time, the backend's grace or the
    /// window in which backends drop its repeats, and not once it has its answer.
    fn request(&self, attempt: &Attempt, written: &Rc<Written>) -> Option<Request<Outgoing>> {
        let (now, call) = (self.pool.clock.now(), &attempt.call);
        let address = self.pool.usable_address(attempt.server)?;
        let value = |bytes: &Bytes| HeaderValue::from_maybe_shared(bytes.clone()).ok();
        let plain = call.payload.format == PayloadFormat::PLAIN;
        // Backends of two protocols know a repeat only by the very same key: what a header would alter, or a key
        // that is no header, does not go this way.
        let whole =
            |key: &Bytes| !key.is_empty() && key.iter().all(|byte| (b'!'..=b'~').contains(byte));
        if !plain
            && call.idempotency_window.is_some()
            && !call.idempotency_key.as_ref().is_some_and(whole)
        {
            return None;
        }
        let target = PathAndQuery::from_maybe_shared(call.target.clone()).ok()?;
        let call_id = value(&call.call_id)?;
        let key = match &call.idempotency_key {
            Some(key) => Some(value(key)?),
            None => None,
        };
        if call.is_body_consumed() || !call.claim(now, attempt.deadline) {
            return None;
        }
        // The time of a request that is still coming begins with its last byte.
        let left = call
            .streaming_body
            .as_ref()
            .map_or(attempt.deadline - now, |body| body.time_budget);
        let left = left.as_millis().max(1) as u64;
        let mut request = Request::new(Outgoing::of(call, written.clone(), self.counters.clone()));
        *request.method_mut() = if call.safe && plain {
            Method::GET
        } else {
            Method::POST
        };
        *request.uri_mut() = target.into();
        let headers = request.headers_mut();
        headers.insert(HOST, host(address));
        headers.insert("x-call-id", call_id);
        headers.insert("x-budget-ms", left.into());
        if let Some(key) = key {
            headers.insert("idempotency-key", key);
        }
        if !plain {
            headers.insert(
                CONTENT_TYPE,
                HeaderValue::from_static(call.payload.format.0),
            );
        }
        Some(request)
    }

    /// Reads an answer whole, so that a broken one is still an outcome and not half an answer to the client. Where it may
    /// be long and is, what is here of it.
    async fn answered(
        &self,
        server: ServerId,
        may_be_long: bool,
        response: Response<Incoming>,
    ) -> (Outcome, Option<LoadReport>, Option<Answered>) {
        let (head, mut body) = response.into_parts();
        let report = self.report_in(&head.headers);
        let served = head.status == StatusCode::OK;
        let length = body.size_hint().exact();
        let dropped = |what: &str| {
            log_peer(format_args!("server {:x}: {what}: dropped", server.0));
            (Outcome::Error, report, None)
        };
        // Its end is the connection's, if it says so: else half an answer looks like a whole one.
        let closes = || head.headers.get_all(CONNECTION).iter().any(says_close);
        if length.is_none() && !head.headers.contains_key(TRANSFER_ENCODING) && !closes() {
            return dropped("an answer of no length");
        }
        if length.is_some_and(|length| length > MAX_BODY_BYTES) {
            return dropped("an answer over 32 MiB");
        }
        let whole = length.is_some_and(|length| length <= MAX_BUFFERED_RESPONSE_BYTES as u64);
        if length.is_some() && !whole {
            if !served || !may_be_long {
                return dropped("a long answer where none can go on");
            }
            return (
                Outcome::Served,
                report,
                Some(Answered::Long(Bytes::new(), length, body)),
            );
        }
        // One of unknown length has room as it grows.
        let Some(mut room) = self
            .budget
            .try_reserve(length.map_or(READ_BUFFER_BYTES, |length| length as usize))
        else {
            return dropped("no room for an answer's body");
        };
        let (mut held, mut first) = (
            READ_BUFFER_BYTES,
            BytesMut::with_capacity(length.unwrap_or(0) as usize),
        );
        let until = Instant::now() + HOLD;
        loop {
            let frame = if may_be_long && served && !whole {
                timeout_at(until, body.frame()).await
            } else {
                Ok(body.frame().await)
            };
            let Ok(frame) = frame else {
                let first = room.attach(first.freeze());
                return (
                    Outcome::Served,
                    report,
                    Some(Answered::Long(first, None, body)),
                );
            };
            let Some(frame) = frame else { break };
            let data = match frame {
                Ok(frame) => frame.into_data().unwrap_or_default(), // or trailers, which say nothing here
                Err(e) => return (broken(&e), None, None),
            };
            first.extend_from_slice(&data);
            let mut fits = first.len() <= MAX_BUFFERED_RESPONSE_BYTES;
            while !whole && fits && first.capacity() > held {
                fits = room.try_grow(READ_BUFFER_BYTES);
                held += READ_BUFFER_BYTES;
            }
            if !fits {
                if !served || !may_be_long {
                    return dropped("a long answer where none can go on");
                }
                let first = room.attach(first.freeze());
                return (
                    Outcome::Served,
                    report,
                    Some(Answered::Long(first, None, body)),
                );
            }
        }
        let body = Answered::Whole(room.attach(first.freeze()));
        let turned_away = head
            .headers
            .get("x-rejected")
            .is_some_and(|value| value == "1");
        match head.status {
            StatusCode::OK => (Outcome::Served, report, Some(body)),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
                (Outcome::Rejected, report, Some(body))
            }
            // Nothing else promises that the request never ran.
            _ => (Outcome::Error, report, Some(body)),
        }
    }

    async fn probed(self: &Rc<Self>, server: ServerId) -> HealthCheckReply {
        let mut connection = match self.pool.acquire(server).await {
            Ok(connection) => connection,
            Err(outcome) => return HealthCheckReply::from(outcome),
        };
        let written = connection.session.written.clone();
        let mut request = Request::new(Outgoing::empty(written));
        *request.method_mut() = Method::GET;
        let reports = self.reports.is_enabled();
        *request.uri_mut() =
            hyper::Uri::from_static(if reports { "/stats" } else { "/health/live" });
        let Some(address) = self.pool.usable_address(server) else {
            return HealthCheckReply::from(Outcome::NotSent);
        };
        request.headers_mut().insert(HOST, host(address));
        let response = match connection.session.sender.send_request(request).await {
            Ok(response) => response,
            Err(e) => return HealthCheckReply::from(broken(&e)),
        };
        let (outcome, in_head, body) = self.answered(server, false, response).await;
        let Some(Answered::Whole(body)) = body else {
            return HealthCheckReply {
                outcome,
                report: in_head,
            };
        };
        self.pool.release(connection);
        let in_body = || {
            let text = std::str::from_utf8(&body)
                .ok()
                .filter(|_| reports && outcome == Outcome::Served)?;
            self.reports.parse(text)
        };
        HealthCheckReply {
            outcome,
            report: in_body().or(in_head),
        }
    }

    fn report_in(&self, headers: &HeaderMap) -> Option<LoadReport> {
        let value = headers
            .get("x-load-report")
            .filter(|_| self.reports.is_enabled())?;
        let report = value
            .to_str()
            .ok()
            .and_then(|text| self.reports.parse(text));
        if report.is_none() {
            log_peer(format_args!(
                "a malformed load report was dropped: {value:?}"
            ));
        }
        report
    }
}

fn says_close(value: &HeaderValue) -> bool {
    value
        .as_bytes()
        .split(|byte| *byte == b',')
        .any(|word| word.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// The rest of a long answer, on its way to the client.
struct Passing {
    body: Incoming,
    /// Bytes so far, and in all where that is known.
    come: u64,
    length: Option<u64>,
    /// Back to the pool with the last byte.
    connection: Option<Connection<Http1>>,
    backend: Rc<BackendClient>,
    ended: Option<oneshot::Sender<Outcome>>,
    /// When the backend has been silent for too long.
    silence: Pin<Box<Sleep>>,
}

impl Passing {
    fn end(&mut self, outcome: Outcome) {
        let connection = self.connection.take();
        if let Some(connection) = connection.filter(|_| outcome == Outcome::Served) {
            self.backend.pool.release(connection);
        }
        if let Some(ended) = self.ended.take() {
            let _ = ended.send(outcome); // or the node has ended
        }
    }
}

impl BodyStream for Passing {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        loop {
            let outcome = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.silence.as_mut().reset(Instant::now() + SILENCE);
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.come += data.len() as u64;
                    // Whoever takes it asks for no more than its length.
                    if Some(self.come) == self.length {
                        self.end(Outcome::Served);
                    }
                    if self.come <= MAX_BODY_BYTES {
                        return Poll::Ready(Some(Ok(data)));
                    }
                    Outcome::Error
                }
                Poll::Ready(Some(Err(e))) => broken(&e),
                Poll::Ready(None) => {
                    self.end(Outcome::Served);
                    return Poll::Ready(None);
                }
                Poll::Pending => match self.silence.as_mut().poll(cx) {
                    Poll::Ready(()) => Outcome::TimedOut,
                    Poll::Pending => return Poll::Pending,
                },
            };
            log_peer(format_args!(
                "a long answer broke after {} bytes: {outcome:?}",
                self.come
            ));
            self.end(outcome);
            return Poll::Ready(Some(Err(IncompleteBody)));
        }
    }
}

/// What an answer that did not come whole says of its backend. Where the connection ended, the process may have
/// died. Where the bytes made no sense, something answers there: one such answer is a failure like another, and
/// no reason to leave the backend out.
fn broken(error: &hyper::Error) -> Outcome {
    let cause =
        std::error::Error::source(error).and_then(|cause| cause.downcast_ref::<io::Error>());
    let nonsense = |cause: &io::Error| matches!(cause.kind(), InvalidInput | InvalidData);
    if error.is_parse() || cause.is_some_and(nonsense) {
        Outcome::Error
    } else {
        Outcome::Reset
    }
}

fn host(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("backend"))
}

#[cfg(test)]
mod tests;
