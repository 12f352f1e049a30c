//! This node's identity and the state that it publishes to the other members.

use crate::digest::member_digest;
use crate::incarnation::Incarnation;
use crate::metadata::NodeMetadata;
use crate::name::Name;
use crate::update::{MemberState, MemberUpdate};
use crate::values::{MAX_KEY_BYTES, MAX_VALUE_BYTES, PublishError, Value, Values};
use crate::wire::MemberValue;
use std::net::SocketAddr;
use std::rc::Rc;

/// The identity of this node.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// The node's name.
    pub name: Name,
    /// The address at which other members reach the node.
    pub address: SocketAddr,
    /// The node's metadata.
    pub metadata: NodeMetadata,
    /// The addresses to which the node sends joins; its own may be among them.
    pub seeds: Vec<SocketAddr>,
}

impl LocalNode {
    /// The seeds without this node's own address.
    pub(crate) fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.address)
    }
}

/// This node's identity, current incarnation, refutation counter and published values.
pub(crate) struct LocalState {
    pub(crate) identity: LocalNode,
    pub(crate) incarnation: Incarnation,
    pub(crate) refutation: u32,
    pub(crate) values: Values,
}

impl LocalState {
    pub(crate) fn new(identity: LocalNode, incarnation: Incarnation) -> Self {
        LocalState {
            identity,
            incarnation,
            refutation: 0,
            values: Values::default(),
        }
    }

    /// Whether `name` is this node's own.
    pub(crate) fn is_named(&self, name: &Name) -> bool {
        *name == self.identity.name
    }

    /// The update that this node sends about itself.
    pub(crate) fn update(&self) -> MemberUpdate {
        MemberUpdate {
            name: self.identity.name.clone(),
            address: self.identity.address,
            incarnation: self.incarnation,
            refutation: self.refutation,
            state: MemberState::Alive,
            suspected_by: 0,
        }
    }

    /// The digest of this node's incarnation and values.
    pub(crate) fn digest(&self) -> u32 {
        member_digest(&self.identity.name, self.incarnation, &self.values)
    }

    /// The wire form of one of this node's values.
    pub(crate) fn wire_value(&self, key: &str) -> Option<MemberValue> {
        let value = self.values.get(key)?;
        Some(MemberValue::new(
            &self.identity.name,
            self.incarnation,
            value,
        ))
    }

    /// Stores one of this node's values under the next version; returns `false` if the value is unchanged.
    pub(crate) fn publish(&mut self, key: &Rc<str>, bytes: &[u8]) -> Result<bool, PublishError> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(PublishError::KeyLength);
        }
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(PublishError::ValueLength);
        }
        let known = self.values.get(key);
        if known.is_some_and(|value| *value.bytes == *bytes) {
            return Ok(false);
        }
        let version = self.values.highest_version().checked_add(1);
        let value = Value {
            key: key.clone(),
            version: version.ok_or(PublishError::VersionsExhausted)?,
            bytes: bytes.into(),
        };
        if !self.values.store(value) {
            return Err(PublishError::TooManyValues);
        }
        Ok(true)
    }
}
