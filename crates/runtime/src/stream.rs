//! A TCP stream, and a handle that exposes its state for connection management.

use crate::net::TcpStream;
use std::cell::Cell;
use std::io;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often a blocked write is checked for progress.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A TCP stream.
pub struct Stream(Rc<Shared>);

/// Exposes the state of a stream without keeping it open.
#[derive(Clone)]
pub struct StreamHandle(Weak<Shared>);

struct Shared {
    stream: TcpStream,
    /// When the first bytes were received since [`StreamHandle::reset_first_received`].
    first_received_at: Cell<Option<Instant>>,
    blocked_write: Cell<Option<BlockedWrite>>,
}

/// A write of which the kernel accepts no byte, since the peer has not received enough of those before it.
#[derive(Clone, Copy)]
struct BlockedWrite {
    /// When the write was blocked, or when it was last seen that the peer has acknowledged further bytes.
    last_progress: Instant,
    /// The bytes that the peer had not acknowledged when this was last checked; `None` if it was not, or is not known.
    unacknowledged: Option<u64>,
}

impl Shared {
    /// Checks a blocked write for progress, and returns since when it has made none. No bytes are added while it is blocked,
    /// so that fewer unacknowledged ones are progress. The kernel accepts more only once a third of its buffer is free.
    fn write_stalled_since(&self) -> Option<Instant> {
        let mut blocked = self.blocked_write.get()?;
        let unacknowledged = self.stream.unacknowledged_bytes();
        if let (Some(before), Some(now)) = (blocked.unacknowledged, unacknowledged)
            && now < before
        {
            blocked.last_progress = Instant::now();
        }
        blocked.unacknowledged = unacknowledged;
        self.blocked_write.set(Some(blocked));
        Some(blocked.last_progress)
    }
}

impl StreamHandle {
    /// When the first bytes were received since [`StreamHandle::reset_first_received`]; `None` if there were none or the
    /// stream is closed.
    pub fn first_received_at(&self) -> Option<Instant> {
        self.0.upgrade()?.first_received_at.get()
    }

    /// Whether bytes are waiting to be written and the kernel accepts none.
    pub fn is_write_blocked(&self) -> bool {
        self.0
            .upgrade()
            .is_some_and(|shared| shared.blocked_write.get().is_some())
    }

    /// Since when the peer has acknowledged no byte while a write is blocked, as far as calls of this method have seen; `None`
    /// if no write is blocked or the stream is closed.
    pub fn write_stalled_since(&self) -> Option<Instant> {
        self.0.upgrade()?.write_stalled_since()
    }

    /// Clears the time at which the first bytes were received.
    pub fn reset_first_received(&self) {
        if let Some(shared) = self.0.upgrade() {
            shared.first_received_at.set(None);
        }
    }

    /// Whether the peer has closed its sending side, or either side has closed the connection, as far as can be detected
    /// without reading.
    pub fn has_peer_closed(&self) -> bool {
        self.0
            .upgrade()
            .is_none_or(|shared| shared.stream.has_peer_closed())
    }

    /// The number of bytes that the kernel has received and nobody has read; `None` if it can't tell, or the stream is
    /// closed.
    pub fn unread_bytes(&self) -> Option<u64> {
        self.0.upgrade()?.stream.unread_bytes()
    }

    /// Whether the stream is open and has nothing to read. Asks the kernel, since Tokio's readiness may be out of date.
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
            blocked_write: Cell::default(),
        });
        let handle = StreamHandle(Rc::downgrade(&shared));
        (Stream(shared), handle)
    }

    /// A handle that does not keep the stream open.
    pub fn handle(&self) -> StreamHandle {
        StreamHandle(Rc::downgrade(&self.0))
    }

    /// Returns another owner of the same stream, which is closed when all owners are dropped.
    pub fn share(&self) -> Stream {
        Stream(self.0.clone())
    }

    /// Sets the size of the kernel's send buffer: the limit for bytes that the peer has not received yet. The kernel
    /// counts them in its own way, and enforces a minimum.
    pub fn set_send_buffer_size(&self, bytes: usize) {
        self.0.stream.set_send_buffer_size(bytes);
    }

    /// Reads what is available, at most the length of `buffer`; 0 at the end of the stream.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let count = ready!(self.0.stream.poll_read_shared(cx, buffer))?;
        if self.0.first_received_at.get().is_none() && count > 0 {
            self.0.first_received_at.set(Some(Instant::now()));
        }
        Poll::Ready(Ok(count))
    }

    /// Writes as many of these bytes as the kernel accepts, and returns their number.
    ///
    /// # Errors
    /// The connection has failed; none of these bytes were accepted.
    pub fn poll_write(
        &self,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.0.stream.poll_write_shared(cx, bytes);
        let blocked = &self.0.blocked_write;
        if written.is_ready() {
            blocked.set(None);
        } else if blocked.get().is_none() {
            blocked.set(Some(BlockedWrite {
                last_progress: Instant::now(),
                unacknowledged: None,
            }));
        }
        written
    }

    /// Waits until a write has been blocked for `limit` without the peer acknowledging a byte.
    pub async fn write_stalled_for(&self, limit: Duration) {
        let is_stalled = |since: Instant| since.elapsed() >= limit;
        while !self.0.write_stalled_since().is_some_and(is_stalled) {
            sleep(STALL_CHECK_INTERVAL).await;
        }
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
    /// As [`Stream::poll_read`].
    pub async fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.poll_read(cx, buffer)).await
    }

    /// As [`Stream::poll_write`], of one slice. Cancellation safe: if dropped, it has written nothing.
    ///
    /// # Errors
    /// As [`Stream::poll_write`].
    pub async fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.poll_write(cx, &[io::IoSlice::new(bytes)])).await
    }
}
