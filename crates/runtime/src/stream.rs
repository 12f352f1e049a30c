//! A TCP stream, and a handle that shows its state to whoever manages the connection.

use crate::net::TcpStream;
use std::cell::Cell;
use std::io;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use tokio::time::Instant;

/// A TCP stream.
pub struct Stream(Rc<Shared>);

/// Shows the state of a stream without keeping it open.
#[derive(Clone)]
pub struct StreamHandle(Weak<Shared>);

struct Shared {
    stream: TcpStream,
    /// When the first bytes were received since [`StreamHandle::reset_first_received`].
    first_received_at: Cell<Option<Instant>>,
    /// Since when the peer has received nothing of what waits to be written.
    write_blocked_since: Cell<Option<Instant>>,
}

impl StreamHandle {
    /// When the first bytes were received since [`StreamHandle::reset_first_received`]; `None` if there were none or the
    /// stream is closed.
    pub fn first_received_at(&self) -> Option<Instant> {
        self.0.upgrade()?.first_received_at.get()
    }

    /// Since when the peer has received nothing of what waits to be written; `None` if nothing waits or the stream is
    /// closed.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.0.upgrade()?.write_blocked_since.get()
    }

    /// Forgets when bytes were received.
    pub fn reset_first_received(&self) {
        if let Some(shared) = self.0.upgrade() {
            shared.first_received_at.set(None);
        }
    }

    /// Whether the peer has closed its sending side, or either side the connection, as far as can be seen without
    /// reading.
    pub fn has_peer_closed(&self) -> bool {
        self.0
            .upgrade()
            .is_none_or(|shared| shared.stream.has_peer_closed())
    }

    /// Whether it is open and has nothing to read. Asks the kernel: what the runtime knows may be out of date.
    pub fn read_would_block(&self) -> bool {
        self.0
            .upgrade()
            .is_some_and(|shared| shared.stream.read_would_block())
    }
}

impl Stream {
    /// Wraps a TCP stream.
    pub fn new(stream: TcpStream) -> (Self, StreamHandle) {
        let shared = Rc::new(Shared {
            stream,
            first_received_at: Cell::default(),
            write_blocked_since: Cell::default(),
        });
        let handle = StreamHandle(Rc::downgrade(&shared));
        (Stream(shared), handle)
    }

    /// Another owner of the same stream: it is closed when all are dropped.
    pub fn share(&self) -> Stream {
        Stream(self.0.clone())
    }

    /// Limits the bytes that the kernel accepts before the peer has received them. The kernel counts them in its own
    /// way, and has a minimum.
    pub fn set_send_buffer_size(&self, bytes: usize) {
        self.0.stream.set_send_buffer_size(bytes);
    }

    /// Reads what is available, at most the length of `buffer`; 0 at the end of the stream.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let count = ready!(self.0.stream.poll_read_shared(cx, buffer))?;
        if self.0.first_received_at.get().is_none() && count > 0 {
            self.0.first_received_at.set(Some(Instant::now()));
        }
        Poll::Ready(Ok(count))
    }

    /// Hands the kernel as many of these bytes as it accepts, and returns how many.
    ///
    /// # Errors
    /// The connection is broken; none of these bytes were accepted.
    pub fn poll_write(
        &self,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.0.stream.poll_write_shared(cx, bytes);
        let blocked_since = &self.0.write_blocked_since;
        if written.is_ready() {
            blocked_since.set(None);
        } else if blocked_since.get().is_none() {
            blocked_since.set(Some(Instant::now()));
        }
        written
    }

    /// Closes the sending side.
    ///
    /// # Errors
    /// The connection is closed already.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.0.stream.shutdown_write()
    }

    /// As [`Stream::poll_read`]. Cancellation safe.
    ///
    /// # Errors
    /// As there.
    pub async fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.poll_read(cx, buffer)).await
    }

    /// As [`Stream::poll_write`], of one slice. Cancellation safe: if dropped, it has written nothing.
    ///
    /// # Errors
    /// As there.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.poll_write(cx, &[io::IoSlice::new(bytes)])).await
    }
}
