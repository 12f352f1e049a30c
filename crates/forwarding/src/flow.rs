//! Bodies that go on while they come.

use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// A body broke: what has come of it is not the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

/// What follows a body's first bytes, for as long as whoever takes it takes it.
pub trait BodyStream {
    /// The next bytes; `None` once all have come.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>>;
}

/// The sending end of a request's body.
pub struct BodySender(mpsc::Sender<Option<Bytes>>);

impl BodySender {
    /// Hands on the next bytes, when there is room for them; false once nobody will take any more.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.0.send(Some(bytes)).await.is_ok()
    }

    /// All have come. Dropped without this, the body is broken.
    pub async fn finish(self) {
        let _ = self.0.send(None).await; // or nobody takes it any more
    }
}

/// The rest of a request's body, which an attempt takes.
pub struct BodyReceiver(mpsc::Receiver<Option<Bytes>>);

impl BodyStream for BodyReceiver {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        self.0.poll_recv(cx).map(|item| match item {
            Some(Some(bytes)) => Some(Ok(bytes)),
            Some(None) => None,
            None => Some(Err(IncompleteBody)),
        })
    }
}

/// A request whose body is still coming, beyond the first bytes that its call holds.
pub struct StreamingBody {
    /// Bytes in all, where that is known.
    pub length: Option<u64>,
    /// How long the client waits from the last byte on.
    pub time_budget: Duration,
    /// The rest, until an attempt takes it: from then on the body is spent.
    rest: RefCell<Option<BodyReceiver>>,
    spent: Cell<bool>,
}

impl StreamingBody {
    /// A body, and where its rest is put in: one piece may wait there.
    pub fn new(length: Option<u64>, time_budget: Duration) -> (Self, BodySender) {
        let (feed, flow) = mpsc::channel(1);
        let rest = RefCell::new(Some(BodyReceiver(flow)));
        (
            StreamingBody {
                length,
                time_budget,
                rest,
                spent: Cell::new(false),
            },
            BodySender(feed),
        )
    }

    /// Takes the rest, once. Before, an attempt has only had the first bytes, which are kept.
    pub fn take_rest(&self) -> Option<BodyReceiver> {
        let flow = self.rest.take();
        self.spent.set(true);
        flow
    }

    /// Takes the rest back from an attempt that has had nothing of it: the first bytes are still all that has gone.
    pub fn return_rest(&self, flow: BodyReceiver) {
        self.rest.replace(Some(flow));
        self.spent.set(false);
    }

    /// Whether the body can't be sent again.
    pub fn is_consumed(&self) -> bool {
        self.spent.get()
    }
}
