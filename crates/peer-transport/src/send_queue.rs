//! What waits to go out over a link: whoever is slow gets the newest of each kind, never a growing queue. No I/O.

use std::collections::VecDeque;

/// Bytes that may wait for one peer.
pub const MAX_BYTES: usize = 128 * 1024;

/// A message: its topic, and what it supersedes within that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundMessage {
    /// Whose it is.
    pub topic: u32,
    /// A later message of the same topic and slot takes the place of an earlier one that still waits.
    pub slot: u32,
    /// What.
    pub bytes: Vec<u8>,
}

/// The queue.
#[derive(Debug, Default)]
pub struct SendQueue {
    waiting: VecDeque<OutboundMessage>,
    bytes: usize,
    /// Messages that were superseded while they waited, and those that there was no room for.
    pub superseded: u64,
    /// See there.
    pub dropped: u64,
}

impl SendQueue {
    /// Takes a message, in the place of the one that it supersedes.
    pub fn push(&mut self, posted: OutboundMessage) {
        let same =
            |other: &OutboundMessage| (other.topic, other.slot) == (posted.topic, posted.slot);
        if let Some(old) = self.waiting.iter_mut().find(|other| same(other)) {
            let room = self.bytes - old.bytes.len() + posted.bytes.len() <= MAX_BYTES;
            self.superseded += 1;
            if room {
                self.bytes = self.bytes - old.bytes.len() + posted.bytes.len();
                *old = posted;
            } else {
                // The old one is no use to anybody either.
                self.bytes -= old.bytes.len();
                self.waiting.retain(|other| !same(other));
                self.dropped += 1;
            }
            return;
        }
        if self.bytes + posted.bytes.len() > MAX_BYTES {
            self.dropped += 1;
            return;
        }
        self.bytes += posted.bytes.len();
        self.waiting.push_back(posted);
    }

    /// The next that goes out.
    pub fn pop(&mut self) -> Option<OutboundMessage> {
        let posted = self.waiting.pop_front()?;
        self.bytes -= posted.bytes.len();
        Some(posted)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
