//! Connections to a gRPC server, and the calls and streams on them.

use super::frame::{FrameDecoder, encode_frame};
use crate::error::EtcdError;
use bytes::Bytes;
use h2::client::{ResponseFuture, SendRequest};
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use sillward_runtime::net::TcpStream;
use sillward_runtime::task::{JoinHandle, spawn_local};
use std::net::SocketAddr;

/// The HTTP/2 flow-control window for received data, of a connection and of each stream.
const WINDOW_BYTES: u32 = 1 << 20;

/// A connection to a gRPC server, closed on drop.
pub struct GrpcConnection {
    sender: SendRequest<Bytes>,
    task: JoinHandle<()>,
    authority: String,
    token: Option<HeaderValue>,
}

impl Drop for GrpcConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl GrpcConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// The connection can't be opened, or the HTTP/2 handshake fails.
    pub async fn connect(address: SocketAddr) -> Result<Self, EtcdError> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(EtcdError::Connect)?;
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .enable_push(false);
        let (sender, connection) = builder.handshake(stream).await?;
        let task = spawn_local(async move {
            let _ = connection.await; // calls and streams report its errors
        });
        Ok(GrpcConnection {
            sender,
            task,
            authority: address.to_string(),
            token: None,
        })
    }

    /// Sets the authentication token that is sent with every later call.
    pub fn set_token(&mut self, token: &str) {
        self.token = HeaderValue::from_str(token).ok();
    }

    /// Performs a unary call: sends one message and returns the response message.
    ///
    /// # Errors
    /// The call failed; a failure reported by the server carries its status code.
    pub async fn unary<M: prost::Message + Default>(
        &mut self,
        path: &str,
        message: &impl prost::Message,
    ) -> Result<M, EtcdError> {
        let (response, mut sending) = self.send_head(path).await?;
        sending.send_data(encode_frame(message), true)?;
        let mut receiving = response_body(response).await?;
        let mut frames = FrameDecoder::default();
        while let Some(data) = receiving.data().await {
            buffer_data(&mut receiving, &mut frames, &data?);
            if frames.exceeds_limit() {
                return Err(EtcdError::MessageTooLarge);
            }
        }
        let trailers = receiving.trailers().await?;
        check_status(trailers.as_ref())?;
        frames.message()?.ok_or(EtcdError::MissingMessage)
    }

    /// Opens a bidirectional stream and sends its first message.
    ///
    /// # Errors
    /// The call failed; a failure reported by the server carries its status code.
    pub async fn stream(
        &mut self,
        path: &str,
        first: &impl prost::Message,
    ) -> Result<GrpcStream, EtcdError> {
        let (response, mut sending) = self.send_head(path).await?;
        sending.send_data(encode_frame(first), false)?;
        Ok(GrpcStream {
            sending,
            receiving: response_body(response).await?,
            frames: FrameDecoder::default(),
        })
    }

    async fn send_head(
        &mut self,
        path: &str,
    ) -> Result<(ResponseFuture, SendStream<Bytes>), EtcdError> {
        let mut request = Request::post(format!("http://{}{path}", self.authority))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .body(())?;
        if let Some(token) = &self.token {
            request.headers_mut().insert("token", token.clone());
        }
        std::future::poll_fn(|cx| self.sender.poll_ready(cx)).await?;
        Ok(self.sender.send_request(request, false)?)
    }
}

/// A bidirectional stream of messages, reset on drop.
pub struct GrpcStream {
    sending: SendStream<Bytes>,
    receiving: RecvStream,
    frames: FrameDecoder,
}

impl GrpcStream {
    /// Sends a message.
    ///
    /// # Errors
    /// The stream is closed.
    pub fn send(&mut self, message: &impl prost::Message) -> Result<(), EtcdError> {
        Ok(self.sending.send_data(encode_frame(message), false)?)
    }

    /// Receives the next message. Cancel safe: dropping the future loses no data.
    ///
    /// # Errors
    /// The stream was closed or failed, or a message can't be decoded.
    pub async fn next<M: prost::Message + Default>(&mut self) -> Result<M, EtcdError> {
        loop {
            if let Some(message) = self.frames.message()? {
                return Ok(message);
            }
            let Some(data) = self.receiving.data().await else {
                let trailers = self.receiving.trailers().await?;
                check_status(trailers.as_ref())?;
                return Err(EtcdError::StreamEnded);
            };
            buffer_data(&mut self.receiving, &mut self.frames, &data?);
        }
    }
}

/// Buffers received data and releases its flow-control capacity, so that the server can send more.
fn buffer_data(receiving: &mut RecvStream, frames: &mut FrameDecoder, data: &Bytes) {
    frames.push(data);
    let _ = receiving.flow_control().release_capacity(data.len()); // fails only for more bytes than were received
}

/// Waits for the response head and returns the body.
async fn response_body(response: ResponseFuture) -> Result<RecvStream, EtcdError> {
    let response = response.await?;
    if response.status() != StatusCode::OK {
        return Err(EtcdError::HttpStatus(response.status()));
    }
    // A call that fails immediately has its status in the head (a trailers-only response).
    if response.headers().contains_key("grpc-status") {
        check_status(Some(response.headers()))?;
    }
    Ok(response.into_body())
}

fn check_status(trailers: Option<&HeaderMap>) -> Result<(), EtcdError> {
    let text = |name| trailers?.get(name)?.to_str().ok();
    match text("grpc-status").map(str::parse::<u32>) {
        Some(Ok(0)) => Ok(()),
        Some(Ok(code)) => Err(EtcdError::Status {
            code,
            message: text("grpc-message").unwrap_or_default().to_owned(),
        }),
        _ => Err(EtcdError::MissingStatus),
    }
}
