//! Messages that wait to be sent over a connection. A slow receiver gets the newest message of each slot, never a growing
//! queue. No I/O.

use std::collections::VecDeque;

/// Bytes that may wait for one member.
pub const MAX_BYTES: usize = 128 * 1024;

/// A message to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundMessage {
    /// The topic, which selects the receiver's handler.
    pub topic: u32,
    /// A later message of the same topic and slot replaces an earlier one that still waits.
    pub slot: u32,
    /// The content.
    pub bytes: Vec<u8>,
}

/// The queue.
#[derive(Debug, Default)]
pub struct SendQueue {
    waiting: VecDeque<OutboundMessage>,
    bytes: usize,
    /// Messages that were replaced while they waited.
    pub superseded: u64,
    /// Messages that did not fit.
    pub dropped: u64,
}

impl SendQueue {
    /// Adds a message, in the place of the one that it replaces.
    pub fn push(&mut self, message: OutboundMessage) {
        let index = self
            .waiting
            .iter()
            .position(|other| (other.topic, other.slot) == (message.topic, message.slot));
        match index {
            Some(index) => self.replace(index, message),
            None if self.bytes + message.bytes.len() > MAX_BYTES => self.dropped += 1,
            None => {
                self.bytes += message.bytes.len();
                self.waiting.push_back(message);
            }
        }
    }

    /// Replaces a message. Where the new one does not fit, both go: the old one is outdated.
    fn replace(&mut self, index: usize, message: OutboundMessage) {
        self.superseded += 1;
        self.bytes -= self.waiting[index].bytes.len();
        if self.bytes + message.bytes.len() <= MAX_BYTES {
            self.bytes += message.bytes.len();
            self.waiting[index] = message;
        } else {
            self.waiting.remove(index);
            self.dropped += 1;
        }
    }

    /// Removes the next message.
    pub fn pop(&mut self) -> Option<OutboundMessage> {
        let message = self.waiting.pop_front()?;
        self.bytes -= message.bytes.len();
        Some(message)
    }

    /// Whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
