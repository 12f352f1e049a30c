//! What goes out to a backend, and how far it has gone: whether its last byte was written decides what an attempt that
//! breaks may have done.

use crate::socket::Watch;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use sillward_forwarding::{BodyReceiver, BodyStream, Call};
use sillward_metrics::Counters;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// How far the request on a connection has gone.
#[derive(Default)]
pub struct Written {
    /// Hyper has taken the last of it.
    taken: Cell<bool>,
    /// The kernel has.
    whole: Cell<bool>,
    /// Where it is counted then.
    counted: RefCell<Option<Rc<Counters>>>,
}

impl Written {
    /// Whether the kernel has all of the request: before, no backend can have begun it.
    pub fn is_whole(&self) -> bool {
        self.whole.get()
    }

    fn begin(&self, counted: Option<Rc<Counters>>) {
        self.taken.set(false);
        self.whole.set(false);
        self.counted.replace(counted);
    }
}

impl Watch for Rc<Written> {
    fn flushed(&self) {
        if self.taken.get() && !self.whole.replace(true) {
            if let Some(counters) = self.counted.take() {
                counters.attempt_written();
            }
        }
    }
}

/// A request's body on its way.
pub struct Outgoing {
    /// What is here of it.
    bytes: Bytes,
    /// The call whose rest follows.
    call: Option<Rc<Call>>,
    /// That rest, from when it is taken, and whether any of it has gone.
    flow: Option<BodyReceiver>,
    gone: bool,
    /// Bytes that are still to go, where that is known.
    left: Option<u64>,
    written: Rc<Written>,
}

impl Outgoing {
    /// Nothing, on a connection whose last request is over.
    pub fn empty(written: Rc<Written>) -> Self {
        written.begin(None);
        written.taken.set(true);
        Outgoing {
            bytes: Bytes::new(),
            call: None,
            flow: None,
            gone: false,
            left: Some(0),
            written,
        }
    }

    /// A call's, on a connection whose last request is over.
    pub fn of(call: &Rc<Call>, written: Rc<Written>, counters: Rc<Counters>) -> Self {
        written.begin(Some(counters));
        let bytes = call.payload.bytes.clone();
        let left = call
            .streaming_body
            .as_ref()
            .map_or(Some(bytes.len() as u64), |coming| coming.length);
        let more = call.streaming_body.is_some().then(|| call.clone());
        written.taken.set(left == Some(0));
        Outgoing {
            bytes,
            call: more,
            flow: None,
            gone: false,
            left,
            written,
        }
    }

    fn goes(&mut self, bytes: Bytes) -> Frame<Bytes> {
        self.left = self
            .left
            .map(|left| left.saturating_sub(bytes.len() as u64));
        if self.left == Some(0) {
            self.written.taken.set(true);
        }
        Frame::data(bytes)
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        let coming = self
            .call
            .as_ref()
            .and_then(|call| call.streaming_body.as_ref());
        if let (Some(coming), Some(flow), false) = (coming, self.flow.take(), self.gone) {
            coming.return_rest(flow);
        }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        if !this.bytes.is_empty() {
            let bytes = std::mem::take(&mut this.bytes);
            return Poll::Ready(Some(Ok(this.goes(bytes))));
        }
        let Some(coming) = this
            .call
            .as_ref()
            .and_then(|call| call.streaming_body.as_ref())
        else {
            return Poll::Ready(None);
        };
        if this.flow.is_none() {
            this.flow = coming.take_rest();
        }
        let broken = || io::Error::other("the client's body broke");
        let Some(flow) = &mut this.flow else {
            return Poll::Ready(Some(Err(broken())));
        };
        Poll::Ready(match ready!(flow.poll_next(cx)) {
            Some(Ok(bytes)) => {
                this.gone = true;
                Some(Ok(this.goes(bytes)))
            }
            Some(Err(_)) => Some(Err(broken())),
            None => {
                this.written.taken.set(true);
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
