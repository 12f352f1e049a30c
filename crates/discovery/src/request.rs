//! HTTP requests to discovery, each on a connection of its own.

use crate::error::DiscoveryError;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use sillward_runtime::net::TcpStream;
use sillward_runtime::task::{JoinHandle, spawn_local};
use sillward_runtime::time::{Instant, timeout_at};
use std::net::SocketAddr;
use std::time::Duration;

/// The path of the endpoint list at discovery.
pub(crate) const LIST_PATH: &str = "/registry/instances";

/// A connection to discovery, closed on drop.
pub(crate) struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a GET request and returns once the response head has arrived, which must be within `head_timeout`. The body
/// can be read only while the returned connection is alive.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    head_timeout: Duration,
) -> Result<(Response<Incoming>, Connection), DiscoveryError> {
    timeout_at(Instant::now() + head_timeout, send(address, path))
        .await
        .map_err(|_| DiscoveryError::HeadTimeout)?
}

async fn send(
    address: SocketAddr,
    path: &str,
) -> Result<(Response<Incoming>, Connection), DiscoveryError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(DiscoveryError::Connect)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = Connection(spawn_local(async move {
        let _ = connection.await; // the response reports any error
    }));
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    match response.status() {
        StatusCode::OK => Ok((response, connection)),
        status => Err(DiscoveryError::Status(status)),
    }
}
