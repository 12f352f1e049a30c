//! The seam's stream, as hyper reads and writes it.

use hyper::rt::{Read, ReadBufCursor, Write};
use sillward_seam::Stream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The most that one read takes in.
const CHUNK: usize = 8 * 1024;

/// The stream, for hyper.
pub struct Socket(pub Stream);

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut to: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; CHUNK];
        let most = to.remaining().min(CHUNK);
        let count = ready!(self.0.poll_read(cx, &mut chunk[..most]))?;
        to.put_slice(&chunk[..count]);
        Poll::Ready(Ok(()))
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
