//! The envelope of a datagram: the fleet's name, the sender with its incarnation, the receiver's incarnation, a sequence
//! number, and a message authentication code (MAC) over all of it. Does no I/O.
//!
//! Wire format: version (1 byte), MAC (16 bytes), then the protobuf message `EnvelopeMessage`. The MAC is BLAKE3's keyed
//! hash under a key derived from the fleet's secret, truncated to 16 bytes.

use crate::mac::{self, MAC_BYTES, Mac};
use prost::Message;
use sillward_membership::wire::{Frame, decode_address, encode_address};
use sillward_membership::{Incarnation, Name};
use std::net::SocketAddr;

/// Version of the envelope. Datagrams of another version are rejected; fields added within a version are skipped by builds
/// that do not know them.
const VERSION: u8 = 1;
/// Size of the version and the MAC.
const HEADER_BYTES: usize = 1 + MAC_BYTES;
/// Maximum size of a datagram with a payload, in bytes including the envelope; small enough to avoid fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Maximum length of a fleet name, in bytes.
pub const MAX_FLEET_NAME_BYTES: usize = 16;

/// Keys of the fleet, one per use.
#[derive(Clone)]
pub struct Keys {
    datagrams: [u8; 32],
    pub(crate) connections: [u8; 32],
}

impl Keys {
    /// Derives the keys from the secret in the key file.
    pub fn derive(secret: &[u8]) -> Self {
        Keys {
            datagrams: blake3::derive_key("sillward 2026-12-01 fleet frames", secret),
            connections: blake3::derive_key("sillward 2026-12-01 fleet links", secret),
        }
    }
}

/// Never shows the key bytes.
impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Keys")
    }
}

/// The authenticated part of a datagram.
#[derive(Clone, PartialEq, prost::Message)]
struct EnvelopeMessage {
    #[prost(string, tag = "1")]
    fleet: String,
    #[prost(string, tag = "2")]
    name: String,
    #[prost(bytes = "vec", tag = "3")]
    address: Vec<u8>,
    #[prost(uint32, tag = "4")]
    epoch: u32,
    #[prost(fixed32, tag = "5")]
    salt: u32,
    #[prost(uint64, tag = "6")]
    sequence: u64,
    #[prost(fixed32, tag = "7")]
    to_salt: u32,
    #[prost(message, optional, tag = "8")]
    frame: Option<Frame>,
    #[prost(uint32, tag = "9")]
    topic: u32,
    #[prost(bytes = "vec", tag = "10")]
    payload: Vec<u8>,
}

/// The content of a datagram: a membership frame, or a payload of another part of the node.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// The sender.
    pub name: Name,
    /// The sender's advertised address.
    pub address: SocketAddr,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number; increases with each datagram of an incarnation.
    pub sequence: u64,
    /// The salt of the receiver's incarnation; 0 if the sender does not know it.
    pub to_salt: u32,
    /// The membership frame; empty if the topic is not 0.
    pub frame: Frame,
    /// The topic of the payload; 0 for a frame.
    pub topic: u32,
    /// The payload; empty for a frame.
    pub payload: Vec<u8>,
}

/// Reason why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// Shorter or longer than any valid datagram.
    Length,
    /// The envelope has another version.
    Version,
    /// The MAC does not match: another key, a forgery, or corruption in transit.
    Authentication,
    /// Sent by another fleet that uses the same key.
    Fleet,
    /// Not a valid protobuf message, or without a valid name, address, incarnation or frame.
    Malformed,
    /// The sequence number was already seen, or is older than the replay window.
    Replayed,
    /// The sender exceeds the rate limit of a member.
    RateLimited,
    /// All senders together exceed the total rate limit of this node.
    Overload,
}

impl RejectReason {
    /// All reasons.
    pub const ALL: [RejectReason; 8] = [
        RejectReason::Length,
        RejectReason::Version,
        RejectReason::Authentication,
        RejectReason::Fleet,
        RejectReason::Malformed,
        RejectReason::Replayed,
        RejectReason::RateLimited,
        RejectReason::Overload,
    ];

    /// The name of the reason on admin pages.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectReason::Length => "length",
            RejectReason::Version => "version",
            RejectReason::Authentication => "key",
            RejectReason::Fleet => "fleet",
            RejectReason::Malformed => "nonsense",
            RejectReason::Replayed => "replayed",
            RejectReason::RateLimited => "rate",
            RejectReason::Overload => "flood",
        }
    }
}

/// Number of a field that no build knows, for tests.
#[cfg(feature = "faults")]
const UNKNOWN_FIELD: u32 = 60;

#[cfg(not(feature = "faults"))]
fn simulate_other_build(_: &mut Vec<u8>) {}

/// Simulates a newer build that adds an unknown field, or an incompatible build with another envelope version.
#[cfg(feature = "faults")]
fn simulate_other_build(bytes: &mut Vec<u8>) {
    match sillward_runtime::fault_variable("SILLWARD_FAULT_BUILD").as_deref() {
        Some("newer") => {
            prost::encoding::string::encode(UNKNOWN_FIELD, &"a newer build's".to_owned(), bytes);
        }
        Some("unreadable") => bytes[0] = VERSION + 1,
        _ => {}
    }
}

/// Encodes and authenticates the envelopes of a fleet.
pub struct EnvelopeCodec {
    keys: Keys,
    fleet: String,
    max_frame_bytes: usize,
}

impl EnvelopeCodec {
    /// Creates the codec of a fleet; `max_frame_bytes` is the maximum size of an envelope with a frame, in bytes.
    pub fn new(keys: Keys, fleet: &str, max_frame_bytes: usize) -> Self {
        EnvelopeCodec {
            keys,
            fleet: fleet.to_owned(),
            max_frame_bytes,
        }
    }

    /// Returns the space for a frame, in bytes, after the largest envelope header of a sender.
    pub fn frame_capacity(&self, name: &Name, address: SocketAddr) -> usize {
        let address_bytes = if address.is_ipv4() { 6 } else { 18 };
        // Each of these fields takes one byte for its tag and one for its length.
        let length_delimited = 2 + self.fleet.len() + 2 + name.as_str().len() + 2 + address_bytes;
        let (epoch, salt, sequence, to_salt, frame_header) = (6, 5, 11, 5, 3);
        let fields = length_delimited + epoch + salt + sequence + to_salt + frame_header;
        self.max_frame_bytes.saturating_sub(HEADER_BYTES + fields)
    }

    /// Encodes an envelope as an authenticated datagram.
    pub fn seal(&self, envelope: &Envelope) -> Vec<u8> {
        let message = EnvelopeMessage {
            fleet: self.fleet.clone(),
            name: envelope.name.as_str().to_owned(),
            address: encode_address(envelope.address),
            epoch: envelope.incarnation.epoch,
            salt: envelope.incarnation.salt,
            sequence: envelope.sequence,
            to_salt: envelope.to_salt,
            frame: (envelope.topic == 0).then(|| envelope.frame.clone()),
            topic: envelope.topic,
            payload: envelope.payload.clone(),
        };
        let mut bytes = vec![VERSION];
        bytes.resize(HEADER_BYTES, 0);
        message.encode_raw(&mut bytes);
        simulate_other_build(&mut bytes);
        let mac = self.mac(&bytes);
        bytes[1..HEADER_BYTES].copy_from_slice(&mac);
        bytes
    }

    /// Verifies and decodes a datagram. Cheap checks come first, and nothing is parsed before the MAC is verified.
    ///
    /// # Errors
    /// The reason for the rejection.
    pub fn open(&self, bytes: &[u8]) -> Result<Envelope, RejectReason> {
        self.authenticate(bytes)?;
        let message =
            EnvelopeMessage::decode(&bytes[HEADER_BYTES..]).map_err(|_| RejectReason::Malformed)?;
        if message.topic == 0 && bytes.len() > self.max_frame_bytes {
            return Err(RejectReason::Length);
        }
        if message.fleet != self.fleet {
            return Err(RejectReason::Fleet);
        }
        message.into_envelope().ok_or(RejectReason::Malformed)
    }

    /// Checks the length, the version and the MAC.
    fn authenticate(&self, bytes: &[u8]) -> Result<(), RejectReason> {
        let longest = self.max_frame_bytes.max(MAX_DATAGRAM_BYTES);
        if bytes.len() <= HEADER_BYTES || bytes.len() > longest {
            return Err(RejectReason::Length);
        }
        if bytes[0] != VERSION {
            return Err(RejectReason::Version);
        }
        if !mac::is_equal(&self.mac(bytes), &bytes[1..HEADER_BYTES]) {
            return Err(RejectReason::Authentication);
        }
        Ok(())
    }

    fn mac(&self, bytes: &[u8]) -> Mac {
        let mut hasher = blake3::Hasher::new_keyed(&self.keys.datagrams);
        hasher.update(&bytes[..1]).update(&bytes[HEADER_BYTES..]);
        mac::finalize(&hasher)
    }
}

impl EnvelopeMessage {
    /// Validates the decoded message; `None` if it is invalid.
    fn into_envelope(self) -> Option<Envelope> {
        let incarnation = Incarnation {
            epoch: self.epoch,
            salt: self.salt,
        };
        if !incarnation.is_valid() {
            return None;
        }
        let frame = if self.topic == 0 {
            self.frame?
        } else {
            Frame::default()
        };
        Some(Envelope {
            name: Name::new(&self.name)?,
            address: decode_address(&self.address)?,
            incarnation,
            sequence: self.sequence,
            to_salt: self.to_salt,
            frame,
            topic: self.topic,
            payload: self.payload,
        })
    }
}
