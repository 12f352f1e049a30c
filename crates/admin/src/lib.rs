//! Operators' calls, on a listener of their own: HTTP/1.1, one call a connection, each answered by what a function says
//! just then.
#![forbid(unsafe_code)]

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use sillward_http1::HyperIo;
use sillward_logging::log_peer;
use sillward_runtime::Stream;
use sillward_runtime::net::{TcpListener, TcpStream};
use sillward_runtime::task::{AbortHandle, spawn_local};
use sillward_runtime::time::{sleep, timeout};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// Callers at once. The oldest makes room for the next: whoever asks is answered within a turn of the loop, so the
/// oldest is one that says nothing.
pub const CALLERS: usize = 32;
/// A caller has so long for its call and the reading of its answer.
const CALL_TIME: Duration = Duration::from_secs(2);
/// After an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What a call is answered.
pub struct Reply {
    pub status: StatusCode,
    pub content_type: &'static str,
    pub text: String,
}

impl Reply {
    /// A yes.
    pub fn yes(text: impl Into<String>) -> Self {
        Reply {
            status: StatusCode::OK,
            content_type: "text/plain",
            text: text.into(),
        }
    }

    /// A no, and why.
    pub fn no(status: StatusCode, text: impl Into<String>) -> Self {
        Reply {
            status,
            content_type: "text/plain",
            text: text.into(),
        }
    }

    /// JSON.
    pub fn json(text: String) -> Self {
        Reply {
            status: StatusCode::OK,
            content_type: "application/json",
            text,
        }
    }
}

/// An answer that may take a turn of the loop to find.
pub type Answering = Pin<Box<dyn Future<Output = Reply>>>;

/// A call that is known.
pub struct Route {
    pub method: Method,
    pub path: &'static str,
    pub answer: Box<dyn Fn() -> Answering>,
}

type Taking = dyn Fn(&[u8]) -> Reply;

/// A call with a body, by POST.
pub struct Posted {
    pub path: &'static str,
    pub answer: Box<Taking>,
}

/// The longest body, in bytes.
const MOST_BODY: usize = 64 * 1024;

impl Route {
    /// A call whose answer is there at once.
    pub fn new(method: Method, path: &'static str, answer: impl Fn() -> Reply + 'static) -> Self {
        let answer = move || -> Answering { Box::pin(std::future::ready(answer())) };
        Route {
            method,
            path,
            answer: Box::new(answer),
        }
    }
}

/// The front for operators.
pub struct Admin {
    routes: Vec<Route>,
    posted: Vec<Posted>,
    callers: RefCell<VecDeque<AbortHandle>>,
}

impl Admin {
    pub fn new(routes: Vec<Route>, posted: Vec<Posted>) -> Rc<Self> {
        Rc::new(Admin {
            routes,
            posted,
            callers: RefCell::default(),
        })
    }

    /// Answers calls for as long as it is polled.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.clone().admit(stream),
                Err(e) => {
                    log_peer(format_args!("cannot accept an operator's call: {e}"));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(self: Rc<Self>, stream: TcpStream) {
        let mut callers = self.callers.borrow_mut();
        callers.retain(|caller| !caller.is_finished());
        if callers.len() >= CALLERS {
            callers.pop_front().iter().for_each(AbortHandle::abort);
        }
        let admin = self.clone();
        let (stream, _) = Stream::new(stream);
        let task = spawn_local(async move {
            let _ = timeout(CALL_TIME, admin.serve(stream)).await; // whoever is not done by then has given up
        });
        callers.push_back(task.abort_handle());
    }

    async fn serve(&self, stream: Stream) {
        let service = service_fn(
            |request: hyper::Request<hyper::body::Incoming>| async move {
                let posted = self
                    .posted
                    .iter()
                    .find(|posted| posted.path == request.uri().path());
                if let (Some(posted), &Method::POST) = (posted, request.method()) {
                    let body = Limited::new(request.into_body(), MOST_BODY).collect().await;
                    let reply = match body {
                        Ok(body) => (posted.answer)(&body.to_bytes()),
                        Err(_) => Reply::no(
                            StatusCode::PAYLOAD_TOO_LARGE,
                            "the body is too long, or was cut off\n",
                        ),
                    };
                    return Ok::<_, Infallible>(response(reply));
                }
                Ok::<_, Infallible>(self.answer(request.method(), request.uri().path()).await)
            },
        );
        // An end, or bytes that make no sense: either is the caller's own.
        let _ = http1::Builder::new()
            .header_read_timeout(None)
            .keep_alive(false)
            .max_buf_size(8 * 1024)
            .serve_connection(HyperIo::new(stream), service)
            .await;
    }

    async fn answer(&self, method: &Method, path: &str) -> Response<Full<Bytes>> {
        let mut at = self
            .routes
            .iter()
            .filter(|route| route.path == path)
            .peekable();
        let allowed = at.peek().map(|route| route.method.clone());
        let reply = match (at.find(|route| route.method == *method), &allowed) {
            (Some(route), _) => (route.answer)().await,
            (None, Some(_)) => Reply::no(StatusCode::METHOD_NOT_ALLOWED, "not by this method\n"),
            (None, None) => Reply::no(StatusCode::NOT_FOUND, "no such call\n"),
        };
        let status = reply.status;
        let mut response = response(reply);
        if let (StatusCode::METHOD_NOT_ALLOWED, Some(allowed)) = (status, allowed) {
            if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
                response.headers_mut().insert(ALLOW, allowed);
            }
        }
        response
    }
}

fn response(reply: Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.text)));
    *response.status_mut() = reply.status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
    response
}
