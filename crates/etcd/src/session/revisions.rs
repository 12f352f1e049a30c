//! The last known revision of each key, used to tell new events from repeated or late ones.

use bytes::Bytes;
use std::collections::BTreeMap;

/// The maximum number of deleted keys whose revision is kept, so that a late Put from before the deletion is not taken
/// for a new one.
const MAX_DELETED_KEYS: usize = 4096;

#[derive(Default)]
pub(super) struct KeyRevisions {
    /// The existing keys.
    existing: BTreeMap<Bytes, i64>,
    /// The most recently deleted keys.
    deleted: BTreeMap<Bytes, i64>,
    /// The revision of the last complete list.
    list_revision: i64,
}

impl KeyRevisions {
    /// Forgets all keys.
    pub(super) fn clear(&mut self) {
        self.existing.clear();
        self.deleted.clear();
    }

    /// Records a key of the list that is being read.
    pub(super) fn insert_listed(&mut self, key: Bytes, revision: i64) {
        self.existing.insert(key, revision);
    }

    /// Records that the complete list has been read, at this revision.
    pub(super) fn end_list(&mut self, revision: i64) {
        self.list_revision = revision;
    }

    /// Whether an event of this key and revision is new. For a key without a known revision, an event is new if its
    /// revision is higher than that of the list.
    pub(super) fn is_newer(&self, key: &Bytes, revision: i64) -> bool {
        let known = self.existing.get(key).or_else(|| self.deleted.get(key));
        revision > known.copied().unwrap_or(self.list_revision)
    }

    pub(super) fn put(&mut self, key: Bytes, revision: i64) {
        self.deleted.remove(&key);
        self.existing.insert(key, revision);
    }

    pub(super) fn delete(&mut self, key: Bytes, revision: i64) {
        self.existing.remove(&key);
        if self.deleted.len() >= MAX_DELETED_KEYS {
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
