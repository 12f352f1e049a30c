//! The clients' side: keeps their connections, takes requests, and writes the final answers that the node gives.

use crate::request::{self, Bad};
use crate::socket::Socket;
use bytes::Bytes;
use hillpick::{NewRequest, Repeat};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use sillward_core::{Answer, BODY_LIMIT, Budget, Call, Content, Intake, Live, READ_BUFFER};
use sillward_listener::{Client, Door, LINGER, Life, Serve};
use sillward_log::log_peer;
use sillward_metrics::{Counters, End};
use sillward_seam::Stream;
use sillward_seam::task::spawn_local;
use sillward_seam::time::Instant;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

/// How much of a body is read on after its request was turned down.
const READ_PAST: usize = 16 * BODY_LIMIT;
pub struct Front {
    live: Rc<Live>,
    intake: Intake,
    life: Rc<Life>,
    counters: Rc<Counters>,
    door: Rc<Door>,
    /// Room for bodies, requests' and answers'.
    budget: Budget,
    /// The X-Call-Ids of the requests that have no answer yet.
    open: RefCell<HashSet<HeaderValue>>,
}

impl Front {
    pub fn new(
        intake: Intake,
        live: Rc<Live>,
        door: Rc<Door>,
        budget: Budget,
        life: Rc<Life>,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        Rc::new(Front { live, intake, life, counters, door, budget, open: RefCell::default() })
    }

    async fn respond(
        self: Rc<Self>,
        client: &Client,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let until = client.opened();
        let (mut response, last) = match self.handle(request, until).await {
            Ok(response) => (response, self.door.is_closing()),
            // After what is malformed nobody can tell where the next request begins.
            Err((status, text)) => (plain(status, Bytes::from_static(text.as_bytes())), true),
        };
        self.door.done(client, last);
        if last {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    async fn handle(&self, request: Request<Incoming>, until: Instant) -> Result<Response<Full<Bytes>>, Bad> {
        let (head, body) = request.into_parts();
        let site = self.live.get();
        let ready_asked = head.uri.path() == "/health/ready";
        let checked = match request::length(&head, &body) {
            Ok(_) if ready_asked => {
                let status =
                    if self.life.healthy() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                return Ok(plain(status, Bytes::new()));
            }
            Ok(length) => request::check(&site, head, length),
            Err(bad) => Err(bad),
        };
        let request = match checked {
            Ok(request) => request,
            Err(bad) => {
                spawn_local(request::drain(body, READ_PAST, Instant::now() + LINGER / 2));
                return Err(bad);
            }
        };
        let Some(room) = self.budget.lease(request.length) else {
            log_peer("no room for a request's body: refused");
            self.counters.ended(request.class, End::Dropped);
            return Ok(refusal(site.settings.limits.max_retry_after));
        };
        let class = request.class;
        let failed = |_: &Bad| self.counters.ended(class, End::BadGateway);
        let body = request::read(body, request.length, room, until).await.inspect_err(failed)?;
        let at = self.intake.clock().now();
        // Its own, or another client's: that one's attempts must not be taken for this one's.
        let Some(_open) = Open::enter(&self.open, &request.call_id) else {
            let conflict = (StatusCode::CONFLICT, "a request with this X-Call-Id is open");
            return Err(conflict).inspect_err(failed);
        };
        let new = NewRequest {
            class: request.class,
            tenant: request.tenant,
            key: request.key,
            remaining: request.budget,
            cost: request.cost,
            client_retry: request.client_retry,
            ..NewRequest::default()
        };
        let bytes = |value: &HeaderValue| Bytes::copy_from_slice(value.as_bytes());
        let call = Call {
            class: request.class,
            safe: site.settings.classes[request.class].repeat == Repeat::Safe,
            target: Bytes::copy_from_slice(request.path.as_str().as_bytes()),
            call_id: bytes(&request.call_id),
            idempotency_key: request.idempotency_key.as_ref().map(bytes),
            content: Content::plain(body),
            judge: None,
            answered: true,
            deadline: at + request.budget,
            window: request.window,
            first_byte: Cell::new(None),
            over: Cell::new(false),
            out: Cell::new(0),
        };
        let Some(answer) = self.intake.submit(new, call, at).await else {
            return Ok(plain(StatusCode::BAD_GATEWAY, Bytes::new()));
        };
        Ok(match answer {
            Answer::Served(content) => plain(StatusCode::OK, content.bytes),
            Answer::Refused { after, .. } => refusal(after),
            Answer::Failed => plain(StatusCode::BAD_GATEWAY, Bytes::new()),
            Answer::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
        })
    }
}

impl Serve for Front {
    async fn serve(self: Rc<Self>, stream: Stream, client: Rc<Client>) {
        let service = service_fn(|request| self.clone().respond(&client, request));
        let connection = http1::Builder::new()
            // Its time-out would run on idle connections too: the door tells them apart.
            .header_read_timeout(None)
            .max_buf_size(READ_BUFFER)
            .serve_connection(Socket(stream), service);
        let mut connection = std::pin::pin!(connection);
        // Biased: a request that has come is read before the connection is told to close.
        tokio::select! {
            biased;
            _ = connection.as_mut() => {}
            () = client.told_to_close() => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    }
}

/// An X-Call-Id that is open, until this is dropped.
struct Open<'a> {
    all: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> Open<'a> {
    fn enter(all: &'a RefCell<HashSet<HeaderValue>>, id: &HeaderValue) -> Option<Self> {
        all.borrow_mut().insert(id.clone()).then(|| Open { all, id: id.clone() })
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
    }
}

fn refusal(after: Option<Duration>) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let after = after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(Ok(after)) = after.map(HeaderValue::try_from) {
        response.headers_mut().insert(RETRY_AFTER, after);
    }
    response
}

fn plain(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
