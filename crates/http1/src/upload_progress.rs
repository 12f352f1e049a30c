//! When a client may have sent the last byte of a body that is being received.
//!
//! The kernels of the client and of the node hold bytes that the node has not read, so the client may be done long before
//! the node reads the end. But while the node waits for the client, nothing is held back: the last byte came no earlier
//! than the last moment at which the node waited, and not before the bytes that are still missing fit in the client's
//! kernel.

use crate::hyper_io::StreamObserver;
use sillward_runtime::{Clock, StreamHandle};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The most bytes that a client's kernel is taken to hold of what the client has written: twice the limit that Linux sets
/// by default.
const MAX_CLIENT_SEND_BUFFER_BYTES: u64 = 8 << 20;

/// Records when hyper finds nothing to read on a client's connection.
pub(crate) struct ReadWaits {
    clock: Clock,
    /// Whether the last read found nothing.
    is_blocked: Cell<bool>,
    /// When a read found something after one that had found nothing.
    unblocked_at: Cell<Duration>,
}

impl ReadWaits {
    pub(crate) fn new(clock: Clock) -> Rc<Self> {
        Rc::new(ReadWaits {
            clock,
            is_blocked: Cell::default(),
            unblocked_at: Cell::default(),
        })
    }
}

impl StreamObserver for ReadWaits {
    fn bytes_read(&self, _bytes: &[u8]) {
        if self.is_blocked.replace(false) {
            self.unblocked_at.set(self.clock.now());
        }
    }

    fn read_blocked(&self) {
        self.is_blocked.set(true);
    }
}

/// The progress of receiving one body.
pub(crate) struct UploadProgress {
    socket: StreamHandle,
    waits: Rc<ReadWaits>,
    /// The length of the whole body, if known.
    length: Option<u64>,
    received_bytes: Cell<u64>,
    /// Since when the next bytes have been awaited; `None` while none are wanted.
    awaited_since: Cell<Option<Duration>>,
    /// The earliest time at which the client may have sent its last byte, while none are wanted.
    earliest_last_byte: Cell<Duration>,
}

impl UploadProgress {
    /// The progress of a body of which nothing has been received, on a connection whose reads `waits` observes.
    pub(crate) fn new(socket: StreamHandle, waits: Rc<ReadWaits>, length: Option<u64>) -> Rc<Self> {
        let now = waits.clock.now();
        Rc::new(UploadProgress {
            socket,
            waits,
            length,
            received_bytes: Cell::default(),
            awaited_since: Cell::default(),
            earliest_last_byte: Cell::new(now),
        })
    }

    /// The number of bytes that were received.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    /// Marks that the node waits for the next bytes.
    pub(crate) fn await_bytes(&self) {
        self.awaited_since.set(Some(self.waits.clock.now()));
    }

    /// Marks that the next bytes were received, or the end of the body.
    pub(crate) fn bytes_received(&self, count: u64) {
        let awaited_since = self.awaited_since.take();
        let unblocked_at = self.waits.unblocked_at.get();
        if awaited_since.is_some_and(|since| unblocked_at >= since) {
            self.earliest_last_byte.set(unblocked_at);
        }
        self.received_bytes.set(self.received_bytes.get() + count);
        if self.exceeds_client_send_buffer() {
            self.earliest_last_byte.set(self.waits.clock.now());
        }
    }

    /// The earliest time at which the client may have sent its last byte.
    pub(crate) fn earliest_last_byte(&self) -> Duration {
        if self.awaited_since.get().is_some() && self.waits.is_blocked.get() {
            return self.waits.clock.now();
        }
        self.earliest_last_byte.get()
    }

    /// Whether the client's kernel can't hold what is still missing, so that the client must be about to write more.
    fn exceeds_client_send_buffer(&self) -> bool {
        let missing = self
            .length
            .map_or(0, |length| length.saturating_sub(self.received_bytes.get()));
        if missing <= MAX_CLIENT_SEND_BUFFER_BYTES {
            return false;
        }
        let unread = self.socket.unread_bytes();
        unread.is_some_and(|unread| missing.saturating_sub(unread) > MAX_CLIENT_SEND_BUFFER_BYTES)
    }
}
