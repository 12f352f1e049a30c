//! Bounded queue of messages to send over a connection. A queued message is replaced by a newer one of the same topic and
//! slot, so the queue does not grow without bound when the receiver is slow. Does no I/O.

use std::collections::VecDeque;

/// Maximum number of bytes queued for one member.
pub const MAX_BYTES: usize = 128 * 1024;

/// A message to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundMessage {
    /// Topic, which selects the handler at the receiver.
    pub topic: u32,
    /// A newer message replaces a queued one of the same topic and slot.
    pub slot: u32,
    /// Message content.
    pub bytes: Vec<u8>,
}

/// Queue of outbound messages with one entry per topic and slot.
#[derive(Debug, Default)]
pub struct SendQueue {
    queued: VecDeque<OutboundMessage>,
    bytes: usize,
    /// Number of queued messages that a newer one replaced.
    pub superseded: u64,
    /// Number of messages dropped because the queue was full.
    pub dropped: u64,
}

impl SendQueue {
    /// Queues a message, or replaces the queued one of the same topic and slot in place.
    pub fn push(&mut self, message: OutboundMessage) {
        let index = self
            .queued
            .iter()
            .position(|other| (other.topic, other.slot) == (message.topic, message.slot));
        match index {
            Some(index) => self.replace(index, message),
            None if self.bytes + message.bytes.len() > MAX_BYTES => self.dropped += 1,
            None => {
                self.bytes += message.bytes.len();
                self.queued.push_back(message);
            }
        }
    }

    /// Replaces a queued message. If the new one does not fit, both are dropped, because the old one is outdated.
    fn replace(&mut self, index: usize, message: OutboundMessage) {
        self.superseded += 1;
        self.bytes -= self.queued[index].bytes.len();
        if self.bytes + message.bytes.len() <= MAX_BYTES {
            self.bytes += message.bytes.len();
            self.queued[index] = message;
        } else {
            self.queued.remove(index);
            self.dropped += 1;
        }
    }

    /// Removes and returns the oldest queued message.
    pub fn pop(&mut self) -> Option<OutboundMessage> {
        let message = self.queued.pop_front()?;
        self.bytes -= message.bytes.len();
        Some(message)
    }

    /// Whether no message is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}
