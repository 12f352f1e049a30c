//! Streamed bodies, which are forwarded while they are being received.

use bytes::Bytes;
use std::cell::RefCell;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// The number of chunks of a request body that may be queued until an attempt reads them.
const QUEUED_CHUNKS: usize = 1;

/// The error for a body that ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body ended before it was complete")]
pub struct IncompleteBody;

/// The rest of a body, after its first bytes.
pub trait BodyStream {
    /// The next bytes; `None` at the end of the body.
    ///
    /// # Errors
    /// [`IncompleteBody`] if the body was truncated.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>>;
}

/// A chunk of a request body, or its end.
enum BodyChunk {
    Data(Bytes),
    End,
}

/// The sending end of a request body. Dropped without [`BodySender::finish`], it leaves the body incomplete.
pub struct BodySender(mpsc::Sender<BodyChunk>);

impl BodySender {
    /// Sends the next bytes once the queue has space. Returns false if the receiver was dropped.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.0.send(BodyChunk::Data(bytes)).await.is_ok()
    }

    /// Marks the end of the body.
    pub async fn finish(self) {
        let _ = self.0.send(BodyChunk::End).await; // fails only if the receiver was dropped
    }
}

/// The receiving end of a request body, read by the attempt that forwards it.
pub struct BodyReceiver(mpsc::Receiver<BodyChunk>);

impl BodyStream for BodyReceiver {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        self.0.poll_recv(cx).map(|chunk| match chunk {
            Some(BodyChunk::Data(bytes)) => Some(Ok(bytes)),
            Some(BodyChunk::End) => None,
            None => Some(Err(IncompleteBody)),
        })
    }
}

/// Returns the earliest time at which the client of a body that is being received may have sent its last byte.
pub type EarliestLastByte = Box<dyn Fn() -> Duration>;

/// The part of a request body that is still being received, beyond the first bytes in the call.
pub struct StreamingBody {
    /// The length of the whole body in bytes, if known.
    pub length: Option<u64>,
    /// How long the client waits for a response after the last byte.
    pub time_budget: Duration,
    earliest_last_byte: EarliestLastByte,
    rest: RefCell<Rest>,
}

enum Rest {
    /// No attempt has read any of it, so the body can be sent again.
    Available(BodyReceiver),
    /// An attempt has taken it, so the body can't be sent again.
    Consumed,
}

impl StreamingBody {
    /// Creates a body and the sender for the rest of it.
    pub fn new(
        length: Option<u64>,
        time_budget: Duration,
        earliest_last_byte: EarliestLastByte,
    ) -> (Self, BodySender) {
        let (sender, receiver) = mpsc::channel(QUEUED_CHUNKS);
        let body = StreamingBody {
            length,
            time_budget,
            earliest_last_byte,
            rest: RefCell::new(Rest::Available(BodyReceiver(receiver))),
        };
        (body, BodySender(sender))
    }

    /// By when the client must have its final response while its body is being received. It moves on for as long as the
    /// client can't have sent the last byte.
    pub fn response_deadline(&self) -> Duration {
        (self.earliest_last_byte)() + self.time_budget
    }

    /// Takes the rest of the body for an attempt, which consumes the body; `None` if another attempt has taken it.
    pub fn take_rest(&self) -> Option<BodyReceiver> {
        match self.rest.replace(Rest::Consumed) {
            Rest::Available(receiver) => Some(receiver),
            Rest::Consumed => None,
        }
    }

    /// Returns the rest of the body from an attempt that has read none of it, so that the body can be sent again.
    pub fn return_rest(&self, receiver: BodyReceiver) {
        self.rest.replace(Rest::Available(receiver));
    }

    /// Whether an attempt has taken the rest of the body, so that the body can't be sent again.
    pub fn is_consumed(&self) -> bool {
        matches!(*self.rest.borrow(), Rest::Consumed)
    }
}
