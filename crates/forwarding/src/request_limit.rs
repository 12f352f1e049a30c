//! Limits the open requests of a frontend.

use crate::{MemoryBudget, MemoryReservation};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// What an open request is taken to use in the node beside its body, in bytes: its tasks, its entries in the tables of the node
/// and of the decision module, its timers and messages.
const REQUEST_BYTES: usize = 4 * 1024;

/// The maximum number of requests that a frontend may have open in the node. Each takes its part of a memory
/// budget, which is not that for bodies: long bodies keep no short request out.
///
/// A request holds its permit from before it is submitted until the request table has removed it, with all its attempts. It
/// waits for nothing else of which other requests hold a part: messages about a request that has a permit are always queued
/// at once, and the number of permits bounds them.
#[derive(Clone)]
pub struct RequestLimit {
    permits: Arc<Semaphore>,
    budget: MemoryBudget,
}

/// The permit of one open request, held until dropped.
pub struct RequestPermit {
    _permit: OwnedSemaphorePermit,
    _memory: Option<MemoryReservation>,
}

impl RequestLimit {
    /// A limit of `max_requests` open requests, whose memory is from `budget`.
    pub fn new(max_requests: usize, budget: MemoryBudget) -> Self {
        let max_requests = max_requests.min(Semaphore::MAX_PERMITS);
        RequestLimit {
            permits: Arc::new(Semaphore::new(max_requests)),
            budget,
        }
    }

    /// Admits a request, unless too many are open or there is no memory for it.
    pub fn try_admit(&self) -> Option<RequestPermit> {
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        let memory = self.budget.try_reserve(REQUEST_BYTES)?;
        Some(RequestPermit {
            _permit: permit,
            _memory: Some(memory),
        })
    }

    /// Waits until fewer requests are open. Those that wait are admitted in order, also without memory: the limit bounds them.
    pub async fn admit(&self) -> RequestPermit {
        match self.permits.clone().acquire_owned().await {
            Ok(permit) => RequestPermit {
                _permit: permit,
                _memory: self.budget.try_reserve(REQUEST_BYTES),
            },
            Err(_) => std::future::pending().await, // the semaphore is never closed
        }
    }
}
