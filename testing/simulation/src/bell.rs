//! News for whoever waits, in the order of waiting. Tokio's `watch` wakes its receivers in an order drawn by lot.

use std::cell::Cell;
use tokio::sync::Notify;

/// A count of news.
#[derive(Default)]
pub struct Bell {
    rung: Cell<u64>,
    waiting: Notify,
}

impl Bell {
    /// There is news.
    pub fn ring(&self) {
        self.rung.set(self.rung.get() + 1);
        self.waiting.notify_waiters();
    }

    /// How often there was.
    pub fn count(&self) -> u64 {
        self.rung.get()
    }

    /// Waits until there is news after so many, and says how many there are.
    pub async fn after(&self, seen: u64) -> u64 {
        loop {
            // All run on one thread: nothing rings between the look and the wait.
            if self.count() > seen {
                return self.count();
            }
            self.waiting.notified().await;
        }
    }
}
