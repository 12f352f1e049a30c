//! Digests, with which members compare their member tables without sending them.

use crate::incarnation::Incarnation;
use crate::name::Name;
use crate::values::Values;
use xxhash_rust::xxh3::xxh3_64;

/// Hashes byte strings, each prefixed with its length. The result is the same on every machine and in every build.
pub(crate) fn hash(parts: &[&[u8]]) -> u32 {
    let mut bytes = Vec::with_capacity(64);
    for part in parts {
        bytes.extend((part.len() as u32).to_be_bytes());
        bytes.extend_from_slice(part);
    }
    let hash = xxh3_64(&bytes);
    (hash ^ (hash >> 32)) as u32
}

/// The hash of a member's name.
pub(crate) fn name_hash(name: &Name) -> u32 {
    hash(&[name.as_str().as_bytes()])
}

/// The digest of a member's incarnation and its values. Digests are combined with XOR, so that a change needs no
/// recomputation over the other members.
pub(crate) fn member_digest(name: &Name, incarnation: Incarnation, values: &Values) -> u32 {
    let name = name.as_str().as_bytes();
    let epoch = incarnation.epoch.to_be_bytes();
    let salt = incarnation.salt.to_be_bytes();
    let incarnation_hash = hash(&[name, &epoch, &salt]);
    values.iter().fold(incarnation_hash, |digest, value| {
        let version = value.version.to_be_bytes();
        digest ^ hash(&[name, &salt, value.key.as_bytes(), &version])
    })
}
