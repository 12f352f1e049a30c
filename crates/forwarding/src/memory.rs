//! The memory budget for bodies. Requests and responses are read only within a reservation.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A memory budget in bytes, shared by all its clones.
#[derive(Clone)]
pub struct MemoryBudget {
    available: Arc<AtomicUsize>,
    total: usize,
}

impl MemoryBudget {
    /// A budget of the given number of bytes.
    pub fn new(bytes: usize) -> Self {
        MemoryBudget {
            available: Arc::new(AtomicUsize::new(bytes)),
            total: bytes,
        }
    }

    /// The number of reserved bytes.
    pub fn reserved(&self) -> usize {
        self.total - self.available()
    }

    /// Reserves `bytes`; `None` if fewer are available.
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

    /// Reserves `bytes` for a long body, but leaves a quarter of the budget to short ones.
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

/// A reservation in a memory budget, released on drop.
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// The number of reserved bytes of this reservation.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Resizes the reservation to `bytes`, or as far towards that as the budget allows.
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

    /// Grows the reservation by `bytes`. Returns false and changes nothing if fewer are available.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        match self.budget.try_reserve(bytes) {
            Some(mut more) => {
                self.bytes += std::mem::take(&mut more.bytes);
                true
            }
            None => false,
        }
    }

    /// Grows the reservation of a long body by `bytes`, as long as half of the budget is available: bodies that start
    /// later need memory too. Returns false and changes nothing if it can't grow.
    pub fn try_grow_for_long_body(&mut self, bytes: usize) -> bool {
        let is_half_available = self.budget.available() >= self.budget.total / 2;
        is_half_available && self.try_grow(bytes)
    }

    /// Attaches the reservation to `bytes`. It is released when the last clone of them is dropped.
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

/// Bytes that own their reservation.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
