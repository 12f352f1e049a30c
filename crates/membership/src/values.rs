//! Small values that members publish about themselves. Each has a key, and a version that rises within an incarnation.

use std::collections::BTreeMap;
use std::rc::Rc;

/// The most values that one member may publish.
pub const MAX_VALUES: usize = 24;
/// The longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 24;
/// The longest value, in bytes, so that it fits a frame of 256 bytes together with its key and the member's name.
pub const MAX_VALUE_BYTES: usize = 112;

/// The reason why a value was not published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// The key is empty or longer than [`MAX_KEY_BYTES`].
    #[error("the key is empty or too long")]
    KeyLength,
    /// The value is longer than [`MAX_VALUE_BYTES`].
    #[error("the value is too long")]
    ValueLength,
    /// The version counter has reached its maximum.
    #[error("the version counter is exhausted")]
    VersionsExhausted,
    /// The node publishes [`MAX_VALUES`] values already.
    #[error("too many values are published")]
    TooManyValues,
}

/// A published value with its key and version.
#[derive(Clone, Debug, PartialEq)]
pub struct Value {
    /// 1 to [`MAX_KEY_BYTES`] bytes.
    pub key: Rc<str>,
    /// The version; the value that changed last has the highest one of all values of its member.
    pub version: u32,
    /// At most [`MAX_VALUE_BYTES`] bytes.
    pub bytes: Rc<[u8]>,
}

/// The values of one incarnation, by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Values(BTreeMap<Rc<str>, Value>);

impl Values {
    /// Stores a value if it is newer than the stored one and does not exceed [`MAX_VALUES`]; returns whether it was
    /// stored.
    pub(crate) fn store(&mut self, value: Value) -> bool {
        let known_version = self.0.get(&value.key).map(|known| known.version);
        let is_newer = known_version.is_none_or(|known| value.version > known);
        let fits = known_version.is_some() || self.0.len() < MAX_VALUES;
        if is_newer && fits {
            self.0.insert(value.key.clone(), value);
        }
        is_newer && fits
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Value> {
        self.0.get(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Value> {
        self.0.values()
    }

    /// The highest version of all values; 0 if there are none.
    pub(crate) fn highest_version(&self) -> u32 {
        self.0
            .values()
            .map(|value| value.version)
            .max()
            .unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
