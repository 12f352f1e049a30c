//! Protection against a resync that would remove an implausibly large part of the list.

use std::time::Duration;

/// The limits above which removals implied by a resync are withheld for some time. Draining or removal that a source
/// reports explicitly always takes effect at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemovalGuard {
    /// The largest percentage of a source's list that may be missing from its next complete list. Default 50.
    pub max_removed_percent: usize,
    /// Fewer missing endpoints than this are always removed, unless they make up the whole list. Default 3.
    pub min_removed: usize,
    /// How long removals are withheld; the removal of a source's whole list is withheld indefinitely. Default 30 s.
    pub delay: Duration,
}

impl Default for RemovalGuard {
    fn default() -> Self {
        RemovalGuard {
            max_removed_percent: 50,
            min_removed: 3,
            delay: Duration::from_secs(30),
        }
    }
}

impl RemovalGuard {
    /// Whether removals are withheld if `missing` of the `listed` endpoints are absent from a resync.
    pub(crate) fn withholds(&self, missing: usize, listed: usize) -> bool {
        let too_many =
            missing >= self.min_removed && missing * 100 > listed * self.max_removed_percent;
        too_many || missing == listed
    }
}
