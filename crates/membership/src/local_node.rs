//! This node, as the other members are to know it.

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
    /// Its name.
    pub name: Name,
    /// Where the other members reach it.
    pub address: SocketAddr,
    /// Its metadata.
    pub metadata: NodeMetadata,
    /// The addresses that it joins the fleet by; its own may be among them.
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

/// This node with its present incarnation and what it publishes.
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

    /// What this node asserts of itself.
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

    /// One of this node's values, for the wire.
    pub(crate) fn wire_value(&self, key: &str) -> Option<MemberValue> {
        let value = self.values.get(key)?;
        Some(MemberValue::new(
            &self.identity.name,
            self.incarnation,
            value,
        ))
    }

    /// Stores a value of this node's own under the next version; returns whether it differs from the stored one.
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
