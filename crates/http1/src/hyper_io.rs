//! Adapts the runtime's stream to hyper's I/O traits.

use hyper::rt::{Read, ReadBufCursor, Write};
use sillward_runtime::Stream;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The maximum size of one read.
pub(crate) const READ_CHUNK_BYTES: usize = 8 * 1024;

thread_local! {
    /// Holds the bytes of a read until they are copied to hyper, within one poll.
    static READ_CHUNK: RefCell<[u8; READ_CHUNK_BYTES]> = const { RefCell::new([0; READ_CHUNK_BYTES]) };
}

/// Calls `use_chunk` with the thread's read buffer, whose contents are unspecified.
pub(crate) fn with_read_chunk<T>(use_chunk: impl FnOnce(&mut [u8; READ_CHUNK_BYTES]) -> T) -> T {
    READ_CHUNK.with_borrow_mut(use_chunk)
}

/// Observes the bytes of a stream.
pub trait StreamObserver {
    /// Called with the bytes that hyper receives.
    fn bytes_read(&self, _bytes: &[u8]) {}
    /// Called when there is nothing for hyper to read.
    fn read_blocked(&self) {}
    /// Copies bytes that were read ahead of hyper into `target`, and returns their number.
    fn take_read_ahead(&self, _target: &mut [u8]) -> usize {
        0
    }
    /// Called when everything that hyper had buffered has been written.
    fn flushed(&self) {}
}

impl StreamObserver for () {}

/// A stream for hyper, with an observer.
pub struct HyperIo<O = ()> {
    stream: Stream,
    observer: O,
}

impl HyperIo {
    /// A stream without an observer.
    pub fn new(stream: Stream) -> Self {
        HyperIo::observed(stream, ())
    }
}

impl<O: StreamObserver> HyperIo<O> {
    /// A stream observed by `observer`.
    pub(crate) fn observed(stream: Stream, observer: O) -> Self {
        HyperIo { stream, observer }
    }
}

impl<O: StreamObserver> Read for HyperIo<O> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut target: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // All reads share one buffer: zeroing a new one for each would cost more than the read.
        with_read_chunk(|chunk| {
            let max_count = target.remaining().min(READ_CHUNK_BYTES);
            let chunk = &mut chunk[..max_count];
            let count = match self.observer.take_read_ahead(chunk) {
                0 => match self.stream.poll_read(cx, chunk) {
                    Poll::Ready(count) => count?,
                    Poll::Pending => {
                        self.observer.read_blocked();
                        return Poll::Pending;
                    }
                },
                read_ahead => read_ahead,
            };
            self.observer.bytes_read(&chunk[..count]);
            target.put_slice(&chunk[..count]);
            Poll::Ready(Ok(()))
        })
    }
}

impl<O: StreamObserver> Write for HyperIo<O> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream.poll_write(cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream.poll_write(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The stream buffers nothing, and hyper calls this once its own buffers are empty.
        self.observer.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown_write())
    }
}
