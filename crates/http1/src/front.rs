//! The clients' side: keeps their connections, takes requests, and writes the final answers that the node gives.

use crate::ahead::{Ahead, Inlet};
use crate::heads::Heads;
use crate::reply::Reply;
use crate::request::{self, Arriving, Bad, First};
use crate::socket::HyperIo;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use sillward_balancer::{Idempotency, NewRequest};
use sillward_forwarding::{
    BodySender, Call, CallProgress, FinalResponse, LiveSettings, MemoryBudget, NodeHandle, Payload,
    READ_BUFFER_BYTES, StreamingBody,
};
use sillward_listener::{
    AfterRequest, ClientConnection, ConnectionHandler, ConnectionManager, LINGER_TIMEOUT,
    MAX_DISCARDED_BYTES, SharedLifecycle,
};
use sillward_logging::log_peer;
use sillward_metrics::{Counters, RequestOutcome};
use sillward_runtime::Stream;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::Instant;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A body takes so long at the most: 32 MiB at the least rate, and what a slow backend adds.
const LONGEST_UPLOAD: Duration = Duration::from_secs(1200);

pub struct Frontend {
    live: Rc<LiveSettings>,
    intake: NodeHandle,
    lifecycle: Rc<SharedLifecycle>,
    counters: Rc<Counters>,
    connections: Rc<ConnectionManager>,
    /// Room for bodies, requests' and answers'.
    budget: MemoryBudget,
    /// The X-Call-Ids of the requests that have no answer yet.
    open: RefCell<HashSet<HeaderValue>>,
}

impl Frontend {
    pub fn new(
        intake: NodeHandle,
        live: Rc<LiveSettings>,
        connections: Rc<ConnectionManager>,
        budget: MemoryBudget,
        lifecycle: Rc<SharedLifecycle>,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        Rc::new(Frontend {
            live,
            intake,
            lifecycle,
            counters,
            connections,
            budget,
            open: RefCell::default(),
        })
    }

    async fn respond(
        self: Rc<Self>,
        client: Rc<ClientConnection>,
        heads: Rc<Heads>,
        request: Request<Incoming>,
    ) -> Result<Response<Reply>, Infallible> {
        client.request_opened();
        let http_10 = request.version() < Version::HTTP_11;
        let answer = self.handle(&client, request, &heads).await;
        // After what is malformed nobody can tell where the next request begins, nor after what was not read whole.
        let after_request = match answer {
            Err(_) | Ok(Answered::Unread(_)) => AfterRequest::Close,
            Ok(_) => self.connections.after_request(),
        };
        let mut response = match answer {
            Ok(Answered::Read(FinalResponse::Streamed {
                first,
                length,
                rest,
            })) if length.is_some() || !http_10 => {
                let connections = self.connections.clone();
                // Its client asks for nothing, and is not idle, before that.
                let over = Box::new(move || connections.request_finished(&client, after_request));
                Response::new(Reply::long(first.bytes, length, rest, over))
            }
            others => {
                self.connections.request_finished(&client, after_request);
                match others {
                    Ok(Answered::Read(answer) | Answered::Unread(answer)) => worded(answer),
                    Ok(Answered::Health(status)) => plain(status, Bytes::new()),
                    Err((status, text)) => plain(status, Bytes::from_static(text.as_bytes())),
                }
            }
        };
        if after_request == AfterRequest::Close {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    async fn handle(
        &self,
        client: &Rc<ClientConnection>,
        request: Request<Incoming>,
        heads: &Heads,
    ) -> Result<Answered, Bad> {
        let (head, body) = request.into_parts();
        let site = self.live.get();
        let ready_asked = head.uri.path() == "/health/ready";
        let checked = match request::framing(&head, &body, heads) {
            Ok(_) if ready_asked => {
                let healthy = self.lifecycle.is_healthy();
                return Ok(Answered::Health(if healthy {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                }));
            }
            Ok(framing) => request::check(&site, head, framing).map(|checked| (checked, framing)),
            Err(bad) => Err(bad),
        };
        let (request, framing) = match checked {
            Ok(checked) => checked,
            Err(bad) => {
                spawn_local(request::drain(
                    body,
                    MAX_DISCARDED_BYTES,
                    Instant::now() + LINGER_TIMEOUT / 2,
                ));
                return Err(bad);
            }
        };
        let class = request.class;
        let failed = |_: &Bad| self.counters.request_ended(class, RequestOutcome::Failed);
        let mut arriving = Arriving::new(body);
        let (bytes, more) = match arriving
            .first(framing, &self.budget)
            .await
            .inspect_err(failed)?
        {
            First::Whole(bytes) => (bytes, false),
            First::More(bytes) => (bytes, true),
            First::NoRoom => {
                log_peer("no room for a request's body: refused");
                self.counters.request_ended(class, RequestOutcome::Rejected);
                spawn_local(request::drain(
                    arriving.into_rest(),
                    MAX_DISCARDED_BYTES,
                    Instant::now() + LINGER_TIMEOUT / 2,
                ));
                let after = site.settings.limits.max_retry_after;
                return Ok(Answered::Unread(FinalResponse::Rejected {
                    retry_after: after,
                    never_ran: true,
                }));
            }
        };
        let at = self.intake.clock().now();
        // Its own, or another client's: that one's attempts must not be taken for this one's.
        let Some(_open) = Open::enter(&self.open, &request.call_id) else {
            let conflict = (
                StatusCode::CONFLICT,
                "a request with this X-Call-Id is open",
            );
            return Err(conflict).inspect_err(failed);
        };
        let new = NewRequest {
            class,
            tenant: request.tenant,
            key: request.key,
            remaining: request.budget,
            expected_work: request.cost,
            client_retry: request.client_retry,
            ..NewRequest::default()
        };
        let (coming, feed) =
            match more.then(|| StreamingBody::new(framing.length(), request.budget)) {
                Some((coming, feed)) => (Some(coming), Some(feed)),
                None => (None, None),
            };
        let copied = |value: &HeaderValue| Bytes::copy_from_slice(value.as_bytes());
        let call = Call {
            class,
            safe: site.settings.classes[class].idempotency == Idempotency::Idempotent,
            target: Bytes::copy_from_slice(request.path.as_str().as_bytes()),
            call_id: copied(&request.call_id),
            idempotency_key: request.idempotency_key.as_ref().map(copied),
            payload: Payload::plain(bytes),
            streaming_body: coming,
            response_validator: None,
            expects_response: true,
            client_check: Some(client.connected_check()),
            deadline: Cell::new(at + if more { LONGEST_UPLOAD } else { request.budget }),
            idempotency_window: request.window,
            progress: CallProgress::default(),
        };
        let answer = match feed {
            None => self.intake.submit(new, call, at).await,
            Some(feed) => {
                let (told, arrived) = oneshot::channel();
                let arrived = async {
                    match arrived.await {
                        Ok(at) => at,
                        Err(_) => std::future::pending().await, // the body broke, or nobody takes it
                    }
                };
                let submitted = self.intake.submit_streaming(new, call, at, arrived);
                tokio::select! {
                    biased;
                    answer = submitted => answer,
                    bad = self.pass_on(&mut arriving, feed, told) => return Err(bad).inspect_err(failed),
                }
            }
        };
        let answer = answer.unwrap_or(FinalResponse::Failed);
        if arriving.is_ended() {
            return Ok(Answered::Read(answer));
        }
        spawn_local(request::drain(
            arriving.into_rest(),
            MAX_DISCARDED_BYTES,
            Instant::now() + LINGER_TIMEOUT / 2,
        ));
        Ok(Answered::Unread(answer))
    }

    /// Passes a body on as it comes, and tells when all of it has; returns only if it breaks.
    async fn pass_on(
        &self,
        body: &mut Arriving,
        feed: BodySender,
        told: oneshot::Sender<Duration>,
    ) -> Bad {
        loop {
            match body.next().await {
                Ok(Some(bytes)) => {
                    if !feed.send(bytes).await {
                        break; // the attempt is over; an answer is on its way
                    }
                }
                Ok(None) => {
                    let _ = told.send(self.intake.clock().now());
                    feed.finish().await;
                    break;
                }
                Err(bad) => return bad,
            }
        }
        std::future::pending().await
    }
}

/// What a client is to be told.
enum Answered {
    Health(StatusCode),
    /// Of a request that was read whole.
    Read(FinalResponse),
    /// Of one that was not.
    Unread(FinalResponse),
}

impl ConnectionHandler for Frontend {
    async fn serve(self: Rc<Self>, stream: Stream, client: Rc<ClientConnection>) {
        let (heads, ahead) = (Rc::<Heads>::default(), Ahead::new(self.budget.clone()));
        let kept = stream.share();
        let service =
            service_fn(|request| self.clone().respond(client.clone(), heads.clone(), request));
        let inlet = Inlet {
            heads: heads.clone(),
            ahead: ahead.clone(),
        };
        let connection = http1::Builder::new()
            // Its time-out would run on idle connections too: the door tells them apart.
            .header_read_timeout(None)
            .max_buf_size(READ_BUFFER_BYTES)
            .serve_connection(HyperIo::observed(stream, inlet), service);
        let mut connection = Box::pin(connection);
        loop {
            // Biased: a request that has come is read before the connection is told to close.
            tokio::select! {
                biased;
                _ = connection.as_mut() => break,
                () = client.close_requested() => connection.as_mut().graceful_shutdown(),
                // With it goes what is open.
                () = ahead.left(&kept, &client) => return,
            }
        }
        drop(connection);
        client.lingering_close(&kept).await;
    }
}

/// An X-Call-Id that is open, until this is dropped.
struct Open<'a> {
    all: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> Open<'a> {
    fn enter(all: &'a RefCell<HashSet<HeaderValue>>, id: &HeaderValue) -> Option<Self> {
        all.borrow_mut().insert(id.clone()).then(|| Open {
            all,
            id: id.clone(),
        })
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
    }
}

fn worded(answer: FinalResponse) -> Response<Reply> {
    match answer {
        FinalResponse::Complete(content) => plain(StatusCode::OK, content.bytes),
        FinalResponse::Rejected { retry_after, .. } => refusal(retry_after),
        FinalResponse::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
        // An answer of unknown length would look whole to a client of HTTP/1.0 wherever it broke.
        FinalResponse::Failed | FinalResponse::Streamed { .. } => {
            plain(StatusCode::BAD_GATEWAY, Bytes::new())
        }
    }
}

fn refusal(after: Option<Duration>) -> Response<Reply> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let after = after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(Ok(after)) = after.map(HeaderValue::try_from) {
        response.headers_mut().insert(RETRY_AFTER, after);
    }
    response
}

fn plain(status: StatusCode, body: Bytes) -> Response<Reply> {
    let mut response = Response::new(Reply::Whole(body));
    *response.status_mut() = status;
    response
}
