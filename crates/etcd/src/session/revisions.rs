//! The last known revision of each key, by which events that are repeated or late are told from new ones.

use bytes::Bytes;
use std::collections::BTreeMap;

/// Deleted keys whose revision is remembered, so that a late Put from before the deletion is not taken for a new one.
const MAX_DELETED: usize = 4096;

#[derive(Default)]
pub(super) struct KeyRevisions {
    /// The keys that exist.
    existing: BTreeMap<Bytes, i64>,
    /// The keys that were deleted last.
    deleted: BTreeMap<Bytes, i64>,
    /// The revision of the last complete list.
    listed: i64,
}

impl KeyRevisions {
    /// Forgets all keys.
    pub(super) fn clear(&mut self) {
        self.existing.clear();
        self.deleted.clear();
    }

    /// A key is in the list that is being read.
    pub(super) fn list(&mut self, key: Bytes, revision: i64) {
        self.existing.insert(key, revision);
    }

    /// The complete list has been read, at this revision.
    pub(super) fn end_list(&mut self, revision: i64) {
        self.listed = revision;
    }

    /// Whether an event of a key at this revision is news. For a key that was not in the list, events from before the
    /// list are not.
    pub(super) fn is_newer(&self, key: &Bytes, revision: i64) -> bool {
        let known = self.existing.get(key).or_else(|| self.deleted.get(key));
        revision > known.copied().unwrap_or(self.listed)
    }

    pub(super) fn put(&mut self, key: Bytes, revision: i64) {
        self.deleted.remove(&key);
        self.existing.insert(key, revision);
    }

    pub(super) fn delete(&mut self, key: Bytes, revision: i64) {
        self.existing.remove(&key);
        if self.deleted.len() >= MAX_DELETED {
            self.forget_oldest_deleted();
        }
        self.deleted.insert(key, revision);
    }

    fn forget_oldest_deleted(&mut self) {
        let oldest = self.deleted.iter().min_by_key(|(_, revision)| **revision);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.deleted.remove(&key);
        }
    }
}
