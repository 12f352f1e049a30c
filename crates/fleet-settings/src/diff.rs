//! Differences between two versions.

use crate::key::Key;
use crate::settings::FleetSettings;
use crate::value::Value;
use std::collections::BTreeSet;

/// A key whose value differs between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The key.
    pub key: Key,
    /// The value before.
    pub from: Value,
    /// The value after.
    pub to: Value,
    /// Whether a node that uses one value conflicts with a node that uses the other.
    pub conflicts: bool,
}

/// The keys whose values differ, in ascending order.
pub fn differences(from: &FleetSettings, to: &FleetSettings) -> Vec<Difference> {
    let keys: BTreeSet<Key> = from.keys().union(&to.keys()).cloned().collect();
    let differences = keys.into_iter().filter_map(|key| {
        let from = from.get(&key);
        let to = to.get(&key);
        let conflicts = key.conflicts(&from, &to);
        (from != to).then_some(Difference {
            key,
            from,
            to,
            conflicts,
        })
    });
    differences.collect()
}
