//! The messages of a connection: a handshake, then messages under a code that no other connection, direction or position
//! has. No I/O.
//!
//! The dialer sends a nonce, the acceptor answers with its own and returns the first, and all later codes cover both: each
//! end knows that the other is present in the incarnation that it names, and a recorded connection opens no other. Wire:
//! the length (4 bytes), the code (16 bytes), the message.

use crate::envelope::Keys;
use crate::mac::{self, MAC_BYTES, Mac};
use prost::Message;
use sillward_membership::{Incarnation, Name};

/// The longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
/// The bytes of a message's length.
pub(crate) const LENGTH_BYTES: usize = 4;

/// The first message of either end.
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
    /// The sender's nonce, drawn for this connection; never 0.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    /// The other end's nonce; 0 from the dialer.
    #[prost(fixed64, tag = "6")]
    pub echoed_nonce: u64,
}

/// A valid [`Hello`].
#[derive(Clone, Debug, PartialEq)]
pub struct PeerHello {
    /// The sender.
    pub name: Name,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's nonce.
    pub nonce: u64,
    /// The receiver's nonce, returned.
    pub echoed_nonce: u64,
}

/// A message with its topic.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TopicMessage {
    /// The topic, which selects the receiver's handler.
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// The content.
    #[prost(bytes = "vec", tag = "2")]
    pub bytes: Vec<u8>,
}

/// The direction of messages on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the end that dialed.
    DialerToAcceptor = 1,
    /// From the end that accepted.
    AcceptorToDialer = 2,
}

/// One direction of a connection.
pub struct Channel {
    key: [u8; 32],
    direction: Direction,
    dialer_nonce: u64,
    acceptor_nonce: u64,
    /// Messages sealed or opened so far.
    position: u64,
}

impl Channel {
    /// A channel before the handshake, during which both nonces count as 0.
    pub fn new(keys: &Keys, direction: Direction) -> Self {
        Channel {
            key: keys.connections,
            direction,
            dialer_nonce: 0,
            acceptor_nonce: 0,
            position: 0,
        }
    }

    /// Binds later messages to the nonces of the handshake.
    pub fn bind(&mut self, dialer_nonce: u64, acceptor_nonce: u64) {
        self.dialer_nonce = dialer_nonce;
        self.acceptor_nonce = acceptor_nonce;
    }

    /// The next message as bytes on the wire.
    pub fn seal(&mut self, body: &[u8]) -> Vec<u8> {
        let mac = self.mac(body);
        self.position += 1;
        let mut bytes = Vec::with_capacity(LENGTH_BYTES + MAC_BYTES + body.len());
        bytes.extend(((MAC_BYTES + body.len()) as u32).to_be_bytes());
        bytes.extend(mac);
        bytes.extend(body);
        bytes
    }

    /// The number of bytes that follow a message's length; `None` if no message can be so long.
    pub fn frame_length(length: [u8; LENGTH_BYTES]) -> Option<usize> {
        let length = u32::from_be_bytes(length) as usize;
        (MAC_BYTES..=MAC_BYTES + MAX_MESSAGE_BYTES)
            .contains(&length)
            .then_some(length)
    }

    /// Opens the bytes that follow a message's length; `None` if they are not the next message of this connection.
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
    /// The first message of an end.
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

    /// Reads the other end's first message; `None` if it is of another fleet or invalid.
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
