//! What a client sends behind a request that is open. It is read, within a bound, so that the end of the connection shows
//! behind it: hyper reads no further than the next request's first bytes, and a client that wrote more and left would seem to
//! wait for its answer.

use crate::heads::Heads;
use crate::socket::{CHUNK, Watch, with_chunk};
use bytes::{Buf, BytesMut};
use sillward_forwarding::{MemoryBudget, MemoryReservation};
use sillward_listener::ClientConnection;
use sillward_runtime::Stream;
use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The most that is read ahead on a connection: the longest body that is held whole, and its head.
const MOST: usize = 72 * 1024;

/// Bytes that were read before hyper asked for them.
pub struct Ahead {
    budget: MemoryBudget,
    kept: RefCell<Kept>,
}

#[derive(Default)]
struct Kept {
    bytes: BytesMut,
    room: Vec<MemoryReservation>,
}

impl Ahead {
    pub fn new(budget: MemoryBudget) -> Rc<Self> {
        Rc::new(Ahead {
            budget,
            kept: RefCell::default(),
        })
    }

    /// Moves what is kept to a reader, as much as it takes.
    fn take(&self, to: &mut [u8]) -> usize {
        let mut kept = self.kept.borrow_mut();
        let count = to.len().min(kept.bytes.len());
        kept.bytes.copy_to_slice(&mut to[..count]);
        if kept.bytes.is_empty() && count > 0 {
            *kept = Kept::default();
        }
        count
    }

    /// Waits until a client that has a request open has gone. To be polled behind whoever reads requests, in one task
    /// with it.
    pub async fn left(&self, stream: &Stream, client: &ClientConnection) {
        std::future::poll_fn(|cx| self.poll_left(stream, client, cx)).await;
    }

    fn poll_left(
        &self,
        stream: &Stream,
        client: &ClientConnection,
        cx: &mut Context<'_>,
    ) -> Poll<()> {
        if !client.has_open_request() {
            return Poll::Pending; // whoever reads requests sees the end
        }
        let (mut kept, mut more) = (self.kept.borrow_mut(), false);
        while kept.bytes.len() + CHUNK <= MOST {
            let Some(room) = self.budget.try_reserve_for_long_body(CHUNK) else {
                break;
            };
            let read = with_chunk(|chunk| {
                let read = stream.poll_read(cx, chunk);
                if let Poll::Ready(Ok(count)) = read {
                    kept.bytes.extend_from_slice(&chunk[..count]);
                }
                read
            });
            match read {
                Poll::Pending => break,
                Poll::Ready(Ok(count)) if count > 0 => more = true,
                Poll::Ready(_) => return Poll::Ready(()),
            }
            if kept.bytes.capacity() > kept.room.len() * CHUNK {
                kept.room.push(room);
            }
        }
        if more {
            cx.waker().wake_by_ref(); // whoever reads requests may wait for just that
        }
        Poll::Pending
    }
}

/// What comes in on a client's connection, on its way to hyper.
pub struct Inlet {
    pub heads: Rc<Heads>,
    pub ahead: Rc<Ahead>,
}

impl Watch for Inlet {
    fn came(&self, bytes: &[u8]) {
        self.heads.came(bytes);
    }

    fn early(&self, to: &mut [u8]) -> usize {
        self.ahead.take(to)
    }
}
