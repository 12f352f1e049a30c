//! A connection to another member, or one that is being made: what waits to be sent over it.

use crate::send_queue::{OutboundMessage, SendQueue};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// The sending side of a connection.
pub(crate) struct Connection {
    queue: RefCell<SendQueue>,
    queued: Notify,
    /// Whether this end dialed.
    dialed: bool,
    /// Whether a message was sent or received since the last check for idleness.
    used: Cell<bool>,
}

impl Connection {
    pub(crate) fn new(dialed: bool) -> Rc<Self> {
        Rc::new(Connection {
            queue: RefCell::default(),
            queued: Notify::new(),
            dialed,
            used: Cell::new(true),
        })
    }

    pub(crate) fn is_dialed(&self) -> bool {
        self.dialed
    }

    /// Queues a message.
    pub(crate) fn send(&self, message: OutboundMessage) {
        self.queue.borrow_mut().push(message);
        self.queued.notify_one();
    }

    /// Waits for the next message. Cancellation safe: a message is removed only when it is returned.
    pub(crate) async fn next_message(&self) -> OutboundMessage {
        loop {
            let next = self.queue.borrow_mut().pop();
            match next {
                Some(message) => return message,
                None => self.queued.notified().await,
            }
        }
    }

    /// Takes over the messages that wait for another connection to the same member.
    pub(crate) fn take_over(&self, other: &Connection) {
        loop {
            let next = other.queue.borrow_mut().pop();
            match next {
                Some(message) => self.send(message),
                None => return,
            }
        }
    }

    /// Notes that a message was sent or received.
    pub(crate) fn mark_used(&self) {
        self.used.set(true);
    }

    /// Whether no message waits and none was sent or received since the last check.
    pub(crate) fn check_idle(&self) -> bool {
        let used = self.used.replace(false);
        !used && self.queue.borrow().is_empty()
    }
}
