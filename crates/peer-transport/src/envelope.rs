//! A frame's envelope: the fleet's name, who sends it in which incarnation, to which incarnation, a number, and a keyed hash of it all.
//! No I/O.
//!
//! Wire: the version (1 byte), the hash (16 bytes), then the protobuf message `EnvelopeMessage`. The hash is BLAKE3's keyed one under
//! a key derived from the fleet's, cut to 16 bytes: who does not have the key guesses one in 2^128.

use prost::Message;
use sillward_membership::wire::{self, Frame};
use sillward_membership::{Incarnation, Name};
use std::net::{IpAddr, SocketAddr};

/// The version of the envelope. Another one is counted and dropped; what is added within one is skipped by who does not
/// know it.
const VERSION: u8 = 1;
const MAC: usize = 16;
/// The longest datagram that carries another part's word, in bytes, with all that is around it: what passes any way whole.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The longest name of a fleet, in bytes.
pub const MAX_FLEET_NAME_BYTES: usize = 16;

/// The fleet's key, by what it is used for.
#[derive(Clone)]
pub struct Keys {
    frames: [u8; 32],
    pub(crate) connections: [u8; 32],
}

impl Keys {
    /// Keys from the secret that the key file holds.
    pub fn derive(secret: &[u8]) -> Self {
        Keys {
            frames: blake3::derive_key("sillward 2026-12-01 fleet frames", secret),
            connections: blake3::derive_key("sillward 2026-12-01 fleet links", secret),
        }
    }
}

/// Keys are never printed.
impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Keys")
    }
}

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
    number: u64,
    #[prost(fixed32, tag = "7")]
    to: u32,
    #[prost(message, optional, tag = "8")]
    frame: Option<Frame>,
    #[prost(uint32, tag = "9")]
    topic: u32,
    #[prost(bytes = "vec", tag = "10")]
    word: Vec<u8>,
}

/// A frame with what its envelope says.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// The sender.
    pub name: Name,
    /// Where the sender says that it is reached.
    pub address: SocketAddr,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Rises from frame to frame of a incarnation.
    pub sequence: u64,
    /// The salt of the incarnation that it is for; 0 for a stranger's.
    pub to_salt: u32,
    /// The frame; nothing in it where there is a topic.
    pub frame: Frame,
    /// Another part's word, of that topic; 0 for a frame.
    pub topic: u32,
    /// See there.
    pub payload: Vec<u8>,
}

/// Why something that came is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// Shorter or longer than any frame.
    Length,
    /// Another version of the envelope.
    Version,
    /// The hash is not the one under this key: another key, a forgery, or spoilt on the way.
    Authentication,
    /// Another fleet's, under the same key.
    Fleet,
    /// No message, or one without a name, address or incarnation.
    Malformed,
    /// The number has been seen, or is too old to tell.
    Replayed,
    /// Too many of one member's.
    RateLimited,
    /// More than this node reads of all.
    Overload,
}

impl RejectReason {
    /// All there are.
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

    /// As operators read it.
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

#[cfg(not(feature = "faults"))]
fn newer(_: &mut Vec<u8>) {}

/// A newer build, as the ground plays it, has a field that this one does not know; an unreadable one another version.
#[cfg(feature = "faults")]
fn newer(bytes: &mut Vec<u8>) {
    match sillward_runtime::fault_variable("SILLWARD_FAULT_BUILD").as_deref() {
        Some("newer") => prost::encoding::string::encode(60, &"a newer build's".to_owned(), bytes),
        Some("unreadable") => bytes[0] = VERSION + 1,
        _ => {}
    }
}

/// Makes envelopes, and opens them.
pub struct EnvelopeCodec {
    keys: Keys,
    fleet: String,
    most: usize,
}

impl EnvelopeCodec {
    /// For a fleet; `most` is the most bytes of an envelope with its frame.
    pub fn new(keys: Keys, fleet: &str, most: usize) -> Self {
        EnvelopeCodec {
            keys,
            fleet: fleet.to_owned(),
            most,
        }
    }

    /// What is left for a frame of that sender's, in bytes, at the worst.
    pub fn frame_capacity(&self, name: &Name, address: SocketAddr) -> usize {
        let address = if address.is_ipv4() { 6 } else { 18 };
        let words =
            2 + self.fleet.len() + 2 + name.as_str().len() + 2 + address + 6 + 5 + 11 + 5 + 3;
        self.most.saturating_sub(1 + MAC + words)
    }

    /// The bytes of a frame in its envelope.
    pub fn seal(&self, sealed: &Envelope) -> Vec<u8> {
        let mut address = match sealed.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        address.extend(sealed.address.port().to_be_bytes());
        let message = EnvelopeMessage {
            fleet: self.fleet.clone(),
            name: sealed.name.as_str().to_owned(),
            address,
            epoch: sealed.incarnation.epoch,
            salt: sealed.incarnation.salt,
            number: sealed.sequence,
            to: sealed.to_salt,
            frame: (sealed.topic == 0).then(|| sealed.frame.clone()),
            topic: sealed.topic,
            word: sealed.payload.clone(),
        };
        let mut bytes = vec![VERSION];
        bytes.resize(1 + MAC, 0);
        message.encode_raw(&mut bytes);
        newer(&mut bytes);
        let mac = self.mac(&bytes);
        bytes[1..=MAC].copy_from_slice(&mac);
        bytes
    }

    fn mac(&self, bytes: &[u8]) -> [u8; MAC] {
        let mut hasher = blake3::Hasher::new_keyed(&self.keys.frames);
        hasher.update(&bytes[..1]).update(&bytes[1 + MAC..]);
        let hash = hasher.finalize();
        let mut mac = [0; MAC];
        mac.copy_from_slice(&hash.as_bytes()[..MAC]);
        mac
    }

    /// What stands in an envelope. Cheap checks come first; nothing that came is looked into before its hash was good.
    ///
    /// # Errors
    /// Why it is not read.
    pub fn open(&self, bytes: &[u8]) -> Result<Envelope, RejectReason> {
        if bytes.len() <= 1 + MAC || bytes.len() > self.most.max(MAX_DATAGRAM_BYTES) {
            return Err(RejectReason::Length);
        }
        if bytes[0] != VERSION {
            return Err(RejectReason::Version);
        }
        // In constant time: how long a comparison takes must not tell how much of a guess was right.
        let differs = self
            .mac(bytes)
            .iter()
            .zip(&bytes[1..=MAC])
            .fold(0, |all, (a, b)| all | (a ^ b));
        if differs != 0 {
            return Err(RejectReason::Authentication);
        }
        let message =
            EnvelopeMessage::decode(&bytes[1 + MAC..]).map_err(|_| RejectReason::Malformed)?;
        if message.topic == 0 && bytes.len() > self.most {
            return Err(RejectReason::Length);
        }
        if message.fleet != self.fleet {
            return Err(RejectReason::Fleet);
        }
        let incarnation = Incarnation {
            epoch: message.epoch,
            salt: message.salt,
        };
        let good = incarnation.epoch > 0 && incarnation.salt > 0;
        let read = || {
            Some(Envelope {
                name: Name::new(&message.name)?,
                address: wire::decode_address(&message.address)?,
                incarnation,
                sequence: message.number,
                to_salt: message.to,
                frame: if message.topic == 0 {
                    message.frame?
                } else {
                    Frame::default()
                },
                topic: message.topic,
                payload: message.word,
            })
        };
        good.then(read).flatten().ok_or(RejectReason::Malformed)
    }
}
