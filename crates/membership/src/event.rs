//! Inputs and outputs of [`Membership`](crate::Membership).

use crate::incarnation::Incarnation;
use crate::name::Name;
use crate::wire::{Frame, SyncMessage};
use std::net::SocketAddr;

/// An anti-entropy message that was received.
#[derive(Clone, Debug)]
pub struct ReceivedSync {
    /// Its sender.
    pub sender: Name,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The message.
    pub message: SyncMessage,
}

/// An input.
#[derive(Clone, Debug)]
pub enum Event {
    /// A timer may be due.
    Tick,
    /// A frame whose envelope was accepted: authentic, of this fleet, and not a replay.
    Frame {
        /// The sender.
        sender: Name,
        /// Where the sender says that it is reached.
        address: SocketAddr,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The salt of the incarnation that it is addressed to; 0 if the sender knows none.
        to_salt: u32,
        /// The frame.
        frame: Frame,
    },
    /// An anti-entropy message, over a connection whose ends have authenticated each other.
    Sync(ReceivedSync),
    /// This node leaves the fleet in an orderly way.
    Leave,
}

/// An output.
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
        /// Where the receiver is reached.
        address: SocketAddr,
        /// The message.
        message: SyncMessage,
    },
    /// An incarnation has begun; its epoch is to be stored in the state directory.
    StoreIncarnation(Incarnation),
    /// A line for the log.
    Log(String),
}
