//! The value that a node uses for a key while several versions may be in force.

use crate::history::{History, MAX_VERSIONS, Version};
use crate::key::Key;
use crate::settings::FleetSettings;
use crate::value::Value;

/// The value that a node uses for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveValue {
    /// The value.
    pub value: Value,
    /// The number of the version that the value is from; for a conservative value, that of the newest known version.
    pub version: u64,
    /// Whether the value is the conservative one, which conflicts with no other.
    pub conservative: bool,
}

/// The versions that a node knows of, and whether it may act on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionStatus {
    /// The newest version that is known to be in force: no node has a lease on an older one.
    pub in_force: u64,
    /// The newest version that is known to be committed.
    pub newest: u64,
    /// Whether the node holds a lease that has not expired.
    pub has_lease: bool,
}

/// The number and settings of a version that may be in force. The settings are `None` if the node does not have the version
/// or cannot read it.
type Candidate = (u64, Option<FleetSettings>);

impl History {
    /// The versions that may be in force on some node of the fleet.
    fn candidates(&self, status: VersionStatus) -> Vec<Candidate> {
        let oldest_retained = status.newest.saturating_sub(MAX_VERSIONS as u64);
        let first = status.in_force.max(oldest_retained);
        let settings = |number: u64| match number {
            0 => Some(FleetSettings::default()),
            number => self.get(number).and_then(Version::read_settings),
        };
        (first..=status.newest)
            .map(|number| (number, settings(number)))
            .collect()
    }

    /// The effective values of `more_keys` and of every key in a version that may be in force, in ascending order of keys.
    pub fn effective_values(
        &self,
        status: VersionStatus,
        more_keys: &[Key],
    ) -> Vec<(Key, EffectiveValue)> {
        let candidates = self.candidates(status);
        let mut keys: Vec<Key> = candidates
            .iter()
            .flat_map(|(_, settings)| settings.iter().flat_map(FleetSettings::keys))
            .collect();
        keys.extend(more_keys.iter().cloned());
        keys.sort();
        keys.dedup();
        keys.into_iter()
            .map(|key| (key.clone(), effective_value(&key, status, &candidates)))
            .collect()
    }

    /// The effective value of one key.
    pub fn effective_value(&self, status: VersionStatus, key: &Key) -> EffectiveValue {
        effective_value(key, status, &self.candidates(status))
    }
}

fn effective_value(key: &Key, status: VersionStatus, candidates: &[Candidate]) -> EffectiveValue {
    let newest_known = candidates
        .iter()
        .rev()
        .find_map(|(number, settings)| Some((*number, settings.as_ref()?.get(key))));
    let (version, newest) = newest_known.unwrap_or((status.newest, key.default_value()));
    let from_version = |value| EffectiveValue {
        value,
        version,
        conservative: false,
    };
    let Some(conservative) = key.conservative_value() else {
        return from_version(newest);
    };
    let all_agree = candidates.iter().all(|(_, settings)| {
        settings
            .as_ref()
            .is_some_and(|settings| settings.get(key) == newest)
    });
    // An exclusion that all candidates agree on applies without a lease too.
    if all_agree && (status.has_lease || key.is_exclusion()) {
        return from_version(newest);
    }
    // A version with unknown settings must not exclude what no known version excludes, or it would exclude everything.
    let no_known_exclusion = candidates.iter().all(|(_, settings)| {
        settings
            .as_ref()
            .is_none_or(|settings| settings.get(key) == key.default_value())
    });
    if key.is_exclusion() && no_known_exclusion {
        return from_version(key.default_value());
    }
    EffectiveValue {
        value: conservative,
        version: status.newest,
        conservative: true,
    }
}
