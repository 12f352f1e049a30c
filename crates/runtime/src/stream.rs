//! A TCP stream, and a handle by which whoever keeps the connection can still look at it.

use crate::net::TcpStream;
use std::cell::Cell;
use std::io;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use tokio::time::Instant;

/// The stream.
pub struct Stream(Rc<Shared>);

/// Looks at the stream, but does not keep it open.
#[derive(Clone)]
pub struct Handle(Weak<Shared>);

struct Shared {
    stream: TcpStream,
    /// When the first bytes came since `Handle::listen_anew`.
    heard: Cell<Option<Instant>>,
    /// Since when the peer has taken nothing of what waits to be written.
    blocked: Cell<Option<Instant>>,
}

impl Handle {
    /// When the first bytes came since [`Handle::listen_anew`]; `None` if none did or the stream is closed.
    pub fn heard(&self) -> Option<Instant> {
        self.0.upgrade()?.heard.get()
    }

    /// Since when the peer has taken nothing of what waits to be written; `None` if nothing waits.
    pub fn blocked(&self) -> Option<Instant> {
        self.0.upgrade()?.blocked.get()
    }

    /// Forgets when bytes came.
    pub fn listen_anew(&self) {
        if let Some(shared) = self.0.upgrade() {
            shared.heard.set(None);
        }
    }

    /// Whether the peer has ended its sending, or either side the connection, as far as it shows without reading.
    pub fn has_ended(&self) -> bool {
        self.0
            .upgrade()
            .is_none_or(|shared| shared.stream.has_ended())
    }

    /// Whether it is open and has nothing to read. Asks the kernel: what the runtime has heard of it may be a
    /// turn of the loop old.
    pub fn is_quiet(&self) -> bool {
        self.0
            .upgrade()
            .is_some_and(|shared| shared.stream.is_quiet())
    }
}

impl Stream {
    /// Takes a stream over.
    pub fn new(stream: TcpStream) -> (Self, Handle) {
        let shared = Rc::new(Shared {
            stream,
            heard: Cell::default(),
            blocked: Cell::default(),
        });
        let handle = Handle(Rc::downgrade(&shared));
        (Stream(shared), handle)
    }

    /// The same stream once more: it closes when both are dropped.
    pub fn again(&self) -> Stream {
        Stream(self.0.clone())
    }

    /// Bounds the bytes that the kernel takes before the peer does. It counts them in its own way, and has a least.
    pub fn bound_unsent(&self, bytes: usize) {
        self.0.stream.bound_unsent(bytes);
    }

    /// Reads what is there, at most `to`'s length; 0 at the end of the stream.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn poll_read(&self, cx: &mut Context<'_>, to: &mut [u8]) -> Poll<io::Result<usize>> {
        let count = ready!(self.0.stream.poll_take(cx, to))?;
        if self.0.heard.get().is_none() && count > 0 {
            self.0.heard.set(Some(Instant::now()));
        }
        Poll::Ready(Ok(count))
    }

    /// Hands the kernel as many of these bytes as it takes, and says how many.
    ///
    /// # Errors
    /// The connection is broken; none of these bytes were taken.
    pub fn poll_write(
        &self,
        cx: &mut Context<'_>,
        from: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let given = self.0.stream.poll_give(cx, from);
        let blocked = match &given {
            Poll::Pending => self.0.blocked.get().or_else(|| Some(Instant::now())),
            Poll::Ready(_) => None,
        };
        self.0.blocked.set(blocked);
        given
    }

    /// Says to the peer that nothing more will come.
    ///
    /// # Errors
    /// The connection is closed already.
    pub fn shut_write(&self) -> io::Result<()> {
        self.0.stream.shut()
    }

    /// As [`Stream::poll_read`].
    ///
    /// # Errors
    /// As there.
    pub async fn read(&self, to: &mut [u8]) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.poll_read(cx, to)).await
    }

    /// As [`Stream::poll_write`], of one piece.
    ///
    /// # Errors
    /// As there.
    pub async fn write(&self, from: &[u8]) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.poll_write(cx, &[io::IoSlice::new(from)])).await
    }
}
