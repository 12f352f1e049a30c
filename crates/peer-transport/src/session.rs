//! Message authentication of a connection: a handshake, then messages whose MAC is bound to the connection, the direction
//! and the position in the stream. Does no I/O.
//!
//! The dialer sends a nonce; the acceptor echoes it and sends its own. All later MACs cover both nonces, which proves to each
//! end that the other is live in the incarnation it claims, and prevents the replay of a recorded connection. Wire format:
//! length (4 bytes), MAC (16 bytes), message.

use crate::envelope::Keys;
use crate::mac::{self, MAC_BYTES, Mac};
use prost::Message;
use sillward_membership::{Incarnation, Name};

/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
/// Size of the length prefix, in bytes.
pub(crate) const LENGTH_BYTES: usize = 4;

/// Handshake message, the first message that each end sends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The fleet's name.
    #[prost(string, tag = "1")]
    pub fleet: String,
    /// The sender's name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The epoch of the sender's incarnation.
    #[prost(uint32, tag = "3")]
    pub epoch: u32,
    /// The salt of the sender's incarnation.
    #[prost(fixed32, tag = "4")]
    pub salt: u32,
    /// The sender's nonce, random for each connection; never 0.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    /// The receiver's nonce, echoed; 0 in the dialer's message.
    #[prost(fixed64, tag = "6")]
    pub echoed_nonce: u64,
}

/// A validated [`Hello`].
#[derive(Clone, Debug, PartialEq)]
pub struct PeerHello {
    /// The sender.
    pub name: Name,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's nonce.
    pub nonce: u64,
    /// The receiver's nonce, echoed by the sender.
    pub echoed_nonce: u64,
}

/// A message with its topic.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TopicMessage {
    /// Topic, which selects the handler at the receiver.
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// Message content.
    #[prost(bytes = "vec", tag = "2")]
    pub bytes: Vec<u8>,
}

/// The direction of messages on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the end that dialed the connection.
    DialerToAcceptor = 1,
    /// From the end that accepted the connection.
    AcceptorToDialer = 2,
}

/// Seals or opens the messages of one direction of a connection.
pub struct Channel {
    key: [u8; 32],
    direction: Direction,
    dialer_nonce: u64,
    acceptor_nonce: u64,
    /// Number of messages sealed or opened so far.
    position: u64,
}

impl Channel {
    /// Creates a channel for the handshake, during which the MAC uses 0 for both nonces.
    pub fn new(keys: &Keys, direction: Direction) -> Self {
        Channel {
            key: keys.connections,
            direction,
            dialer_nonce: 0,
            acceptor_nonce: 0,
            position: 0,
        }
    }

    /// Binds all later messages to the nonces of the handshake.
    pub fn bind(&mut self, dialer_nonce: u64, acceptor_nonce: u64) {
        self.dialer_nonce = dialer_nonce;
        self.acceptor_nonce = acceptor_nonce;
    }

    /// Encodes the next message with its length and MAC.
    pub fn seal(&mut self, body: &[u8]) -> Vec<u8> {
        let mac = self.mac(body);
        self.position += 1;
        let mut bytes = Vec::with_capacity(LENGTH_BYTES + MAC_BYTES + body.len());
        bytes.extend(((MAC_BYTES + body.len()) as u32).to_be_bytes());
        bytes.extend(mac);
        bytes.extend(body);
        bytes
    }

    /// Decodes a length prefix into the number of bytes that follow it; `None` if it is out of range.
    pub fn frame_length(length: [u8; LENGTH_BYTES]) -> Option<usize> {
        let length = u32::from_be_bytes(length) as usize;
        (MAC_BYTES..=MAC_BYTES + MAX_MESSAGE_BYTES)
            .contains(&length)
            .then_some(length)
    }

    /// Verifies the bytes that follow a length prefix and returns the message; `None` if they are not the next message of this
    /// connection.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let (mac, body) = bytes.split_at_checked(MAC_BYTES)?;
        let expected = self.mac(body);
        self.position += 1;
        mac::is_equal(&expected, mac).then_some(body)
    }

    fn mac(&self, body: &[u8]) -> Mac {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&[self.direction as u8]);
        for number in [self.dialer_nonce, self.acceptor_nonce, self.position] {
            hasher.update(&number.to_be_bytes());
        }
        hasher.update(body);
        mac::finalize(&hasher)
    }
}

impl Hello {
    /// Creates the handshake message.
    pub fn new(
        fleet: &str,
        name: &Name,
        incarnation: Incarnation,
        nonce: u64,
        echoed_nonce: u64,
    ) -> Self {
        Hello {
            fleet: fleet.to_owned(),
            name: name.as_str().to_owned(),
            epoch: incarnation.epoch,
            salt: incarnation.salt,
            nonce,
            echoed_nonce,
        }
    }

    /// Decodes and validates the remote end's handshake message; `None` if it is invalid or belongs to another fleet.
    pub fn parse(body: &[u8], fleet: &str) -> Option<PeerHello> {
        let hello = Hello::decode(body).ok()?;
        let incarnation = Incarnation {
            epoch: hello.epoch,
            salt: hello.salt,
        };
        if hello.fleet != fleet || hello.nonce == 0 || !incarnation.is_valid() {
            return None;
        }
        Some(PeerHello {
            name: Name::new(&hello.name)?,
            incarnation,
            nonce: hello.nonce,
            echoed_nonce: hello.echoed_nonce,
        })
    }
}
