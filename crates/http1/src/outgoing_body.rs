//! The body of a request to a backend, and the write progress of the request. A failed attempt may have run only if its last
//! byte was written.

use crate::hyper_io::StreamObserver;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use sillward_forwarding::{BodyReceiver, BodyStream, Call};
use sillward_metrics::Counters;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The write state of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum WriteState {
    /// hyper has not taken the last byte.
    #[default]
    Writing,
    /// hyper has taken the last byte, but may not have written it.
    Buffered,
    /// The kernel has taken the last byte.
    Written,
}

/// The write progress of the current request on a connection.
#[derive(Default)]
pub(crate) struct WriteProgress {
    state: Cell<WriteState>,
    /// Where the request is counted once it is written.
    counters: RefCell<Option<Rc<Counters>>>,
}

impl WriteProgress {
    /// Whether the kernel has accepted the whole request. Before that, no backend can have started to run it.
    pub(crate) fn is_complete(&self) -> bool {
        self.state.get() == WriteState::Written
    }

    fn begin(&self, counters: Option<Rc<Counters>>) {
        self.state.set(WriteState::Writing);
        self.counters.replace(counters);
    }

    /// Called when hyper has taken the last byte.
    fn set_buffered(&self) {
        if self.state.get() == WriteState::Writing {
            self.state.set(WriteState::Buffered);
        }
    }
}

impl StreamObserver for Rc<WriteProgress> {
    fn flushed(&self) {
        if self.state.get() != WriteState::Buffered {
            return;
        }
        self.state.set(WriteState::Written);
        if let Some(counters) = self.counters.take() {
            counters.attempt_written();
        }
    }
}

/// The part of a body that follows its first bytes.
enum BodyRest {
    /// The first bytes are the whole body.
    Empty,
    /// Still being received from the client, and not taken by an attempt yet.
    Available(Rc<Call>),
    /// Still being received from the client, and taken by this attempt.
    Taken {
        call: Rc<Call>,
        receiver: BodyReceiver,
        /// Whether any of it was sent to the backend.
        sent: bool,
    },
}

/// The body of a request to a backend.
pub(crate) struct OutgoingBody {
    /// The bytes that were received before the attempt.
    first: Bytes,
    rest: BodyRest,
    /// The number of bytes that hyper has not taken yet, if known.
    remaining: Option<u64>,
    progress: Rc<WriteProgress>,
}

impl OutgoingBody {
    /// An empty body, on a connection whose previous request has ended.
    pub(crate) fn empty(progress: Rc<WriteProgress>) -> Self {
        progress.begin(None);
        progress.set_buffered();
        OutgoingBody {
            first: Bytes::new(),
            rest: BodyRest::Empty,
            remaining: Some(0),
            progress,
        }
    }

    /// A call's body, on a connection whose previous request has ended.
    pub(crate) fn of_call(
        call: &Rc<Call>,
        progress: Rc<WriteProgress>,
        counters: Rc<Counters>,
    ) -> Self {
        progress.begin(Some(counters));
        let first = call.payload.bytes.clone();
        let (rest, remaining) = match &call.streaming_body {
            Some(body) => (BodyRest::Available(call.clone()), body.length),
            None => (BodyRest::Empty, Some(first.len() as u64)),
        };
        if remaining == Some(0) {
            progress.set_buffered();
        }
        OutgoingBody {
            first,
            rest,
            remaining,
            progress,
        }
    }

    /// Takes the rest of the body if no other attempt has.
    fn take_rest(&mut self) {
        if let BodyRest::Available(call) = &self.rest {
            let receiver = call
                .streaming_body
                .as_ref()
                .and_then(|body| body.take_rest());
            if let Some(receiver) = receiver {
                self.rest = BodyRest::Taken {
                    call: call.clone(),
                    receiver,
                    sent: false,
                };
            }
        }
    }

    /// The frame for bytes that hyper takes now.
    fn frame(&mut self, bytes: Bytes) -> Frame<Bytes> {
        self.remaining = self
            .remaining
            .map(|remaining| remaining.saturating_sub(bytes.len() as u64));
        if self.remaining == Some(0) {
            self.progress.set_buffered();
        }
        Frame::data(bytes)
    }
}

impl Drop for OutgoingBody {
    fn drop(&mut self) {
        // The next attempt may take a rest of which nothing was sent.
        if let BodyRest::Taken {
            call,
            receiver,
            sent: false,
        } = std::mem::replace(&mut self.rest, BodyRest::Empty)
        {
            if let Some(body) = &call.streaming_body {
                body.return_rest(receiver);
            }
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        if !this.first.is_empty() {
            let bytes = std::mem::take(&mut this.first);
            return Poll::Ready(Some(Ok(this.frame(bytes))));
        }
        this.take_rest();
        let next = match &mut this.rest {
            BodyRest::Empty => return Poll::Ready(None),
            BodyRest::Available(_) => return Poll::Ready(Some(Err(incomplete_body()))),
            BodyRest::Taken { receiver, sent, .. } => {
                let next = ready!(receiver.poll_next(cx));
                *sent |= matches!(next, Some(Ok(_)));
                next
            }
        };
        Poll::Ready(match next {
            Some(Ok(bytes)) => Some(Ok(this.frame(bytes))),
            Some(Err(_)) => Some(Err(incomplete_body())),
            None => {
                this.progress.set_buffered();
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

fn incomplete_body() -> io::Error {
    io::Error::other("the client's request body is incomplete")
}
