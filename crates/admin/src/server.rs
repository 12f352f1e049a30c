//! The server of the operators' interface.

use crate::reply::Reply;
use crate::route::{PostRoute, Route};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use sillward_http1::HyperIo;
use sillward_logging::log_peer;
use sillward_runtime::Stream;
use sillward_runtime::net::{TcpListener, TcpStream};
use sillward_runtime::task::{AbortHandle, spawn_local};
use sillward_runtime::time::{sleep, timeout};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

/// Connections at once. The oldest is closed for the next: every request is answered within a turn of the event loop, so the
/// oldest is one that sends nothing.
pub const MAX_CONNECTIONS: usize = 32;
/// The time of a connection, for its request and for reading the reply.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after an accept that failed, as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The longest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// hyper's buffer of a connection, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// The server of the operators' interface.
pub struct AdminServer {
    routes: Vec<Route>,
    post_routes: Vec<PostRoute>,
    connections: RefCell<VecDeque<AbortHandle>>,
}

impl AdminServer {
    /// A server of these routes. Routes with a body go before the others of their path.
    pub fn new(routes: Vec<Route>, post_routes: Vec<PostRoute>) -> Rc<Self> {
        Rc::new(AdminServer {
            routes,
            post_routes,
            connections: RefCell::default(),
        })
    }

    /// Serves connections for as long as it is polled.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.clone().admit(stream),
                Err(error) => {
                    log_peer(format_args!("cannot accept an operator's call: {error}"));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(self: Rc<Self>, stream: TcpStream) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.is_finished());
        if connections.len() >= MAX_CONNECTIONS {
            connections.pop_front().iter().for_each(AbortHandle::abort);
        }
        let server = self.clone();
        let (stream, _) = Stream::new(stream);
        let task = spawn_local(async move {
            // A client that is not done by then has given up.
            let _ = timeout(CONNECTION_TIMEOUT, server.serve(stream)).await;
        });
        connections.push_back(task.abort_handle());
    }

    async fn serve(&self, stream: Stream) {
        let service =
            service_fn(|request| async move { Ok::<_, Infallible>(self.respond(request).await) });
        // The client's end or malformed request concerns nobody else.
        let _ = http1::Builder::new()
            .header_read_timeout(None)
            .keep_alive(false)
            .max_buf_size(BUFFER_BYTES)
            .serve_connection(HyperIo::new(stream), service)
            .await;
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        let post_route = self.post_routes.iter().find(|route| route.path == path);
        match (post_route, request.method()) {
            (Some(route), &Method::POST) => respond_to_body(route, request).await,
            _ => self.respond_without_body(request.method(), path).await,
        }
    }

    async fn respond_without_body(&self, method: &Method, path: &str) -> Response<Full<Bytes>> {
        let mut routes = self
            .routes
            .iter()
            .filter(|route| route.path == path)
            .peekable();
        let allowed = routes.peek().map(|route| route.method.clone());
        if let Some(route) = routes.find(|route| route.method == *method) {
            return (route.answer)().await.into();
        }
        let Some(allowed) = allowed else {
            return Reply::error(StatusCode::NOT_FOUND, "no such call\n").into();
        };
        let reply = Reply::error(StatusCode::METHOD_NOT_ALLOWED, "not by this method\n");
        let mut response = Response::from(reply);
        if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
            response.headers_mut().insert(ALLOW, allowed);
        }
        response
    }
}

async fn respond_to_body(route: &PostRoute, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await;
    let reply = match body {
        Ok(body) => (route.answer)(&body.to_bytes()),
        Err(_) => Reply::error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too long, or was cut off\n",
        ),
    };
    reply.into()
}
