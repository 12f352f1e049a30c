//! Endpoints that no source lists any more, whose last reports are kept: a source that lists one of them later, such as
//! one that was disconnected meanwhile, does not undo the removal that another source reported.

use sillward_balancer::ServerId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The maximum number of unlisted endpoints whose reports are kept, so that memory is bounded where names change often.
pub const MAX_UNLISTED_ENDPOINTS: usize = 4096;

/// The unlisted endpoints, by the time of their removal.
#[derive(Default)]
pub(crate) struct UnlistedEndpoints {
    removed_at: BTreeMap<ServerId, Duration>,
    by_age: BTreeSet<(Duration, ServerId)>,
}

impl UnlistedEndpoints {
    /// Adds an endpoint that no source lists any more. Returns the one whose reports are to be dropped for it, if any.
    pub(crate) fn insert(&mut self, id: ServerId, now: Duration) -> Option<ServerId> {
        self.remove(id);
        self.removed_at.insert(id, now);
        self.by_age.insert((now, id));
        if self.by_age.len() <= MAX_UNLISTED_ENDPOINTS {
            return None;
        }
        let (_, oldest) = self.by_age.pop_first()?;
        self.removed_at.remove(&oldest);
        Some(oldest)
    }

    /// Removes an endpoint that a source lists again.
    pub(crate) fn remove(&mut self, id: ServerId) {
        if let Some(removed_at) = self.removed_at.remove(&id) {
            self.by_age.remove(&(removed_at, id));
        }
    }
}
