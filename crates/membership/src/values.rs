//! What members tell of themselves: small values by key, each with a version that only rises within a incarnation.

use crate::incarnation::{Incarnation, Name};
use std::collections::BTreeMap;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// Values that a member may have.
pub const MAX_VALUES: usize = 24;
/// The longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 24;
/// The longest value, in bytes: it must fit a frame of 256 with its key and its member's name.
pub const MAX_VALUE_BYTES: usize = 112;

/// A value with its key and version.
#[derive(Clone, Debug, PartialEq)]
pub struct Value {
    /// 1 to [`MAX_KEY_BYTES`] bytes.
    pub key: Rc<str>,
    /// Of all values of a member the one that was changed last has the highest.
    pub version: u32,
    /// At most [`MAX_VALUE_BYTES`].
    pub bytes: Rc<[u8]>,
}

/// The values of one incarnation.
#[derive(Clone, Debug, Default)]
pub struct Values(BTreeMap<Rc<str>, Value>);

impl Values {
    /// Takes a value if it is newer than what is there and there is room.
    pub fn take(&mut self, value: Value) -> bool {
        let known = self.0.get(&value.key).map(|known| known.version);
        let newer = known.is_none_or(|known| value.version > known);
        let room = known.is_some() || self.0.len() < MAX_VALUES;
        if newer && room {
            self.0.insert(value.key.clone(), value);
        }
        newer && room
    }

    pub fn get(&self, key: &str) -> Option<&Value> {
        self.0.get(key)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Value> {
        self.0.values()
    }

    /// The highest version there is.
    pub fn top(&self) -> u32 {
        self.0
            .values()
            .map(|value| value.version)
            .max()
            .unwrap_or_default()
    }
}

/// A hash that is the same on every machine and in every build.
pub fn hash(parts: &[&[u8]]) -> u32 {
    let mut bytes = Vec::with_capacity(64);
    for part in parts {
        bytes.extend((part.len() as u32).to_be_bytes());
        bytes.extend_from_slice(part);
    }
    let hash = xxh3_64(&bytes);
    (hash ^ (hash >> 32)) as u32
}

/// What a incarnation and its values add to a digest. Prints are combined by exclusive or, so that each change costs no more than
/// what has changed.
pub fn digest(name: &Name, incarnation: Incarnation, values: &Values) -> u32 {
    let (epoch, salt) = (
        incarnation.epoch.to_be_bytes(),
        incarnation.salt.to_be_bytes(),
    );
    let own = hash(&[name.as_str().as_bytes(), &epoch, &salt]);
    values.iter().fold(own, |digest, value| {
        digest
            ^ hash(&[
                name.as_str().as_bytes(),
                &salt,
                value.key.as_bytes(),
                &value.version.to_be_bytes(),
            ])
    })
}
