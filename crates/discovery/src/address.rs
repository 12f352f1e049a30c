//! Notification of changes to discovery's address.

use std::net::SocketAddr;
use tokio::sync::watch;

pub(crate) struct AddressChanges(watch::Receiver<SocketAddr>);

impl AddressChanges {
    pub(crate) fn new(changes: watch::Receiver<SocketAddr>) -> Self {
        AddressChanges(changes)
    }

    /// Waits until the address changes and returns the new one. Cancel safe: dropping the future loses no change.
    pub(crate) async fn next(&mut self) -> SocketAddr {
        match self.0.changed().await {
            Ok(()) => *self.0.borrow_and_update(),
            Err(_) => std::future::pending().await, // all senders are dropped: the address can no longer change
        }
    }
}
