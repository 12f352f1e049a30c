//! gRPC over HTTP/2, as much as a client of etcd needs: unary calls and one stream in both directions.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::client::SendRequest;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request};
use sillward_runtime::net::TcpStream;
use sillward_runtime::task::{JoinHandle, spawn_local};
use std::net::SocketAddr;

/// The largest message that is taken: a page of the list is far below.
const LARGEST: usize = 8 << 20;
/// What a connection and a stream may have on their way to the node.
const WINDOW: u32 = 1 << 20;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// gRPC's code; 14 (unavailable) where the connection failed, 13 (internal) for what is no gRPC.
    pub code: u32,
    /// In words.
    pub message: String,
}

impl Status {
    fn broken(e: impl std::fmt::Display) -> Self {
        Status {
            code: 14,
            message: e.to_string(),
        }
    }

    fn nonsense(what: &str) -> Self {
        Status {
            code: 13,
            message: what.to_owned(),
        }
    }
}

/// A message with its prefix: a zero byte (not compressed) and its length.
pub fn framed(message: &impl prost::Message) -> Bytes {
    let mut out = BytesMut::with_capacity(5 + message.encoded_len());
    out.put_u8(0);
    out.put_u32(message.encoded_len() as u32);
    let _ = message.encode(&mut out); // the buffer grows
    out.freeze()
}

/// Takes messages out of a stream of bytes.
#[derive(Default)]
pub struct Frames(BytesMut);

impl Frames {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// The next whole message, if it has come.
    ///
    /// # Errors
    /// It is compressed, larger than 8 MiB, or no such message.
    pub fn message<M: prost::Message + Default>(&mut self) -> Result<Option<M>, Status> {
        let Some(prefix) = self.0.first_chunk::<5>() else {
            return Ok(None);
        };
        let [compressed, a, b, c, d] = *prefix;
        let length = u32::from_be_bytes([a, b, c, d]) as usize;
        if compressed != 0 {
            return Err(Status::nonsense("a compressed message"));
        }
        if length > LARGEST {
            return Err(Status::nonsense("a message of more than 8 MiB"));
        }
        if self.0.len() < 5 + length {
            return Ok(None);
        }
        self.0.advance(5);
        let message = self.0.split_to(length).freeze();
        M::decode(message)
            .map(Some)
            .map_err(|e| Status::nonsense(&e.to_string()))
    }
}

/// A connection to an endpoint. It closes when it is dropped.
pub struct Grpc {
    sender: SendRequest<Bytes>,
    task: JoinHandle<()>,
    authority: String,
    token: Option<HeaderValue>,
}

impl Drop for Grpc {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A stream in both directions. It is reset when it is dropped.
pub struct Stream {
    up: SendStream<Bytes>,
    down: RecvStream,
    frames: Frames,
}

impl Grpc {
    /// Opens a connection.
    ///
    /// # Errors
    /// It can't be opened, or what answers speaks no HTTP/2.
    pub async fn connect(endpoint: SocketAddr) -> Result<Self, Status> {
        let stream = TcpStream::connect(endpoint).await.map_err(Status::broken)?;
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(WINDOW)
            .initial_connection_window_size(WINDOW)
            .enable_push(false);
        let (sender, connection) = builder.handshake(stream).await.map_err(Status::broken)?;
        let task = spawn_local(async move {
            let _ = connection.await; // its end shows in the calls on it
        });
        Ok(Grpc {
            sender,
            task,
            authority: endpoint.to_string(),
            token: None,
        })
    }

    /// Sends this token with every call from now on.
    pub fn authorize(&mut self, token: &str) {
        self.token = HeaderValue::from_str(token).ok();
    }

    async fn open(
        &mut self,
        path: &str,
        end: Option<Bytes>,
    ) -> Result<(RecvHead, SendStream<Bytes>), Status> {
        let mut request = Request::post(format!("http://{}{path}", self.authority))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .body(())
            .map_err(Status::broken)?;
        if let Some(token) = &self.token {
            request.headers_mut().insert("token", token.clone());
        }
        std::future::poll_fn(|cx| self.sender.poll_ready(cx))
            .await
            .map_err(Status::broken)?;
        let (response, mut up) = self
            .sender
            .send_request(request, false)
            .map_err(Status::broken)?;
        if let Some(message) = end {
            up.send_data(message, true).map_err(Status::broken)?;
        }
        Ok((RecvHead(response), up))
    }

    /// One message there, one back.
    ///
    /// # Errors
    /// The call failed, with the code that the server gave.
    pub async fn unary<M: prost::Message + Default>(
        &mut self,
        path: &str,
        message: &impl prost::Message,
    ) -> Result<M, Status> {
        let (head, _up) = self.open(path, Some(framed(message))).await?;
        let mut down = head.body().await?;
        let mut frames = Frames::default();
        while let Some(data) = down.data().await {
            let data = data.map_err(Status::broken)?;
            frames.push(&data);
            let _ = down.flow_control().release_capacity(data.len());
            if frames.0.len() > LARGEST + 5 {
                return Err(Status::nonsense("a message of more than 8 MiB"));
            }
        }
        let trailers = down.trailers().await.map_err(Status::broken)?;
        status(trailers.as_ref())?;
        frames
            .message()?
            .ok_or_else(|| Status::nonsense("no message"))
    }

    /// Opens a stream with its first message.
    ///
    /// # Errors
    /// The call failed.
    pub async fn stream(
        &mut self,
        path: &str,
        first: &impl prost::Message,
    ) -> Result<Stream, Status> {
        let (head, mut up) = self.open(path, None).await?;
        up.send_data(framed(first), false).map_err(Status::broken)?;
        Ok(Stream {
            up,
            down: head.body().await?,
            frames: Frames::default(),
        })
    }
}

impl Stream {
    /// Sends a message.
    ///
    /// # Errors
    /// The stream has ended.
    pub fn send(&mut self, message: &impl prost::Message) -> Result<(), Status> {
        self.up
            .send_data(framed(message), false)
            .map_err(Status::broken)
    }

    /// The next message. Dropped while it waits, it loses nothing.
    ///
    /// # Errors
    /// The stream has ended, for whatever reason.
    pub async fn next<M: prost::Message + Default>(&mut self) -> Result<M, Status> {
        loop {
            if let Some(message) = self.frames.message()? {
                return Ok(message);
            }
            let Some(data) = self.down.data().await else {
                let trailers = self.down.trailers().await.map_err(Status::broken)?;
                status(trailers.as_ref())?;
                return Err(Status::broken("the stream ended"));
            };
            let data = data.map_err(Status::broken)?;
            self.frames.push(&data);
            let _ = self.down.flow_control().release_capacity(data.len());
        }
    }
}

/// A response whose head has not come.
struct RecvHead(h2::client::ResponseFuture);

impl RecvHead {
    async fn body(self) -> Result<RecvStream, Status> {
        let response = self.0.await.map_err(Status::broken)?;
        if response.status() != http::StatusCode::OK {
            return Err(Status::broken(response.status()));
        }
        // A call that fails at once has its status in its head.
        if response.headers().contains_key("grpc-status") {
            status(Some(response.headers()))?;
        }
        Ok(response.into_body())
    }
}

fn status(trailers: Option<&HeaderMap>) -> Result<(), Status> {
    let text = |name| {
        trailers
            .and_then(|t| t.get(name))
            .and_then(|value| value.to_str().ok())
    };
    match text("grpc-status").map(str::parse::<u32>) {
        Some(Ok(0)) => Ok(()),
        Some(Ok(code)) => Err(Status {
            code,
            message: text("grpc-message").unwrap_or_default().to_owned(),
        }),
        _ => Err(Status::nonsense("no status")),
    }
}
