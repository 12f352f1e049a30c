//! Sending side of a connection to another member; messages can be queued before the connection is established.

use crate::send_queue::{OutboundMessage, SendQueue};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// The sending side of a connection.
pub(crate) struct Connection {
    queue: RefCell<SendQueue>,
    message_queued: Notify,
    /// Whether this node dialed the connection.
    dialed: bool,
    /// Whether a message was sent or received since the last idle check.
    used: Cell<bool>,
}

impl Connection {
    pub(crate) fn new(dialed: bool) -> Rc<Self> {
        Rc::new(Connection {
            queue: RefCell::default(),
            message_queued: Notify::new(),
            dialed,
            used: Cell::new(true),
        })
    }

    pub(crate) fn is_dialed(&self) -> bool {
        self.dialed
    }

    pub(crate) fn send(&self, message: OutboundMessage) {
        self.queue.borrow_mut().push(message);
        self.message_queued.notify_one();
    }

    /// Waits for the next queued message. Cancellation safe: a message is removed from the queue only when it is returned.
    pub(crate) async fn next_message(&self) -> OutboundMessage {
        loop {
            let next = self.queue.borrow_mut().pop();
            match next {
                Some(message) => return message,
                None => self.message_queued.notified().await,
            }
        }
    }

    /// Moves the queued messages of another connection to the same member to this one.
    pub(crate) fn take_over(&self, other: &Connection) {
        loop {
            let next = other.queue.borrow_mut().pop();
            match next {
                Some(message) => self.send(message),
                None => return,
            }
        }
    }

    /// Records that a message was sent or received.
    pub(crate) fn mark_used(&self) {
        self.used.set(true);
    }

    /// Whether no message is queued and none was sent or received since the last call.
    pub(crate) fn check_idle(&self) -> bool {
        let used = self.used.replace(false);
        !used && self.queue.borrow().is_empty()
    }
}
