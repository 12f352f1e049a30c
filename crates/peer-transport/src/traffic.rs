//! Counts of what is sent and received.

use std::cell::Cell;

/// What a node has sent since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTraffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub datagram_bytes: u64,
    /// Messages over connections.
    pub messages: u64,
    /// Their bytes.
    pub message_bytes: u64,
}

/// A count of messages and their bytes.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounter {
    count: Cell<u64>,
    bytes: Cell<u64>,
}

impl TrafficCounter {
    /// Counts one of that length.
    pub(crate) fn add(&self, bytes: usize) {
        increment(&self.count);
        self.add_bytes(bytes);
    }

    /// Counts bytes alone.
    pub(crate) fn add_bytes(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes as u64);
    }

    pub(crate) fn count(&self) -> u64 {
        self.count.get()
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.get()
    }
}

/// All counts of the transport.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent_datagrams: TrafficCounter,
    pub(crate) sent_messages: TrafficCounter,
    /// Received datagrams; the bytes include those of messages over connections.
    pub(crate) received: TrafficCounter,
    /// Datagrams that the system did not take.
    pub(crate) unsent: Cell<u64>,
    /// Connections that failed to authenticate, sent invalid messages, or were over the limit.
    pub(crate) bad_connections: Cell<u64>,
    /// Messages for which there was no connection.
    pub(crate) dropped_messages: Cell<u64>,
}

impl Traffic {
    pub(crate) fn sent(&self) -> SentTraffic {
        SentTraffic {
            datagrams: self.sent_datagrams.count(),
            datagram_bytes: self.sent_datagrams.bytes(),
            messages: self.sent_messages.count(),
            message_bytes: self.sent_messages.bytes(),
        }
    }
}

/// Adds one to a count.
pub(crate) fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
