//! What bodies may take of the memory limit: requests and answers are read only once there is room for them.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that may still be held.
#[derive(Clone)]
pub struct MemoryBudget {
    left: Arc<AtomicUsize>,
    whole: usize,
}

/// A part of the budget, which goes back when it is dropped.
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryBudget {
    pub fn new(bytes: usize) -> Self {
        MemoryBudget {
            left: Arc::new(AtomicUsize::new(bytes)),
            whole: bytes,
        }
    }

    /// The bytes that are held.
    pub fn reserved(&self) -> usize {
        self.whole - self.left.load(Ordering::Relaxed)
    }

    /// Room for so many bytes, if there is that much.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let taken = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(bytes)
            });
        taken.ok().map(|_| MemoryReservation {
            budget: self.clone(),
            bytes,
        })
    }
}

impl MemoryBudget {
    /// Room for so many bytes of a long body: a quarter of all is left to the short ones.
    pub fn try_reserve_for_long_body(&self, bytes: usize) -> Option<MemoryReservation> {
        let spare = self
            .left
            .load(Ordering::Relaxed)
            .saturating_sub(self.whole / 4);
        (bytes <= spare).then(|| self.try_reserve(bytes))?
    }
}

impl MemoryReservation {
    /// How many bytes it has.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Has so many bytes from now on, or as many of them as there is room for.
    pub fn resize_up_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            let back = self.bytes - bytes;
            self.bytes = bytes;
            self.budget.left.fetch_add(back, Ordering::Relaxed);
        } else {
            let left = self.budget.left.load(Ordering::Relaxed);
            let more = (bytes - self.bytes).min(left);
            self.try_grow(more);
        }
    }

    /// Takes so many bytes more for a long body while half of all is left, so that its later fellows find room to begin;
    /// otherwise nothing changes.
    pub fn try_grow_for_long_body(&mut self, bytes: usize) -> bool {
        let plenty = self.budget.left.load(Ordering::Relaxed) >= self.budget.whole / 2;
        plenty
            .then(|| self.budget.try_reserve(bytes))
            .flatten()
            .is_some_and(|mut more| {
                self.bytes += std::mem::take(&mut more.bytes);
                true
            })
    }

    /// Takes so many bytes more, if there is that much room; otherwise nothing changes.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        match self.budget.try_reserve(bytes) {
            Some(mut more) => {
                self.bytes += std::mem::take(&mut more.bytes);
                true
            }
            None => false,
        }
    }

    /// These bytes, which keep their room for as long as a copy of them lives.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        struct Kept(
            Bytes,
            #[expect(dead_code, reason = "its drop gives the room back")] MemoryReservation,
        );
        impl AsRef<[u8]> for Kept {
            fn as_ref(&self) -> &[u8] {
                &self.0
            }
        }
        Bytes::from_owner(Kept(bytes, self))
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
