//! The replies of a connection that its client has not been sent yet.

use sillward_forwarding::MemoryReservation;
use std::collections::VecDeque;

/// A reply's frame.
struct Reply {
    frame: Vec<u8>,
    /// The memory of a backend's reply. The small frames that the node generates itself have none.
    _reservation: Option<MemoryReservation>,
}

/// Replies in the order in which they are written.
#[derive(Default)]
pub(super) struct ReplyQueue {
    replies: VecDeque<Reply>,
    /// How many bytes of the first reply have been written.
    written_of_first: usize,
}

impl ReplyQueue {
    /// Whether all replies have been written.
    pub(super) fn is_empty(&self) -> bool {
        self.replies.is_empty()
    }

    /// The bytes of all replies that have not been written completely.
    pub(super) fn frame_bytes(&self) -> usize {
        self.replies.iter().map(|reply| reply.frame.len()).sum()
    }

    pub(super) fn push(&mut self, frame: Vec<u8>, reservation: Option<MemoryReservation>) {
        self.replies.push_back(Reply {
            frame,
            _reservation: reservation,
        });
    }

    /// The bytes to write next; none if all replies have been written.
    pub(super) fn next_bytes(&self) -> &[u8] {
        self.replies
            .front()
            .map_or(&[], |reply| &reply.frame[self.written_of_first..])
    }

    /// Records that the first `count` of the next bytes have been written.
    pub(super) fn advance(&mut self, count: usize) {
        self.written_of_first += count;
        let first = self.replies.front();
        if first.is_some_and(|reply| self.written_of_first >= reply.frame.len()) {
            self.replies.pop_front();
            self.written_of_first = 0;
        }
    }
}
