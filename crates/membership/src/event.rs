//! The inputs and outputs of [`Membership`](crate::Membership).

use crate::incarnation::Incarnation;
use crate::name::Name;
use crate::wire::{Frame, SyncMessage};
use std::net::SocketAddr;

/// A received anti-entropy message.
#[derive(Clone, Debug)]
pub struct ReceivedSync {
    /// The sender.
    pub sender: Name,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The message.
    pub message: SyncMessage,
}

/// An input of [`Membership::handle`](crate::Membership::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed, and timers may be due.
    Tick,
    /// A frame whose envelope was accepted: it is authentic, belongs to this fleet and is not a replay.
    Frame {
        /// The sender.
        sender: Name,
        /// The address at which the sender says it can be reached.
        address: SocketAddr,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The salt of the incarnation that the frame is addressed to; 0 if the sender knows none.
        to_salt: u32,
        /// The frame.
        frame: Frame,
    },
    /// An anti-entropy message, received over a mutually authenticated connection.
    Sync(ReceivedSync),
    /// This node is to leave the fleet gracefully.
    Leave,
}

/// An output of [`Membership::handle`](crate::Membership::handle), for the caller to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a frame in a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The salt of the receiver's incarnation; 0 if none is known.
        to_salt: u32,
        /// The frame.
        frame: Frame,
    },
    /// Send an anti-entropy message over a connection.
    Sync {
        /// The receiver.
        to: Name,
        /// The receiver's address.
        address: SocketAddr,
        /// The message.
        message: SyncMessage,
    },
    /// Store the epoch of this incarnation, which has just begun, in the state directory.
    StoreIncarnation(Incarnation),
    /// Log a line.
    Log(String),
}
