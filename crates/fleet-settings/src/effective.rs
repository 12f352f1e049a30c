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
    /// The number of the version that has it; of a conservative value, that of the newest known version.
    pub version: u64,
    /// Whether it is the conservative value, which conflicts with no other.
    pub conservative: bool,
}

/// Which versions a node knows of, and whether it may act on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionStatus {
    /// The newest version that is known to be in force: no node has a lease on an older one.
    pub in_force: u64,
    /// The newest version that is known to be committed.
    pub newest: u64,
    /// Whether the node's lease has not expired.
    pub has_lease: bool,
}

/// A version that may be in force, by its number. Its settings are `None` if the node lacks it or cannot read it.
type Candidate = (u64, Option<FleetSettings>);

impl History {
    /// All versions that may be in force somewhere in the fleet.
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

    /// The effective values of `more_keys` and of every key in a version that may be in force, in the order of keys.
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
    let of_a_version = |value| EffectiveValue {
        value,
        version,
        conservative: false,
    };
    let Some(conservative) = key.conservative_value() else {
        return of_a_version(newest);
    };
    let all_agree = candidates.iter().all(|(_, settings)| {
        settings
            .as_ref()
            .is_some_and(|settings| settings.get(key) == newest)
    });
    // An exclusion that all versions agree on outlives the lease.
    if all_agree && (status.has_lease || key.is_exclusion()) {
        return of_a_version(newest);
    }
    // What no known version excludes is not excluded for an unknown one, which would exclude everything.
    let no_known_exclusion = candidates.iter().all(|(_, settings)| {
        settings
            .as_ref()
            .is_none_or(|settings| settings.get(key) == key.default_value())
    });
    if key.is_exclusion() && no_known_exclusion {
        return of_a_version(key.default_value());
    }
    EffectiveValue {
        value: conservative,
        version: status.newest,
        conservative: true,
    }
}
