//! Protection against a resync that removes an implausible part of the list.

use std::time::Duration;

/// When the removals that a resync implies are withheld for a time. A drain or a deletion that a source reports by
/// itself always counts at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemovalGuard {
    /// The largest part of a source's list, in percent, that may be missing from its next complete list. Default 50.
    pub max_removed_percent: usize,
    /// Fewer missing endpoints than this are always removed, unless they are the whole list. Default 3.
    pub min_removed: usize,
    /// How long removals are withheld; a removal of the source's whole list is withheld for good. Default 30 s.
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
    /// Whether a resync is implausible that lacks `missing` of the `listed` endpoints.
    pub(crate) fn withholds(&self, missing: usize, listed: usize) -> bool {
        let too_many =
            missing >= self.min_removed && missing * 100 > listed * self.max_removed_percent;
        too_many || missing == listed
    }
}
