//! Reads ahead, up to a limit, what a client sends after a request that is still open, so that the end of the connection is
//! detected. hyper reads no further than the first bytes of the next request: a client that sent more and disconnected would
//! seem to wait for its response.

use crate::head_scanner::HeadScanner;
use crate::hyper_io::{READ_CHUNK_BYTES, StreamObserver, with_read_chunk};
use crate::upload_progress::ReadWaits;
use bytes::{Buf, BytesMut};
use sillward_forwarding::{
    MAX_BUFFERED_RESPONSE_BYTES, MemoryBudget, MemoryReservation, READ_BUFFER_BYTES,
};
use sillward_listener::ClientConnection;
use sillward_runtime::Stream;
use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The maximum that is read ahead on a connection: the longest body that is buffered, and its head.
const MAX_READ_AHEAD_BYTES: usize = MAX_BUFFERED_RESPONSE_BYTES + READ_BUFFER_BYTES;

/// Bytes that were read ahead of hyper.
pub(crate) struct ReadAhead {
    budget: MemoryBudget,
    buffer: RefCell<Buffer>,
}

#[derive(Default)]
struct Buffer {
    bytes: BytesMut,
    /// One for every [`READ_CHUNK_BYTES`] of the buffer's capacity.
    reservations: Vec<MemoryReservation>,
}

impl ReadAhead {
    /// An empty buffer, whose memory comes from `budget`.
    pub(crate) fn new(budget: MemoryBudget) -> Rc<Self> {
        Rc::new(ReadAhead {
            budget,
            buffer: RefCell::default(),
        })
    }

    /// Moves as many bytes into `target` as fit, and returns their number.
    fn take(&self, target: &mut [u8]) -> usize {
        let mut buffer = self.buffer.borrow_mut();
        let count = target.len().min(buffer.bytes.len());
        buffer.bytes.copy_to_slice(&mut target[..count]);
        if buffer.bytes.is_empty() && count > 0 {
            *buffer = Buffer::default();
        }
        count
    }

    /// Waits until a client with an open request has disconnected. Must be polled after hyper's connection, in the same task.
    pub(crate) async fn client_disconnected(&self, stream: &Stream, connection: &ClientConnection) {
        std::future::poll_fn(|cx| self.poll_client_disconnected(stream, connection, cx)).await;
    }

    fn poll_client_disconnected(
        &self,
        stream: &Stream,
        connection: &ClientConnection,
        cx: &mut Context<'_>,
    ) -> Poll<()> {
        if !connection.has_open_request() {
            return Poll::Pending; // hyper reads the next request, and detects the end
        }
        let mut buffer = self.buffer.borrow_mut();
        let mut received = false;
        while buffer.bytes.len() + READ_CHUNK_BYTES <= MAX_READ_AHEAD_BYTES {
            let Some(reservation) = self.budget.try_reserve_for_long_body(READ_CHUNK_BYTES) else {
                break;
            };
            match read_into(&mut buffer.bytes, stream, cx) {
                Poll::Pending => break,
                Poll::Ready(ReadResult::Received) => received = true,
                Poll::Ready(ReadResult::Ended) => return Poll::Ready(()),
            }
            if buffer.bytes.capacity() > buffer.reservations.len() * READ_CHUNK_BYTES {
                buffer.reservations.push(reservation);
            }
        }
        if received {
            cx.waker().wake_by_ref(); // hyper may be waiting for these bytes
        }
        Poll::Pending
    }
}

enum ReadResult {
    Received,
    /// The stream has ended or failed.
    Ended,
}

fn read_into(bytes: &mut BytesMut, stream: &Stream, cx: &mut Context<'_>) -> Poll<ReadResult> {
    with_read_chunk(|chunk| {
        stream.poll_read(cx, chunk).map(|read| match read {
            Ok(0) | Err(_) => ReadResult::Ended,
            Ok(count) => {
                bytes.extend_from_slice(&chunk[..count]);
                ReadResult::Received
            }
        })
    })
}

/// Observes a client's stream.
pub(crate) struct ClientStreamObserver {
    pub(crate) head_scanner: Rc<HeadScanner>,
    pub(crate) read_ahead: Rc<ReadAhead>,
    pub(crate) read_waits: Rc<ReadWaits>,
}

impl StreamObserver for ClientStreamObserver {
    fn bytes_read(&self, bytes: &[u8]) {
        self.head_scanner.bytes_read(bytes);
        self.read_waits.bytes_read(bytes);
    }

    fn read_blocked(&self) {
        self.read_waits.read_blocked();
    }

    fn take_read_ahead(&self, target: &mut [u8]) -> usize {
        self.read_ahead.take(target)
    }
}
