//! The seam's stream, as hyper reads and writes it.

use hyper::rt::{Read, ReadBufCursor, Write};
use sillward_runtime::Stream;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The most that one read takes in.
pub const CHUNK: usize = 8 * 1024;

thread_local! {
    /// What one read takes in, on its way to hyper: used within a poll alone.
    static CHUNKS: RefCell<[u8; CHUNK]> = const { RefCell::new([0; CHUNK]) };
}

/// Lends what one read takes in.
pub fn with_chunk<T>(act: impl FnOnce(&mut [u8; CHUNK]) -> T) -> T {
    CHUNKS.with_borrow_mut(act)
}

/// Whoever watches what goes over a stream.
pub trait Watch {
    /// These bytes have come.
    fn came(&self, _: &[u8]) {}
    /// Puts in what was read before hyper asked, and says how much.
    fn early(&self, _: &mut [u8]) -> usize {
        0
    }
    /// All that hyper held has been written.
    fn flushed(&self) {}
}

impl Watch for () {}

/// The stream, for hyper, and who watches it.
pub struct HyperIo<W = ()>(Stream, W);

impl HyperIo {
    /// A stream that nobody observes.
    pub fn new(stream: Stream) -> Self {
        HyperIo(stream, ())
    }
}

impl<W: Watch> HyperIo<W> {
    /// A stream whose bytes `observer` sees.
    pub(crate) fn observed(stream: Stream, observer: W) -> Self {
        HyperIo(stream, observer)
    }
}

impl<W: Watch> Read for HyperIo<W> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut to: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // Clean bytes for each read, and for each look that finds none, cost more than the read.
        with_chunk(|chunk| {
            let most = to.remaining().min(CHUNK);
            let count = match self.1.early(&mut chunk[..most]) {
                0 => ready!(self.0.poll_read(cx, &mut chunk[..most]))?,
                early => early,
            };
            self.1.came(&chunk[..count]);
            to.put_slice(&chunk[..count]);
            Poll::Ready(Ok(()))
        })
    }
}

impl<W: Watch> Write for HyperIo<W> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, &[io::IoSlice::new(from)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, from)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The stream keeps nothing back: hyper asks for this once its own buffers are empty.
        self.1.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.shutdown_write())
    }
}
