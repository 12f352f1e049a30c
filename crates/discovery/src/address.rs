//! Changes of discovery's address.

use std::net::SocketAddr;
use tokio::sync::watch;

pub(crate) struct AddressChanges(watch::Receiver<SocketAddr>);

impl AddressChanges {
    pub(crate) fn new(changes: watch::Receiver<SocketAddr>) -> Self {
        AddressChanges(changes)
    }

    /// The next new address. Cancellation safe: a call that is dropped misses no change.
    pub(crate) async fn next(&mut self) -> SocketAddr {
        match self.0.changed().await {
            Ok(()) => *self.0.borrow_and_update(),
            Err(_) => std::future::pending().await, // no sender is left to change it
        }
    }
}
