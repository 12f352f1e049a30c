//! The frontend: serves client connections, receives their requests, and sends the node's final responses.

mod open_calls;
mod rejections;
mod responses;

use crate::call_id_exchange::CallIdExchange;
use crate::discard::discard_in_background;
use crate::head_scanner::HeadScanner;
use crate::hyper_io::HyperIo;
use crate::read_ahead::{ClientStreamObserver, ReadAhead};
use crate::request_body::{BodyStart, RequestBody};
use crate::request_error::RequestError;
use crate::request_head::{Framing, RequestHead, body_framing};
use crate::response_body::{BodyEnd, ResponseBody};
use crate::upload_progress::{ReadWaits, UploadProgress};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use open_calls::{OpenCall, OpenCalls};
use responses::{error_response, final_response, health_response};
use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{Idempotency, NewRequest};
use sillward_forwarding::{
    BodySender, Call, FinalResponse, LiveSettings, MemoryBudget, NodeHandle, Payload,
    READ_BUFFER_BYTES, RequestLimit, RequestPermit, SettingsSnapshot, StreamingBody,
};
use sillward_listener::{
    AfterRequest, ClientConnection, ConnectionHandler, ConnectionManager, SharedLifecycle,
};
use sillward_metrics::{Counters, RequestOutcome};
use sillward_runtime::{Stream, StreamHandle};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The longest time that the upload of a request's body may take: 32 MiB at the minimum rate, and the time of a slow backend.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(1200);
/// The path of health checks by the load balancer in front of the node.
const READINESS_PATH: &str = "/health/ready";

/// Serves clients that speak HTTP/1.1.
pub struct Frontend {
    settings: Rc<LiveSettings>,
    node: NodeHandle,
    lifecycle: Rc<SharedLifecycle>,
    counters: Rc<Counters>,
    connections: Rc<ConnectionManager>,
    /// The memory for bodies of requests and responses.
    budget: MemoryBudget,
    /// The requests that may be open in the node.
    limit: RequestLimit,
    open_calls: Rc<OpenCalls>,
}

/// What a frontend is built on.
pub struct FrontendServices {
    /// Takes the requests.
    pub node: NodeHandle,
    /// The settings of the moment.
    pub settings: Rc<LiveSettings>,
    /// The connections that are served.
    pub connections: Rc<ConnectionManager>,
    /// The memory for bodies of requests and responses.
    pub budget: MemoryBudget,
    /// The requests that may be open in the node.
    pub limit: RequestLimit,
    /// The stages of the process.
    pub lifecycle: Rc<SharedLifecycle>,
    /// Counts what becomes of requests.
    pub counters: Rc<Counters>,
    /// The calls of the other process of this node.
    pub call_ids: Rc<dyn CallIdExchange>,
}

/// A client, as far as its requests need it.
struct Client {
    connection: Rc<ClientConnection>,
    socket: StreamHandle,
    head_scanner: Rc<HeadScanner>,
    read_waits: Rc<ReadWaits>,
}

impl Client {
    /// The progress of a body that starts now.
    fn upload_progress(&self, framing: Framing) -> Rc<UploadProgress> {
        UploadProgress::new(
            self.socket.clone(),
            self.read_waits.clone(),
            framing.length(),
        )
    }
}

/// The result of handling a request.
enum Handled {
    /// A health check by the load balancer in front of the node.
    Readiness { healthy: bool },
    /// A request whose body was read completely.
    Complete(FinalResponse),
    /// As [`Handled::Complete`], with a response that is still being received. Its call is open until its last byte.
    Streaming {
        response: FinalResponse,
        call: OpenCall,
    },
    /// A request whose body was not read completely.
    BodyUnread(FinalResponse),
}

/// What became of a request whose body was received while it was open.
enum StreamedRequest {
    /// It has its final response; `None` if the node has stopped.
    Ended(Option<FinalResponse>),
    /// Its body was not complete in time for a response before the process exits.
    BodyTooLate,
}

/// Why a body was not relayed to its end.
enum BodyFailure {
    /// The client's fault.
    Client(RequestError),
    /// It was not complete in time for a response before the process exits.
    TooLate,
}

impl Frontend {
    /// A frontend that serves the connections of its services and submits requests to their node.
    pub fn new(services: FrontendServices) -> Rc<Self> {
        Rc::new(Frontend {
            settings: services.settings,
            node: services.node,
            lifecycle: services.lifecycle,
            counters: services.counters,
            connections: services.connections,
            budget: services.budget,
            limit: services.limit,
            open_calls: Rc::new(OpenCalls::new(services.call_ids)),
        })
    }

    async fn respond(
        self: Rc<Self>,
        client: Rc<Client>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let connection = client.connection.clone();
        connection.request_opened();
        let is_http_10 = request.version() < Version::HTTP_11;
        let handled = self.handle(&client, request).await;
        let after_request = match handled {
            // The start of the next request on the connection is unknown.
            Err(_) | Ok(Handled::BodyUnread(_)) => AfterRequest::Close,
            Ok(_) => self.connections.after_request(),
        };
        let mut response = match handled {
            Ok(Handled::Streaming {
                response:
                    FinalResponse::Streamed {
                        first,
                        length,
                        rest,
                    },
                mut call,
            }) if length.is_some() || !is_http_10 => {
                let connections = self.connections.clone();
                connection.response_started();
                // The request is open until the last byte of its response.
                let on_end = Box::new(move |end| {
                    if end == BodyEnd::Complete {
                        call.finish();
                    }
                    connections.request_finished(&connection, after_request);
                });
                Response::new(ResponseBody::streamed(first.bytes, length, rest, on_end))
            }
            handled => {
                self.connections
                    .request_finished(&connection, after_request);
                buffered_response(handled)
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
        client: &Client,
        request: Request<Incoming>,
    ) -> Result<Handled, RequestError> {
        let (head, body) = request.into_parts();
        let settings = self.settings.snapshot();
        let framing = body_framing(&head, &body, &client.head_scanner);
        if framing.is_ok() && head.uri.path() == READINESS_PATH {
            return Ok(Handled::Readiness {
                healthy: self.lifecycle.is_healthy(),
            });
        }
        let (head, framing) = match check_head(&settings.platform, head, framing) {
            Ok(checked) => checked,
            Err(error) => {
                discard_in_background(body);
                return Err(error);
            }
        };
        let class = head.class;
        let progress = client.upload_progress(framing);
        let body = RequestBody::new(body, progress);
        self.forward(&client.connection, head, framing, body, &settings)
            .await
            .inspect_err(|_| self.counters.request_ended(class, RequestOutcome::Failed))
    }

    /// Reads the request's body, submits the request to the node, and waits for the final response.
    async fn forward(
        &self,
        connection: &Rc<ClientConnection>,
        head: RequestHead,
        framing: Framing,
        mut body: RequestBody,
        settings: &SettingsSnapshot,
    ) -> Result<Handled, RequestError> {
        let Some(permit) = self.limit.try_admit() else {
            return Ok(self.reject_over_limit(head.class, body, settings));
        };
        let request = new_request(&head, settings);
        let wanted_within = request.wanted_within();
        let start = tokio::select! {
            biased;
            start = body.read_start(framing, &self.budget) => Some(start?),
            () = self.lifecycle.acceptance_ended(wanted_within) => None,
        };
        let accepted = start.filter(|_| self.lifecycle.accepts_request(wanted_within));
        let (first, streaming) = match accepted {
            Some(BodyStart::Complete(bytes)) => (bytes, None),
            Some(BodyStart::Partial(bytes)) => {
                let progress = body.progress().clone();
                let streaming = StreamingBody::new(
                    framing.length(),
                    head.time_budget,
                    Box::new(move || progress.earliest_last_byte()),
                );
                (bytes, Some(streaming))
            }
            Some(BodyStart::OutOfMemory) => {
                return Ok(self.reject_out_of_memory(head.class, body, settings));
            }
            None => return Ok(self.reject_shutting_down(head.class, body, settings)),
        };
        let received_at = self.node.clock().now();
        // Backends would treat two open requests with the same call ID as one.
        let registered = OpenCall::register(&self.open_calls, &head.call_id, self.node.clock());
        let Some(mut open_call) = registered else {
            return Err(RequestError::CallIdInUse);
        };
        let mut call = new_call(&head, first, connection, received_at, &settings.platform);
        let must_run_once = !call.safe && call.idempotency_key.is_none();
        if must_run_once && !open_call.must_run_once(call.progress.clone()) {
            return Err(RequestError::CallIdInUse);
        }
        let submitted = match streaming {
            None => {
                let response = self.node.submit(permit, request, call, received_at).await;
                Ok(StreamedRequest::Ended(response))
            }
            Some((streaming_body, sender)) => {
                call.streaming_body = Some(streaming_body);
                call.deadline.set(received_at + MAX_UPLOAD_TIME);
                self.submit_streaming(permit, request, call, received_at, &mut body, sender)
                    .await
            }
        };
        if has_run_or_never_will(&submitted) {
            open_call.finish();
        }
        let response = match submitted? {
            StreamedRequest::Ended(response) => response,
            StreamedRequest::BodyTooLate => {
                return Ok(self.reject_shutting_down(head.class, body, settings));
            }
        };
        let response = response.unwrap_or(FinalResponse::Failed);
        if body.is_ended() {
            return Ok(match response {
                FinalResponse::Streamed { .. } => Handled::Streaming {
                    response,
                    call: open_call,
                },
                response => Handled::Complete(response),
            });
        }
        discard_in_background(body.into_unread());
        Ok(Handled::BodyUnread(response))
    }

    /// Submits a request while its body is still being received.
    async fn submit_streaming(
        &self,
        permit: RequestPermit,
        request: NewRequest,
        call: Call,
        received_at: Duration,
        body: &mut RequestBody,
        sender: BodySender,
    ) -> Result<StreamedRequest, RequestError> {
        let wanted_within = request.wanted_within();
        let (body_received_sender, body_received) = oneshot::channel();
        let body_received = async {
            match body_received.await {
                Ok(at) => at,
                Err(_) => std::future::pending().await, // the body failed, or is not read to its end
            }
        };
        let response =
            self.node
                .submit_streaming(permit, request, call, received_at, body_received);
        let relay = async {
            tokio::select! {
                biased;
                relayed = relay_body(body, &sender) => relayed.map_err(BodyFailure::Client)?,
                () = self.lifecycle.acceptance_ended(wanted_within) => return Err(BodyFailure::TooLate),
            }
            // Fails if the request has its final response.
            let _ = body_received_sender.send(body.progress().earliest_last_byte());
            sender.finish().await;
            std::future::pending().await
        };
        // If the body fails, dropping the submission tells the node that the client has disconnected. No backend has received
        // the last byte then.
        tokio::select! {
            biased;
            response = response => Ok(StreamedRequest::Ended(response)),
            failure = relay => match failure {
                Ok(response) => Ok(response),
                Err(BodyFailure::Client(error)) => Err(error),
                Err(BodyFailure::TooLate) => Ok(StreamedRequest::BodyTooLate),
            },
        }
    }
}

/// Relays a body while it is received, up to its end. Does not return if the attempt that takes it has ended: its response
/// follows.
async fn relay_body(body: &mut RequestBody, sender: &BodySender) -> Result<(), RequestError> {
    while let Some(bytes) = body.next().await? {
        if !sender.send(bytes).await {
            std::future::pending().await
        }
    }
    Ok(())
}

impl ConnectionHandler for Frontend {
    async fn serve(self: Rc<Self>, stream: Stream, connection: Rc<ClientConnection>) {
        let client = Rc::new(Client {
            connection: connection.clone(),
            socket: stream.handle(),
            head_scanner: Rc::default(),
            read_waits: ReadWaits::new(self.node.clock()),
        });
        let read_ahead = ReadAhead::new(self.budget.clone());
        let observed_stream = stream.share();
        let service = service_fn(|request| self.clone().respond(client.clone(), request));
        let observer = ClientStreamObserver {
            head_scanner: client.head_scanner.clone(),
            read_ahead: read_ahead.clone(),
            read_waits: client.read_waits.clone(),
        };
        let http_connection = http1::Builder::new()
            // hyper's timeout would also apply to idle connections, for which the connection manager has one.
            .header_read_timeout(None)
            .max_buf_size(READ_BUFFER_BYTES)
            .serve_connection(HyperIo::observed(stream, observer), service);
        let mut http_connection = Box::pin(http_connection);
        loop {
            // A request that has arrived is read before the connection is closed.
            tokio::select! {
                biased;
                _ = http_connection.as_mut() => break,
                () = connection.close_requested() => http_connection.as_mut().graceful_shutdown(),
                // Dropping the open request tells the node that the client has disconnected.
                () = read_ahead.client_disconnected(&observed_stream, &connection) => return,
            }
        }
        drop(http_connection);
        connection.lingering_close(&observed_stream).await;
    }
}

fn check_head(
    settings: &PlatformSettings,
    head: Parts,
    framing: Result<Framing, RequestError>,
) -> Result<(RequestHead, Framing), RequestError> {
    let framing = framing?;
    let head = RequestHead::check(settings, head, framing)?;
    Ok((head, framing))
}

fn new_request(head: &RequestHead, settings: &SettingsSnapshot) -> NewRequest {
    NewRequest {
        class: head.class,
        tenant: head.tenant,
        key: head.key,
        remaining: head.time_budget,
        expected_work: head.expected_work,
        client_retry: head.client_retry,
        policy: Some(settings.request_policy(head.class)),
        ..NewRequest::default()
    }
}

/// The call of a request, without the rest of a body that is still being received.
fn new_call(
    head: &RequestHead,
    body: Bytes,
    connection: &Rc<ClientConnection>,
    received_at: Duration,
    settings: &PlatformSettings,
) -> Call {
    let copied = |value: &HeaderValue| Bytes::copy_from_slice(value.as_bytes());
    let class = &settings.settings.classes[head.class];
    Call {
        class: head.class,
        safe: class.idempotency == Idempotency::Idempotent,
        target: Bytes::copy_from_slice(head.target.as_str().as_bytes()),
        call_id: copied(&head.call_id),
        idempotency_key: head.idempotency_key.as_ref().map(copied),
        payload: Payload::plain(body),
        streaming_body: None,
        response_validator: None,
        expects_response: true,
        client_connected_check: Some(connection.connected_check()),
        deadline: Cell::new(received_at + head.time_budget),
        idempotency_window: head.idempotency_window,
        progress: Rc::default(),
    }
}

/// Whether a backend has given its complete response, or none has received the whole request.
fn has_run_or_never_will(submitted: &Result<StreamedRequest, RequestError>) -> bool {
    match submitted {
        Ok(StreamedRequest::Ended(Some(response))) => {
            matches!(response, FinalResponse::Complete(_))
        }
        Ok(StreamedRequest::Ended(None)) => false,
        Ok(StreamedRequest::BodyTooLate) | Err(_) => true,
    }
}

fn buffered_response(handled: Result<Handled, RequestError>) -> Response<ResponseBody> {
    match handled {
        Ok(
            Handled::Complete(response)
            | Handled::Streaming { response, .. }
            | Handled::BodyUnread(response),
        ) => final_response(response),
        Ok(Handled::Readiness { healthy }) => health_response(healthy),
        Err(error) => error_response(error),
    }
}
