//! Bodies that are forwarded while they are received.

use bytes::Bytes;
use std::cell::RefCell;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// The pieces of a body that may wait for an attempt to take them.
const QUEUED_PIECES: usize = 1;

/// A body ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body ended before it was complete")]
pub struct IncompleteBody;

/// The rest of a body, after its first bytes.
pub trait BodyStream {
    /// The next bytes; `None` at the end of the body.
    ///
    /// # Errors
    /// [`IncompleteBody`] if the body broke off.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>>;
}

/// A piece of a request body.
enum Piece {
    Data(Bytes),
    End,
}

/// The sending end of a request body. Dropped without [`BodySender::finish`], it leaves the body incomplete.
pub struct BodySender(mpsc::Sender<Piece>);

impl BodySender {
    /// Sends the next bytes, once there is space in the queue; false if nobody receives them any more.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.0.send(Piece::Data(bytes)).await.is_ok()
    }

    /// Marks the end of the body.
    pub async fn finish(self) {
        let _ = self.0.send(Piece::End).await; // fails only if the attempt is over
    }
}

/// The receiving end of a request body, which an attempt forwards.
pub struct BodyReceiver(mpsc::Receiver<Piece>);

impl BodyStream for BodyReceiver {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        self.0.poll_recv(cx).map(|piece| match piece {
            Some(Piece::Data(bytes)) => Some(Ok(bytes)),
            Some(Piece::End) => None,
            None => Some(Err(IncompleteBody)),
        })
    }
}

/// The part of a request body that is still being received, beyond the first bytes in the call.
pub struct StreamingBody {
    /// The length of the whole body in bytes, where known.
    pub length: Option<u64>,
    /// How long the client waits for a response after the last byte.
    pub time_budget: Duration,
    rest: RefCell<Rest>,
}

enum Rest {
    /// No attempt has received any of it: the body can be sent again.
    Available(BodyReceiver),
    /// An attempt has taken it: the body can't be sent again.
    Consumed,
}

impl StreamingBody {
    /// A body, and the sender of its rest.
    pub fn new(length: Option<u64>, time_budget: Duration) -> (Self, BodySender) {
        let (sender, receiver) = mpsc::channel(QUEUED_PIECES);
        let body = StreamingBody {
            length,
            time_budget,
            rest: RefCell::new(Rest::Available(BodyReceiver(receiver))),
        };
        (body, BodySender(sender))
    }

    /// Takes the rest for an attempt; `None` if another one has it. The body is consumed from then on.
    pub fn take_rest(&self) -> Option<BodyReceiver> {
        match self.rest.replace(Rest::Consumed) {
            Rest::Available(receiver) => Some(receiver),
            Rest::Consumed => None,
        }
    }

    /// Takes the rest back from an attempt that has received nothing of it: the body can be sent again.
    pub fn return_rest(&self, receiver: BodyReceiver) {
        self.rest.replace(Rest::Available(receiver));
    }

    /// Whether the body can't be sent again.
    pub fn is_consumed(&self) -> bool {
        matches!(*self.rest.borrow(), Rest::Consumed)
    }
}
