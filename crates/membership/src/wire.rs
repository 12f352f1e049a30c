//! The protobuf messages between members. A reader skips unknown fields and reads missing ones as 0 or empty, so that
//! older and newer builds can communicate. Field numbers are never reused.

use crate::incarnation::Incarnation;
use crate::metadata::NodeMetadata;
use crate::name::Name;
use crate::update::{MemberState, MemberUpdate};
use crate::values::{MAX_KEY_BYTES, MAX_VALUE_BYTES, Value};
use prost::Message;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// The key under which a member publishes its [`MetadataMessage`].
pub(crate) const METADATA_KEY: &str = "about";

/// The purpose of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum FrameKind {
    /// Carries only gossip.
    Gossip = 0,
    /// Requests a [`FrameKind::Ack`] with the same sequence number.
    Ping = 1,
    /// Acknowledges a ping.
    Ack = 2,
    /// Requests a ping from the receiver to the frame's target.
    IndirectPing = 3,
    /// Responds to an indirect ping: the sender is up, but got no ack from the target.
    Nack = 4,
    /// Requests to join, without knowledge of the receiver's incarnation.
    Join = 5,
    /// Responds to a join, or to a frame addressed to an earlier incarnation.
    Welcome = 6,
}

/// An assertion about the state of a member; see [`MemberUpdate`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Update {
    /// The member's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The member's address: 4 or 16 bytes of IP address and 2 of port, most significant byte first.
    #[prost(bytes = "vec", tag = "2")]
    pub address: Vec<u8>,
    /// The epoch of the member's incarnation.
    #[prost(uint32, tag = "3")]
    pub epoch: u32,
    /// The salt of the member's incarnation.
    #[prost(fixed32, tag = "4")]
    pub salt: u32,
    /// The member's refutation counter.
    #[prost(uint32, tag = "5")]
    pub refutation: u32,
    /// 0 alive, 1 suspect, 2 left, 3 dead.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// The name hash of the suspecting member; 0 if there is none.
    #[prost(fixed32, tag = "7")]
    pub suspected_by: u32,
}

/// A value that a member publishes about itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberValue {
    /// The member's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The epoch of the member's incarnation.
    #[prost(uint32, tag = "2")]
    pub epoch: u32,
    /// The salt of the member's incarnation.
    #[prost(fixed32, tag = "3")]
    pub salt: u32,
    /// The key.
    #[prost(string, tag = "4")]
    pub key: String,
    /// The version, which rises with each change of any of the member's values.
    #[prost(uint32, tag = "5")]
    pub version: u32,
    /// The value.
    #[prost(bytes = "vec", tag = "6")]
    pub value: Vec<u8>,
}

/// A frame between two members, without its envelope.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// The purpose of the frame: a [`FrameKind`].
    #[prost(enumeration = "FrameKind", tag = "1")]
    pub kind: i32,
    /// The sequence number of a ping, which its ack or nack repeats.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The target of an indirect ping.
    #[prost(message, optional, tag = "3")]
    pub target: Option<Update>,
    /// Gossip about members.
    #[prost(message, repeated, tag = "4")]
    pub updates: Vec<Update>,
    /// Gossip about values.
    #[prost(message, repeated, tag = "5")]
    pub values: Vec<MemberValue>,
    /// The digest of all active members in the sender's table; 0 if the frame has none.
    #[prost(fixed32, tag = "6")]
    pub digest: u32,
}

/// A message of an anti-entropy exchange.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SyncMessage {
    /// The step of the exchange: one of the `STEP_` constants. A higher one comes from a newer build and gets no
    /// response.
    #[prost(uint32, tag = "1")]
    pub step: u32,
    /// The digests of the sender's buckets.
    #[prost(fixed32, repeated, tag = "2")]
    pub digests: Vec<u32>,
    /// The buckets that the message concerns, one bit each.
    #[prost(fixed64, tag = "3")]
    pub buckets: u64,
    /// States of members in those buckets.
    #[prost(message, repeated, tag = "4")]
    pub updates: Vec<Update>,
    /// Values of those members.
    #[prost(message, repeated, tag = "5")]
    pub values: Vec<MemberValue>,
    /// For each active member in those buckets, its name hash and then its digest.
    #[prost(fixed32, repeated, tag = "6")]
    pub member_digests: Vec<u32>,
    /// Name hashes of the members that the sender lacks or has with a different digest.
    #[prost(fixed32, repeated, tag = "7")]
    pub requested: Vec<u32>,
}

impl SyncMessage {
    /// Opens an exchange with the digests of all buckets.
    pub const STEP_BUCKET_DIGESTS: u32 = 1;
    /// Responds with the digests of the members in the buckets that differ.
    pub const STEP_MEMBER_DIGESTS: u32 = 2;
    /// Delivers the members that the receiver lacks, and requests those that the sender lacks.
    pub const STEP_DELIVER_AND_REQUEST: u32 = 3;
    /// Delivers the requested members.
    pub const STEP_DELIVER: u32 = 4;
}

/// A node's metadata, published as the value under the key `about`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MetadataMessage {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// The region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// The build.
    #[prost(string, tag = "3")]
    pub build: String,
    /// The supported protocols.
    #[prost(string, repeated, tag = "4")]
    pub capabilities: Vec<String>,
}

/// Encodes an address: the IP address, then the port, most significant byte first.
pub fn encode_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

/// Decodes an address; `None` if it is malformed, or cannot be the address of a member.
pub fn decode_address(bytes: &[u8]) -> Option<SocketAddr> {
    let ip: IpAddr = match bytes.len() {
        6 => Ipv4Addr::from(<[u8; 4]>::try_from(&bytes[..4]).ok()?).into(),
        18 => Ipv6Addr::from(<[u8; 16]>::try_from(&bytes[..16]).ok()?).into(),
        _ => return None,
    };
    let port = u16::from_be_bytes(bytes[bytes.len() - 2..].try_into().ok()?);
    let is_reachable = port != 0 && !ip.is_unspecified() && !ip.is_multicast();
    is_reachable.then(|| SocketAddr::new(ip, port))
}

impl From<&MemberUpdate> for Update {
    fn from(update: &MemberUpdate) -> Self {
        Update {
            name: update.name.as_str().to_owned(),
            address: encode_address(update.address),
            epoch: update.incarnation.epoch,
            salt: update.incarnation.salt,
            refutation: update.refutation,
            state: update.state as u32,
            suspected_by: update.suspected_by,
        }
    }
}

impl Update {
    /// Validates and converts the update; `None` if it is invalid, for example with a state that only newer builds
    /// know.
    pub fn to_member_update(&self) -> Option<MemberUpdate> {
        let state = match self.state {
            0 => MemberState::Alive,
            1 => MemberState::Suspect,
            2 => MemberState::Left,
            3 => MemberState::Dead,
            _ => return None,
        };
        let incarnation = Incarnation {
            epoch: self.epoch,
            salt: self.salt,
        };
        if !incarnation.is_valid() {
            return None;
        }
        Some(MemberUpdate {
            name: Name::new(&self.name)?,
            address: decode_address(&self.address)?,
            incarnation,
            refutation: self.refutation,
            state,
            suspected_by: self.suspected_by,
        })
    }
}

impl MemberValue {
    /// The wire form of a member's value.
    pub fn new(name: &Name, incarnation: Incarnation, value: &Value) -> Self {
        MemberValue {
            name: name.as_str().to_owned(),
            epoch: incarnation.epoch,
            salt: incarnation.salt,
            key: value.key.to_string(),
            version: value.version,
            value: value.bytes.to_vec(),
        }
    }

    /// Validates and converts the message into the member's name, its incarnation and the value; `None` if it is
    /// invalid.
    pub fn to_value(&self) -> Option<(Name, Incarnation, Value)> {
        let is_within_bounds = !self.key.is_empty()
            && self.key.len() <= MAX_KEY_BYTES
            && self.value.len() <= MAX_VALUE_BYTES;
        if !is_within_bounds {
            return None;
        }
        let incarnation = Incarnation {
            epoch: self.epoch,
            salt: self.salt,
        };
        let value = Value {
            key: self.key.as_str().into(),
            version: self.version,
            bytes: self.value.as_slice().into(),
        };
        Some((Name::new(&self.name)?, incarnation, value))
    }
}

impl From<&NodeMetadata> for MetadataMessage {
    fn from(metadata: &NodeMetadata) -> Self {
        MetadataMessage {
            zone: metadata.zone.clone(),
            region: metadata.region.clone(),
            build: metadata.build.clone(),
            capabilities: metadata.capabilities.clone(),
        }
    }
}

impl MetadataMessage {
    /// Decodes the value under the key `about`; `None` if it is malformed.
    pub fn parse(bytes: &[u8]) -> Option<NodeMetadata> {
        let message = MetadataMessage::decode(bytes).ok()?;
        Some(NodeMetadata {
            zone: message.zone,
            region: message.region,
            build: message.build,
            capabilities: message.capabilities,
        })
    }
}
