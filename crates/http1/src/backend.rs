//! The backends' side: attempts, what their answers tell, and probes.

use crate::outgoing::{Outgoing, Sending, Written};
use bytes::Bytes;
use hillpick::settings::Site;
use hillpick::{LoadReport, Outcome, ServerId};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode};
use sillward_core::{
    Attempt, BODY_LIMIT, Backends, Budget, Content, Ended, Exchanged, Form, News, PROBE_TIMEOUT, READ_BUFFER,
    Reports, Stop, Task, run,
};
use sillward_log::log_peer;
use sillward_metrics::Counters;
use sillward_pool::{Connection, Pool, Protocol, Terms};
use sillward_seam::Stream;
use sillward_seam::task::{AbortHandle, spawn_local};
use sillward_seam::time::timeout;
use std::cell::Cell;
use std::io::{self, ErrorKind::InvalidData, ErrorKind::InvalidInput};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// So many connections in a row may turn out broken before a request was written to them.
const BROKEN_IN_A_ROW: usize = 4;

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

impl Protocol for Http1 {
    type Carrier = Carrier;

    async fn open(&self, stream: Stream) -> io::Result<Carrier> {
        let written = Rc::<Written>::default();
        let sending = Sending::new(stream, written.clone());
        let opened = http1::Builder::new().max_buf_size(READ_BUFFER).handshake(sending).await;
        let (sender, connection) = opened.map_err(io::Error::other)?;
        let task = spawn_local(async move {
            let _ = connection.await; // its end shows in the request on it
        });
        Ok(Carrier { sender, written, task: task.abort_handle() })
    }

    fn is_closed(carrier: &Carrier) -> bool {
        carrier.sender.is_closed()
    }
}

/// The backends that speak HTTP/1.1.
pub struct Backend {
    pool: Rc<Pool<Http1>>,
    /// Room for bodies, requests' and answers'.
    budget: Budget,
    reports: Reports,
    counters: Rc<Counters>,
}

impl Backends for Backend {
    fn attempt(self: Rc<Self>, attempt: Attempt, stopped: oneshot::Receiver<Stop>) -> Task<Ended> {
        Box::pin(async move {
            let written = Cell::new(false);
            run(&attempt, &written, self.exchange(&attempt, &written), stopped).await
        })
    }

    fn probe(self: Rc<Self>, server: ServerId) -> Task<(Outcome, Option<LoadReport>)> {
        Box::pin(async move {
            timeout(PROBE_TIMEOUT, self.probed(server)).await.unwrap_or((Outcome::TimedOut, None))
        })
    }

    fn listed(&self, news: &News, now: Duration) {
        self.pool.update(news, now);
    }

    fn retuned(&self, site: &Site) {
        self.pool.retune(Terms::of(site));
    }

    fn close_idle(&self, server: ServerId) {
        self.pool.close_idle(server);
    }
}

impl Backend {
    pub fn new(pool: Rc<Pool<Http1>>, budget: Budget, reports: Reports, counters: Rc<Counters>) -> Rc<Self> {
        Rc::new(Backend { pool, budget, reports, counters })
    }

    async fn exchange(self: &Rc<Self>, attempt: &Attempt, written: &Cell<bool>) -> Exchanged {
        for _ in 0..BROKEN_IN_A_ROW {
            let mut connection = match self.pool.take(attempt.server).await {
                Ok(connection) => connection,
                Err(outcome) => return (outcome, None, None),
            };
            if connection.carrier.sender.ready().await.is_err() {
                continue;
            }
            // Time has passed since the decision: what was permitted then may not be any more.
            let Some(request) = self.request(attempt, &connection.carrier.written) else {
                self.pool.put(connection);
                return (Outcome::NotSent, None, None);
            };
            written.set(true);
            match connection.carrier.sender.try_send_request(request).await {
                Ok(response) => {
                    let (mut outcome, report, body) =
                        self.answered(attempt.server, connection, response).await;
                    let form = attempt.call.content.form;
                    let is_answer =
                        |body: &Bytes| attempt.call.judge.as_ref().is_none_or(|judge| judge(body));
                    let answer = body.filter(is_answer).map(|bytes| Content { form, bytes });
                    if outcome == Outcome::Served && answer.is_none() {
                        log_peer(format_args!(
                            "server {:x}: a body that is no answer to its call was dropped",
                            attempt.server.0
                        ));
                        outcome = Outcome::Error;
                    }
                    if outcome.never_ran() {
                        attempt.call.unclaim();
                    }
                    return (outcome, report, answer);
                }
                // Given back: not a byte of it was written, so another connection may have it.
                Err(mut e) => match e.take_message() {
                    Some(_) => {
                        attempt.call.unclaim();
                        written.set(false);
                    }
                    None => return (broken(e.error()), None, None),
                },
            }
        }
        (Outcome::ConnectFailed, None, None)
    }

    /// The request as it is written now, if it may still be: not past its time, the backend's grace or the
    /// window in which backends drop its repeats, and not once it has its answer.
    fn request(&self, attempt: &Attempt, written: &Rc<Written>) -> Option<Request<Outgoing>> {
        let (now, call) = (self.pool.clock.now(), &attempt.call);
        let address = self.pool.address(attempt.server)?;
        let value = |bytes: &Bytes| HeaderValue::from_maybe_shared(bytes.clone()).ok();
        let plain = call.content.form == Form::PLAIN;
        // Backends of two protocols know a repeat only by the very same key: what a header would alter, or a key
        // that is no header, does not go this way.
        let whole = |key: &Bytes| !key.is_empty() && key.iter().all(|byte| (b'!'..=b'~').contains(byte));
        if !plain && call.window.is_some() && !call.idempotency_key.as_ref().is_some_and(whole) {
            return None;
        }
        let target = PathAndQuery::from_maybe_shared(call.target.clone()).ok()?;
        let call_id = value(&call.call_id)?;
        let key = match &call.idempotency_key {
            Some(key) => Some(value(key)?),
            None => None,
        };
        if !call.claim(now, attempt.until) {
            return None;
        }
        let left = (attempt.until - now).as_millis().max(1) as u64;
        let counted = Some(self.counters.clone());
        let mut request = Request::new(Outgoing::new(call.content.bytes.clone(), written.clone(), counted));
        *request.method_mut() = if call.safe && plain { Method::GET } else { Method::POST };
        *request.uri_mut() = target.into();
        let headers = request.headers_mut();
        headers.insert(HOST, host(address));
        headers.insert("x-call-id", call_id);
        headers.insert("x-budget-ms", left.into());
        if let Some(key) = key {
            headers.insert("idempotency-key", key);
        }
        if !plain {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static(call.content.form.0));
        }
        Some(request)
    }

    /// Reads the answer whole, so that a broken one is still an outcome and not a half answer to the client.
    async fn answered(
        &self,
        server: ServerId,
        connection: Connection<Http1>,
        response: Response<Incoming>,
    ) -> (Outcome, Option<LoadReport>, Option<Bytes>) {
        let (head, body) = response.into_parts();
        let report = self.report_in(&head.headers);
        let length = body.size_hint().exact();
        // Without either, its end is the connection's, and half an answer looks like a whole one.
        let framed = length.is_some() || head.headers.contains_key(TRANSFER_ENCODING);
        let length = length.map_or(BODY_LIMIT, |length| usize::try_from(length).unwrap_or(usize::MAX));
        if !framed || length > BODY_LIMIT {
            log_peer(format_args!("server {:x}: an answer of no length, or too long, was dropped", server.0));
            return (Outcome::Error, report, None);
        }
        let Some(room) = self.budget.lease(length) else {
            log_peer("no room for an answer's body: dropped");
            return (Outcome::Error, report, None);
        };
        let body = match Limited::new(body, BODY_LIMIT).collect().await {
            Ok(body) => room.keep(body.to_bytes()),
            Err(e) => return (e.downcast_ref().map_or(Outcome::Error, broken), None, None),
        };
        self.pool.put(connection);
        let turned_away = head.headers.get("x-rejected").is_some_and(|value| value == "1");
        match head.status {
            StatusCode::OK => (Outcome::Served, report, Some(body)),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
                (Outcome::Rejected, report, None)
            }
            // Nothing else promises that the request never ran.
            _ => (Outcome::Error, report, None),
        }
    }

    async fn probed(self: &Rc<Self>, server: ServerId) -> (Outcome, Option<LoadReport>) {
        let mut connection = match self.pool.take(server).await {
            Ok(connection) => connection,
            Err(outcome) => return (outcome, None),
        };
        let written = connection.carrier.written.clone();
        let mut request = Request::new(Outgoing::new(Bytes::new(), written, None));
        *request.method_mut() = Method::GET;
        let reports = self.reports.any();
        *request.uri_mut() = hyper::Uri::from_static(if reports { "/stats" } else { "/health/live" });
        let Some(address) = self.pool.address(server) else { return (Outcome::NotSent, None) };
        request.headers_mut().insert(HOST, host(address));
        let response = match connection.carrier.sender.send_request(request).await {
            Ok(response) => response,
            Err(e) => return (broken(&e), None),
        };
        let (outcome, in_head, body) = self.answered(server, connection, response).await;
        let in_body = || {
            let body = body.filter(|_| reports)?;
            self.reports.read(std::str::from_utf8(&body).ok()?)
        };
        (outcome, in_body().or(in_head))
    }

    fn report_in(&self, headers: &HeaderMap) -> Option<LoadReport> {
        let value = headers.get("x-load-report").filter(|_| self.reports.any())?;
        let report = value.to_str().ok().and_then(|text| self.reports.read(text));
        if report.is_none() {
            log_peer(format_args!("a malformed load report was dropped: {value:?}"));
        }
        report
    }
}

/// What an answer that did not come whole says of its backend. Where the connection ended, the process may have
/// died. Where the bytes made no sense, something answers there: one such answer is a failure like another, and
/// no reason to leave the backend out.
fn broken(error: &hyper::Error) -> Outcome {
    let cause = std::error::Error::source(error).and_then(|cause| cause.downcast_ref::<io::Error>());
    let nonsense = |cause: &io::Error| matches!(cause.kind(), InvalidInput | InvalidData);
    if error.is_parse() || cause.is_some_and(nonsense) { Outcome::Error } else { Outcome::Reset }
}

fn host(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("backend"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use hillpick::{ListKind, RequestId, ServerEntry, ServerState};
    use sillward_core::{Call, Live};
    use sillward_pool::Sockets;
    use sillward_seam::Clock;
    use sillward_seam::net::TcpListener;
    use sillward_seam::task::block_on;

    const SITE: &[u8] = br#"{"Classes":[{"Name":"submit","Target":1,"GiveUp":1,"Idempotency":"free"}]}"#;
    const SERVER: ServerId = ServerId(1);
    const MINUTE: Duration = Duration::from_secs(60);

    /// Makes an attempt that something has overtaken since it was decided on; returns how it ended and what
    /// its backend was sent.
    fn overtaken(by: impl FnOnce(&Pool<Http1>, &mut Attempt, News, Duration)) -> (Outcome, String) {
        block_on(async {
            let listener = TcpListener::bind(([127, 0, 0, 1], 0).into()).await.expect("a port");
            let terms = Terms { idle_limit: MINUTE, connect_timeout: MINUTE, drain_grace: Duration::ZERO };
            let pool = Pool::start(Clock::start(), Http1, terms, Sockets::new(10));
            let entry = ServerEntry { id: SERVER, state: ServerState::Ready, ..ServerEntry::default() };
            let address = listener.local_addr().expect("its address");
            let news = |kind| News { kind, backends: vec![sillward_core::Backend { entry, address }] };
            pool.update(&news(ListKind::Full), pool.clock.now());
            let now = pool.clock.now();
            let call = Call {
                class: 0,
                safe: false,
                target: Bytes::from_static(b"/submit/1"),
                call_id: Bytes::from_static(b"1"),
                idempotency_key: None,
                content: Content::plain(Bytes::new()),
                judge: None,
                answered: true,
                deadline: now + MINUTE,
                window: Some(MINUTE),
                first_byte: Cell::new(None),
                over: Cell::new(false),
                out: Cell::new(0),
            };
            let (until, call) = (now + MINUTE, Rc::new(call));
            let mut attempt = Attempt { id: RequestId(1), number: 0, server: SERVER, until, call };
            by(&pool, &mut attempt, news(ListKind::Changes), now);
            let (_stop, stopped) = oneshot::channel();
            let served = spawn_local(async move {
                let (stream, _) = listener.accept().await.expect("a dial");
                let mut sent = [0; 15];
                let read = Stream::new(stream).0.read(&mut sent).await.unwrap_or_default();
                String::from_utf8_lossy(&sent[..read]).into_owned()
            });
            let reports = Reports::new(Live::new(hillpick::settings::parse(SITE).expect("settings")));
            let backends = Backend::new(pool.clone(), Budget::new(1 << 20), reports, Counters::new());
            let ended = backends.attempt(attempt, stopped).await;
            pool.close_idle(SERVER);
            (ended.outcome, served.await.expect("the backend's part"))
        })
        .expect("a runtime")
    }

    #[test]
    fn an_attempt_that_nothing_has_overtaken_is_written() {
        assert_eq!(overtaken(|_, _, _, _| {}), (Outcome::Reset, "POST /submit/1 ".to_owned()));
    }

    #[test]
    fn what_was_overtaken_while_it_waited_for_a_connection_is_never_sent() {
        let nothing = || (Outcome::NotSent, String::new());
        let late = overtaken(|_, attempt, _, now| attempt.until = now);
        assert_eq!(late, nothing(), "its time is over");
        let over = overtaken(|_, attempt, _, _| attempt.call.over.set(true));
        assert_eq!(over, nothing(), "the request has its answer");
        let forgotten = overtaken(|_, attempt, _, now| attempt.call.first_byte.set(Some(now - 2 * MINUTE)));
        assert_eq!(forgotten, nothing(), "backends have forgotten the first attempt of a keyed request");
        let drained = overtaken(|pool, _, mut news, now| {
            news.backends[0].entry.state = ServerState::Draining;
            pool.update(&news, now);
        });
        assert_eq!(drained, nothing(), "the grace after the news of a drain is over");
    }
}
