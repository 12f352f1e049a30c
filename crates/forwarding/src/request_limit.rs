//! Limits the open requests of a frontend.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The maximum number of requests that a frontend may have open in the node.
///
/// A request holds its permit from before it is submitted until the request table has removed it, with all its attempts. It
/// waits for nothing else of which other requests hold a part: messages about a request that has a permit are always queued
/// at once, and the number of permits bounds them.
#[derive(Clone)]
pub struct RequestLimit {
    permits: Arc<Semaphore>,
}

/// The permit of one open request.
pub struct RequestPermit(#[expect(dead_code, reason = "held until dropped")] OwnedSemaphorePermit);

impl RequestLimit {
    /// A limit of `max_requests` open requests.
    pub fn new(max_requests: usize) -> Self {
        let max_requests = max_requests.min(Semaphore::MAX_PERMITS);
        RequestLimit {
            permits: Arc::new(Semaphore::new(max_requests)),
        }
    }

    /// Admits a request, unless too many are open.
    pub fn try_admit(&self) -> Option<RequestPermit> {
        let permit = self.permits.clone().try_acquire_owned();
        permit.ok().map(RequestPermit)
    }

    /// Waits until a request can be admitted. Those that wait are admitted in order.
    pub async fn admit(&self) -> RequestPermit {
        match self.permits.clone().acquire_owned().await {
            Ok(permit) => RequestPermit(permit),
            Err(_) => std::future::pending().await, // the semaphore is never closed
        }
    }
}
