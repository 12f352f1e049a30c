//! What goes over the wire, as protobuf messages: a reader skips fields that it does not know and takes those that are
//! missing as 0 or empty, so that an older and a newer build understand each other. Numbers of fields are never reused.

use crate::incarnation::{Incarnation, MemberState, MemberUpdate, Name, NodeMetadata};
use crate::values::{MAX_KEY_BYTES, MAX_VALUE_BYTES, Value};
use prost::Message;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// What a frame is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum FrameKind {
    /// Rumours alone.
    Gossip = 0,
    /// Asks for an [`FrameKind::Ack`] of the same number.
    Ping = 1,
    /// Answers a ping.
    Ack = 2,
    /// Asks a helper to ping the one that it names.
    IndirectPing = 3,
    /// The helper had no answer: it is up itself, the target may not be.
    Nack = 4,
    /// Asks, as a stranger, who is there.
    Join = 5,
    /// Answers a stranger, or one that was addressed in an earlier incarnation.
    Welcome = 6,
}

/// What is said of one member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Update {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its address: 6 or 18 bytes, the port last, most significant byte first.
    #[prost(bytes = "vec", tag = "2")]
    pub address: Vec<u8>,
    /// Its incarnation's epoch.
    #[prost(uint32, tag = "3")]
    pub epoch: u32,
    /// Its incarnation's salt.
    #[prost(fixed32, tag = "4")]
    pub salt: u32,
    /// Its own refutation against suspicions.
    #[prost(uint32, tag = "5")]
    pub refutation: u32,
    /// 0 alive, 1 suspected, 2 left, 3 gone.
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// Who suspects.
    #[prost(fixed32, tag = "7")]
    pub suspected_by: u32,
}

/// A value that a member tells of itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberValue {
    /// Whose.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its incarnation's epoch.
    #[prost(uint32, tag = "2")]
    pub epoch: u32,
    /// Its incarnation's salt.
    #[prost(fixed32, tag = "3")]
    pub salt: u32,
    /// The key.
    #[prost(string, tag = "4")]
    pub key: String,
    /// Rises with each change of any of the member's values.
    #[prost(uint32, tag = "5")]
    pub version: u32,
    /// The value.
    #[prost(bytes = "vec", tag = "6")]
    pub value: Vec<u8>,
}

/// A frame between two members, within its envelope.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// What it is for.
    #[prost(enumeration = "FrameKind", tag = "1")]
    pub kind: i32,
    /// A ping's own number, given back by its ack or nack.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Whom a favour is about.
    #[prost(message, optional, tag = "3")]
    pub target: Option<Update>,
    /// Rumours of members.
    #[prost(message, repeated, tag = "4")]
    pub updates: Vec<Update>,
    /// Rumours of values.
    #[prost(message, repeated, tag = "5")]
    pub values: Vec<MemberValue>,
    /// A digest of all that the sender knows of the living.
    #[prost(fixed32, tag = "6")]
    pub digest: u32,
}

/// A step of two members' bringing each other up to date.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SyncMessage {
    /// 1 asks, 2 says what stands in the parts that differ, 3 gives and wants, 4 gives. A higher one is of a newer build and
    /// is skipped.
    #[prost(uint32, tag = "1")]
    pub step: u32,
    /// Prints of the sender's parts.
    #[prost(fixed32, repeated, tag = "2")]
    pub digests: Vec<u32>,
    /// Which parts this is about: a bit each.
    #[prost(fixed64, tag = "3")]
    pub buckets: u64,
    /// Members of those parts.
    #[prost(message, repeated, tag = "4")]
    pub updates: Vec<Update>,
    /// Their values.
    #[prost(message, repeated, tag = "5")]
    pub values: Vec<MemberValue>,
    /// Of each member of those parts the hash of its name, and its digest.
    #[prost(fixed32, repeated, tag = "6")]
    pub member_digests: Vec<u32>,
    /// Hashes of names of members that the sender lacks, or knows otherwise.
    #[prost(fixed32, repeated, tag = "7")]
    pub wanted: Vec<u32>,
}

/// What a member tells of itself at the start of a incarnation: the value under the key `about`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MetadataMessage {
    /// Its zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Its region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Its build.
    #[prost(string, tag = "3")]
    pub build: String,
    /// What it capabilities.
    #[prost(string, repeated, tag = "4")]
    pub capabilities: Vec<String>,
}

impl From<&MemberUpdate> for Update {
    fn from(claim: &MemberUpdate) -> Self {
        let mut address = match claim.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        address.extend(claim.address.port().to_be_bytes());
        Update {
            name: claim.name.as_str().to_owned(),
            address,
            epoch: claim.incarnation.epoch,
            salt: claim.incarnation.salt,
            refutation: claim.refutation,
            state: claim.state as u32,
            suspected_by: claim.suspected_by,
        }
    }
}

/// An address from its bytes; `None` if it is none that anybody could be reached at.
pub fn decode_address(bytes: &[u8]) -> Option<SocketAddr> {
    let ip: IpAddr = match bytes.len() {
        6 => Ipv4Addr::from(<[u8; 4]>::try_from(&bytes[..4]).ok()?).into(),
        18 => Ipv6Addr::from(<[u8; 16]>::try_from(&bytes[..16]).ok()?).into(),
        _ => return None,
    };
    let port = u16::from_be_bytes(bytes[bytes.len() - 2..].try_into().ok()?);
    (port != 0 && !ip.is_unspecified() && !ip.is_multicast()).then(|| SocketAddr::new(ip, port))
}

impl Update {
    /// The claim that it makes; `None` if it makes no sense, as of a state that a newer build has.
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
        (incarnation.epoch > 0 && incarnation.salt > 0).then_some(())?;
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
    /// A member's value, to be told.
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

    /// Whose value it is, of which incarnation; `None` if it is over the bounds.
    pub fn to_value(&self) -> Option<(Name, Incarnation, Value)> {
        let fits = !self.key.is_empty()
            && self.key.len() <= MAX_KEY_BYTES
            && self.value.len() <= MAX_VALUE_BYTES;
        let value = fits.then(|| Value {
            key: self.key.as_str().into(),
            version: self.version,
            bytes: self.value.as_slice().into(),
        })?;
        Some((
            Name::new(&self.name)?,
            Incarnation {
                epoch: self.epoch,
                salt: self.salt,
            },
            value,
        ))
    }
}

impl From<&NodeMetadata> for MetadataMessage {
    fn from(about: &NodeMetadata) -> Self {
        MetadataMessage {
            zone: about.zone.clone(),
            region: about.region.clone(),
            build: about.build.clone(),
            capabilities: about.capabilities.clone(),
        }
    }
}

impl MetadataMessage {
    /// Reads a value under the key `about`.
    pub fn parse(bytes: &[u8]) -> Option<NodeMetadata> {
        let words = MetadataMessage::decode(bytes).ok()?;
        let MetadataMessage {
            zone,
            region,
            build,
            capabilities,
        } = words;
        Some(NodeMetadata {
            zone,
            region,
            build,
            capabilities,
        })
    }
}
