//! What goes out to a backend, and how far it has gone: whether its last byte was written decides what an attempt that
//! breaks may have done.

use crate::socket::Socket;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use sillward_metrics::Counters;
use sillward_seam::Stream;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
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
    fn begin(&self, counted: Option<Rc<Counters>>) {
        self.taken.set(false);
        self.whole.set(false);
        self.counted.replace(counted);
    }

    fn flushed(&self) {
        if self.taken.get() && !self.whole.replace(true) {
            if let Some(counters) = self.counted.take() {
                counters.tried();
            }
        }
    }
}

/// A request's body on its way.
pub struct Outgoing {
    bytes: Bytes,
    written: Rc<Written>,
}

impl Outgoing {
    /// A body on a connection whose last request is over.
    pub fn new(bytes: Bytes, written: Rc<Written>, counted: Option<Rc<Counters>>) -> Self {
        written.begin(counted);
        written.taken.set(bytes.is_empty());
        Outgoing { bytes, written }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        self.written.taken.set(true);
        Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// The stream to a backend, for hyper, which flushes it once all that hyper held has been written.
pub struct Sending {
    socket: Socket,
    written: Rc<Written>,
}

impl Sending {
    pub fn new(stream: Stream, written: Rc<Written>) -> Self {
        Sending { socket: Socket(stream), written }
    }
}

impl Read for Sending {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, to)
    }
}

impl Write for Sending {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, from)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, from)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(cx))?;
        self.written.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
