//! The body of a response to a client: complete, or streamed from its backend.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use sillward_forwarding::BodyStream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The body of a response to a client.
pub(crate) enum ResponseBody {
    /// The complete body.
    Complete(Bytes),
    /// A body whose rest is still being received.
    Streamed(StreamedBody),
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// hyper has taken all of it.
    Complete,
    /// hyper has dropped it before, or it could not be received to its end.
    Incomplete,
}

/// What is called when a body has ended.
type OnBodyEnd = Box<dyn FnOnce(BodyEnd)>;

/// A body that is sent to the client while it is received from its backend.
pub(crate) struct StreamedBody {
    first: Bytes,
    rest: Box<dyn BodyStream>,
    /// The number of bytes that hyper has not taken yet, if known.
    remaining: Option<u64>,
    /// Whether the backend has sent all of it, where its length is not known.
    has_ended: bool,
    /// Called when hyper has taken all of the body, or drops it.
    on_end: Option<OnBodyEnd>,
}

impl ResponseBody {
    /// A body of `length` bytes, if known, that begins with `first`. `on_end` is called once hyper has taken all of it or
    /// drops it.
    pub(crate) fn streamed(
        first: Bytes,
        length: Option<u64>,
        rest: Box<dyn BodyStream>,
        on_end: OnBodyEnd,
    ) -> Self {
        ResponseBody::Streamed(StreamedBody {
            first,
            rest,
            remaining: length,
            has_ended: false,
            on_end: Some(on_end),
        })
    }
}

impl StreamedBody {
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let bytes = if self.first.is_empty() {
            match ready!(self.rest.poll_next(cx)) {
                Some(Ok(bytes)) => bytes,
                // The error closes the connection without the body's last chunk, so that the client detects the missing end.
                Some(Err(_)) => {
                    let error = io::Error::other("the backend's response is incomplete");
                    return Poll::Ready(Some(Err(error)));
                }
                None => {
                    self.has_ended = true;
                    return Poll::Ready(None);
                }
            }
        } else {
            std::mem::take(&mut self.first)
        };
        self.remaining = self
            .remaining
            .map(|remaining| remaining.saturating_sub(bytes.len() as u64));
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn end(&self) -> BodyEnd {
        let is_complete = self
            .remaining
            .map_or(self.has_ended, |remaining| remaining == 0);
        if is_complete {
            BodyEnd::Complete
        } else {
            BodyEnd::Incomplete
        }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        if let Some(on_end) = self.on_end.take() {
            on_end(self.end());
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            ResponseBody::Complete(bytes) if bytes.is_empty() => Poll::Ready(None),
            ResponseBody::Complete(bytes) => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes)))))
            }
            ResponseBody::Streamed(body) => body.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Complete(bytes) => bytes.is_empty(),
            ResponseBody::Streamed(body) => body.remaining == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Streamed(body) => body
                .remaining
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
