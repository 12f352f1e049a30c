//! A link's words: who is at both ends, and then messages, each under a hash that no other link, direction or place in the
//! order has. No I/O.
//!
//! The dialler says who it is with a nonce, the acceptor answers with its own and gives the first back, the dialler gives the
//! second back: each end knows that the other is there now, in the incarnation that it names. What was recorded on one link opens
//! none. Wire: length (4 bytes), hash (16), message.

use crate::envelope::Keys;
use prost::Message;
use sillward_membership::{Incarnation, Name};

/// The longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
const MAC: usize = 16;

/// Who is at an end.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The fleet.
    #[prost(string, tag = "1")]
    pub fleet: String,
    /// The name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The incarnation's epoch.
    #[prost(uint32, tag = "3")]
    pub epoch: u32,
    /// The incarnation's salt.
    #[prost(fixed32, tag = "4")]
    pub salt: u32,
    /// Drawn for this link alone.
    #[prost(fixed64, tag = "5")]
    pub nonce: u64,
    /// The other end's nonce, given back.
    #[prost(fixed64, tag = "6")]
    pub echoed_nonce: u64,
}

/// A message with its topic.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TopicMessage {
    /// Whose it is.
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// What.
    #[prost(bytes = "vec", tag = "2")]
    pub bytes: Vec<u8>,
}

/// One direction of a link.
pub struct Channel {
    key: [u8; 32],
    label: u8,
    nonces: (u64, u64),
    count: u64,
}

/// Which direction a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the one who dialled.
    DialerToAcceptor = 1,
    /// From the one who was dialled.
    AcceptorToDialer = 2,
}

impl Channel {
    /// Before both nonces are known, they count as 0.
    pub fn new(keys: &Keys, direction: Direction) -> Self {
        Channel {
            key: keys.connections,
            label: direction as u8,
            nonces: (0, 0),
            count: 0,
        }
    }

    /// From now on under both nonces: the dialler's and the acceptor's.
    pub fn bind(&mut self, dialler: u64, acceptor: u64) {
        self.nonces = (dialler, acceptor);
    }

    fn mac(&self, body: &[u8]) -> [u8; MAC] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&[self.label]);
        for number in [self.nonces.0, self.nonces.1, self.count] {
            hasher.update(&number.to_be_bytes());
        }
        hasher.update(body);
        let mut mac = [0; MAC];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC]);
        mac
    }

    /// The bytes of a message on the wire.
    pub fn seal(&mut self, body: &[u8]) -> Vec<u8> {
        let mac = self.mac(body);
        self.count += 1;
        let mut bytes = Vec::with_capacity(4 + MAC + body.len());
        bytes.extend(((MAC + body.len()) as u32).to_be_bytes());
        bytes.extend(mac);
        bytes.extend(body);
        bytes
    }

    /// The length that follows the first four bytes; `None` if it is none that there may be.
    pub fn frame_length(head: [u8; 4]) -> Option<usize> {
        let length = u32::from_be_bytes(head) as usize;
        (MAC..=MAC + MAX_MESSAGE_BYTES)
            .contains(&length)
            .then_some(length)
    }

    /// The message in what came behind the length; `None` if it is not this link's, at this place.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let (mac, body) = bytes.split_at_checked(MAC)?;
        let differs = self
            .mac(body)
            .iter()
            .zip(mac)
            .fold(0, |all, (a, b)| all | (a ^ b));
        self.count += 1;
        (differs == 0).then_some(body)
    }
}

impl Hello {
    /// What an end says of itself.
    pub fn new(
        fleet: &str,
        name: &Name,
        incarnation: Incarnation,
        nonce: u64,
        echoed_nonce: u64,
    ) -> Self {
        let (fleet, name) = (fleet.to_owned(), name.as_str().to_owned());
        Hello {
            fleet,
            name,
            epoch: incarnation.epoch,
            salt: incarnation.salt,
            nonce,
            echoed_nonce,
        }
    }

    /// Reads it; `None` if it is of another fleet or makes no sense.
    pub fn parse(body: &[u8], fleet: &str) -> Option<(Name, Incarnation, Self)> {
        let hello = Hello::decode(body)
            .ok()
            .filter(|hello| hello.fleet == fleet && hello.nonce != 0)?;
        let incarnation = Incarnation {
            epoch: hello.epoch,
            salt: hello.salt,
        };
        (incarnation.epoch > 0 && incarnation.salt > 0).then_some(())?;
        Some((Name::new(&hello.name)?, incarnation, hello))
    }
}
