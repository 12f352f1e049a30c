//! Pages for operators, on a listener of their own: plain GETs, each answered by what a function says just then.
#![forbid(unsafe_code)]

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use sillward_http1::Socket;
use sillward_listener::{Client, Door, Serve};
use sillward_seam::Stream;
use std::convert::Infallible;
use std::rc::Rc;

/// A page's text, as it is now.
pub type Page = Box<dyn Fn() -> String>;

/// The front for operators.
pub struct Admin {
    door: Rc<Door>,
    /// Each with its path; all are JSON.
    pages: Vec<(&'static str, Page)>,
}

impl Admin {
    pub fn new(door: Rc<Door>, pages: Vec<(&'static str, Page)>) -> Rc<Self> {
        Rc::new(Admin { door, pages })
    }

    fn answer(&self, method: &Method, path: &str) -> Response<Full<Bytes>> {
        let page = self.pages.iter().find(|(known, _)| *known == path);
        let (status, text) = match page {
            Some(_) if method != Method::GET => (StatusCode::METHOD_NOT_ALLOWED, String::new()),
            Some((_, page)) => (StatusCode::OK, page()),
            None => (StatusCode::NOT_FOUND, String::new()),
        };
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }
}

impl Serve for Admin {
    async fn serve(self: Rc<Self>, stream: Stream, client: Rc<Client>) {
        let service = service_fn(|request: hyper::Request<hyper::body::Incoming>| {
            client.opened();
            let response = self.answer(request.method(), request.uri().path());
            self.door.done(&client, self.door.is_closing());
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(8 * 1024)
            .serve_connection(Socket(stream), service);
        let mut connection = std::pin::pin!(connection);
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
