//! The memory budget of bodies: requests and responses are read only within a reservation.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A budget in bytes. Clones share it.
#[derive(Clone)]
pub struct MemoryBudget {
    available: Arc<AtomicUsize>,
    total: usize,
}

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> Self {
        MemoryBudget {
            available: Arc::new(AtomicUsize::new(bytes)),
            total: bytes,
        }
    }

    /// The bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.total - self.available()
    }

    /// Reserves so many bytes, if as many are available.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.available
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |available| {
                available.checked_sub(bytes)
            })
            .ok()?;
        Some(MemoryReservation {
            budget: self.clone(),
            bytes,
        })
    }

    /// Reserves so many bytes for a long body. A quarter of the budget is left to short ones.
    pub fn try_reserve_for_long_body(&self, bytes: usize) -> Option<MemoryReservation> {
        let spare = self.available().saturating_sub(self.total / 4);
        if bytes > spare {
            return None;
        }
        self.try_reserve(bytes)
    }

    fn available(&self) -> usize {
        self.available.load(Ordering::Relaxed)
    }
}

/// Reserved bytes of a budget, released on drop.
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// How many bytes are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Resizes the reservation to so many bytes, or to as many of them as are available.
    pub fn resize_up_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            let released = self.bytes - bytes;
            self.bytes = bytes;
            self.budget.available.fetch_add(released, Ordering::Relaxed);
        } else {
            let wanted = bytes - self.bytes;
            self.try_grow(wanted.min(self.budget.available()));
        }
    }

    /// Reserves so many bytes more, if as many are available; false if not, and nothing changes.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        match self.budget.try_reserve(bytes) {
            Some(mut more) => {
                self.bytes += std::mem::take(&mut more.bytes);
                true
            }
            None => false,
        }
    }

    /// Reserves so many bytes more for a long body while half of the budget is available, so that later bodies find
    /// memory to begin with; false if not, and nothing changes.
    pub fn try_grow_for_long_body(&mut self, bytes: usize) -> bool {
        let is_plenty = self.budget.available() >= self.budget.total / 2;
        is_plenty && self.try_grow(bytes)
    }

    /// Ties the reservation to these bytes: it is released with their last copy.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget
            .available
            .fetch_add(self.bytes, Ordering::Relaxed);
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
