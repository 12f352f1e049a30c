//! The seam's stream, as hyper reads and writes it.

use hyper::rt::{Read, ReadBufCursor, Write};
use sillward_seam::Stream;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The most that one read takes in.
const CHUNK: usize = 8 * 1024;

thread_local! {
    /// What one read takes in, on its way to hyper: used within a poll alone.
    static CHUNKS: RefCell<[u8; CHUNK]> = const { RefCell::new([0; CHUNK]) };
}

/// The stream, for hyper.
pub struct Socket(pub Stream);

impl Socket {
    /// Reads for hyper, and shows what came.
    pub(crate) fn read(
        &self,
        cx: &mut Context<'_>,
        mut to: ReadBufCursor<'_>,
        shown: impl FnOnce(&[u8]),
    ) -> Poll<io::Result<()>> {
        // Clean bytes for each read, and for each look that finds none, cost more than the read.
        CHUNKS.with_borrow_mut(|chunk| {
            let most = to.remaining().min(CHUNK);
            let count = ready!(self.0.poll_read(cx, &mut chunk[..most]))?;
            shown(&chunk[..count]);
            to.put_slice(&chunk[..count]);
            Poll::Ready(Ok(()))
        })
    }
}

impl Read for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: ReadBufCursor<'_>) -> Poll<io::Result<()>> {
        self.read(cx, to, |_| {})
    }
}

impl Write for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
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
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.shut_write())
    }
}
