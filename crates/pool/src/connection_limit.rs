//! The limit on open connections.

use std::cell::Cell;
use std::rc::Rc;

/// The limit on connections to backends, shared by all pools.
pub struct ConnectionLimit {
    open: Cell<usize>,
    max: Cell<usize>,
}

impl ConnectionLimit {
    /// Creates a limit of `max` connections.
    pub fn new(max: usize) -> Rc<Self> {
        Rc::new(ConnectionLimit {
            open: Cell::new(0),
            max: Cell::new(max),
        })
    }

    /// Changes the limit. Open connections stay open.
    pub fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    /// The number of connections that are open, in use or idle, or being dialled.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Whether no more connections may be opened.
    pub(crate) fn is_reached(&self) -> bool {
        self.open.get() >= self.max.get()
    }

    /// Whether more than half of the allowed connections are open.
    pub(crate) fn is_over_half(&self) -> bool {
        2 * self.open.get() > self.max.get()
    }

    /// Counts a connection that is about to be dialled, without checking the limit.
    pub(crate) fn reserve(self: &Rc<Self>) -> ConnectionSlot {
        self.open.set(self.open.get() + 1);
        ConnectionSlot(self.clone())
    }
}

/// Counts one connection against the limit until it is dropped.
pub(crate) struct ConnectionSlot(Rc<ConnectionLimit>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
