//! What bodies may take of the memory limit: requests and answers are read only once there is room for them.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that may still be held.
#[derive(Clone)]
pub struct Budget {
    left: Arc<AtomicUsize>,
    whole: usize,
}

/// A part of the budget, which goes back when it is dropped.
pub struct Lease {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    pub fn new(bytes: usize) -> Self {
        Budget {
            left: Arc::new(AtomicUsize::new(bytes)),
            whole: bytes,
        }
    }

    /// The bytes that are held.
    pub fn taken(&self) -> usize {
        self.whole - self.left.load(Ordering::Relaxed)
    }

    /// Room for so many bytes, if there is that much.
    pub fn lease(&self, bytes: usize) -> Option<Lease> {
        let taken = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(bytes)
            });
        taken.ok().map(|_| Lease {
            budget: self.clone(),
            bytes,
        })
    }
}

impl Budget {
    /// Room for so many bytes of a long body: a quarter of all is left to the short ones.
    pub fn lease_spare(&self, bytes: usize) -> Option<Lease> {
        let spare = self
            .left
            .load(Ordering::Relaxed)
            .saturating_sub(self.whole / 4);
        (bytes <= spare).then(|| self.lease(bytes))?
    }
}

impl Lease {
    /// How many bytes it has.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Has so many bytes from now on, or as many of them as there is room for.
    pub fn become_of(&mut self, bytes: usize) {
        if bytes < self.bytes {
            let back = self.bytes - bytes;
            self.bytes = bytes;
            self.budget.left.fetch_add(back, Ordering::Relaxed);
        } else {
            let left = self.budget.left.load(Ordering::Relaxed);
            let more = (bytes - self.bytes).min(left);
            self.grow(more);
        }
    }

    /// Takes so many bytes more for a long body while half of all is left, so that its later fellows find room to begin;
    /// otherwise nothing changes.
    pub fn grow_spare(&mut self, bytes: usize) -> bool {
        let plenty = self.budget.left.load(Ordering::Relaxed) >= self.budget.whole / 2;
        plenty
            .then(|| self.budget.lease(bytes))
            .flatten()
            .is_some_and(|mut more| {
                self.bytes += std::mem::take(&mut more.bytes);
                true
            })
    }

    /// Takes so many bytes more, if there is that much room; otherwise nothing changes.
    pub fn grow(&mut self, bytes: usize) -> bool {
        match self.budget.lease(bytes) {
            Some(mut more) => {
                self.bytes += std::mem::take(&mut more.bytes);
                true
            }
            None => false,
        }
    }

    /// These bytes, which keep their room for as long as a copy of them lives.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        struct Kept(
            Bytes,
            #[expect(dead_code, reason = "its drop gives the room back")] Lease,
        );
        impl AsRef<[u8]> for Kept {
            fn as_ref(&self) -> &[u8] {
                &self.0
            }
        }
        Bytes::from_owner(Kept(bytes, self))
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.budget.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
