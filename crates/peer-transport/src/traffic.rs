//! Traffic counters.

use std::cell::Cell;

/// Traffic that a node has sent since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTraffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Bytes of all datagrams.
    pub datagram_bytes: u64,
    /// Number of messages over connections.
    pub messages: u64,
    /// Bytes of all messages over connections.
    pub message_bytes: u64,
}

/// Counts messages and their bytes.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounter {
    count: Cell<u64>,
    bytes: Cell<u64>,
}

impl TrafficCounter {
    /// Counts one message of the given length.
    pub(crate) fn add(&self, bytes: usize) {
        increment(&self.count);
        self.add_bytes(bytes);
    }

    /// Counts bytes without a message.
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

/// All traffic counters of the transport.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent_datagrams: TrafficCounter,
    pub(crate) sent_messages: TrafficCounter,
    /// Received datagrams; the byte count also includes messages received over connections.
    pub(crate) received: TrafficCounter,
    /// Datagrams whose send call failed.
    pub(crate) unsent: Cell<u64>,
    /// Connections that failed the handshake, sent an invalid message, or exceeded the connection limit.
    pub(crate) bad_connections: Cell<u64>,
    /// Messages dropped because the connection limit was reached.
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

pub(crate) fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
