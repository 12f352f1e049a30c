//! Small values that members publish about themselves, each under a key and with a version that rises within an
//! incarnation.

use std::collections::BTreeMap;
use std::rc::Rc;

/// Values that one member may publish.
pub const MAX_VALUES: usize = 24;
/// The longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 24;
/// The longest value, in bytes: it must fit a frame of 256 bytes together with its key and its member's name.
pub const MAX_VALUE_BYTES: usize = 112;

/// Why a value was not published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// The key is empty or longer than [`MAX_KEY_BYTES`].
    #[error("the key's length is not within bounds")]
    KeyLength,
    /// The value is longer than [`MAX_VALUE_BYTES`].
    #[error("the value is too long")]
    ValueLength,
    /// The versions of this incarnation are used up.
    #[error("no version is left in this incarnation")]
    VersionsExhausted,
    /// The node publishes [`MAX_VALUES`] values already.
    #[error("there are too many values")]
    TooManyValues,
}

/// A published value with its key and version.
#[derive(Clone, Debug, PartialEq)]
pub struct Value {
    /// 1 to [`MAX_KEY_BYTES`] bytes.
    pub key: Rc<str>,
    /// The value that changed last has the highest version of all values of its member.
    pub version: u32,
    /// At most [`MAX_VALUE_BYTES`].
    pub bytes: Rc<[u8]>,
}

/// The values of one incarnation, by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Values(BTreeMap<Rc<str>, Value>);

impl Values {
    /// Stores a value if it is newer than the stored one and the number of values allows it; returns whether it did.
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
