//! The body of an answer to a client: whole, or as it comes from its backend.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use sillward_forwarding::BodyStream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The body.
pub enum Reply {
    Whole(Bytes),
    Long(Long),
}

/// One that comes.
pub struct Long {
    first: Bytes,
    rest: Box<dyn BodyStream>,
    /// Bytes that are still to come, where that is known.
    left: Option<u64>,
    /// Called when hyper has had all of it, or lets go of it.
    over: Option<Box<dyn FnOnce()>>,
}

impl Reply {
    pub fn long(
        first: Bytes,
        length: Option<u64>,
        rest: Box<dyn BodyStream>,
        over: Box<dyn FnOnce()>,
    ) -> Self {
        Reply::Long(Long {
            first,
            rest,
            left: length,
            over: Some(over),
        })
    }
}

impl Drop for Long {
    fn drop(&mut self) {
        if let Some(over) = self.over.take() {
            over();
        }
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let long = match self.get_mut() {
            Reply::Whole(bytes) if bytes.is_empty() => return Poll::Ready(None),
            Reply::Whole(bytes) => {
                return Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes)))));
            }
            Reply::Long(long) => long,
        };
        let bytes = if long.first.is_empty() {
            match ready!(long.rest.poll_next(cx)) {
                Some(Ok(bytes)) => bytes,
                // Its connection, or its last chunk, is not ended as a whole one's would be.
                Some(Err(_)) => {
                    return Poll::Ready(Some(Err(io::Error::other("the backend's answer broke"))));
                }
                None => return Poll::Ready(None),
            }
        } else {
            std::mem::take(&mut long.first)
        };
        long.left = long
            .left
            .map(|left| left.saturating_sub(bytes.len() as u64));
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Reply::Whole(bytes) => bytes.is_empty(),
            Reply::Long(long) => long.left == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Reply::Long(Long {
                left: Some(left), ..
            }) => SizeHint::with_exact(*left),
            Reply::Long(_) => SizeHint::default(),
        }
    }
}
