//! What is said between nodes and voters, as it goes over the wire.

use serde::{Deserialize, Serialize};
use sillward_fleet_settings::Version;

/// A node asks for the right to act.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ask {
    /// Which log: the hash of its name and its voters. What is of another is not read.
    #[prost(fixed64, tag = "1")]
    pub log: u64,
    /// Drawn at the node's start: another run has given up nothing that an earlier one has confirmed.
    #[prost(fixed64, tag = "2")]
    pub session: u64,
    /// The asking's own; the answer says it.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The newest version that the node knows of: from now on it acts on nothing that this one contradicts.
    #[prost(uint64, tag = "4")]
    pub knows: u64,
}

/// A voter answers.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Answer {
    /// See [`Ask::log`].
    #[prost(fixed64, tag = "1")]
    pub log: u64,
    /// See [`Ask::session`].
    #[prost(fixed64, tag = "2")]
    pub session: u64,
    /// Of which asking.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The newest version that the voter knows to be confirmed.
    #[prost(uint64, tag = "4")]
    pub newest: u64,
    /// The newest version below which the voter has no right out.
    #[prost(uint64, tag = "5")]
    pub consent: u64,
    /// Whether this is a right, or news alone.
    #[prost(bool, tag = "6")]
    pub right: bool,
}

/// Either of them, in a datagram.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Word {
    /// See there.
    #[prost(message, optional, tag = "1")]
    pub ask: Option<Ask>,
    /// See there.
    #[prost(message, optional, tag = "2")]
    pub answer: Option<Answer>,
    /// Versions after this one are wanted: by whoever knows of some and has them not.
    #[prost(message, optional, tag = "3")]
    pub fetch: Option<Fetch>,
    /// Versions that are short enough for a datagram: the bytes of a [`Long`].
    #[prost(bytes = "vec", tag = "4")]
    pub versions: Vec<u8>,
}

/// Asks for versions.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Fetch {
    /// See [`Ask::log`].
    #[prost(fixed64, tag = "1")]
    pub log: u64,
    /// Those after that one.
    #[prost(uint64, tag = "2")]
    pub after: u64,
}

/// What is too long for a datagram, over a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Long {
    /// Versions, in their order.
    Versions(Vec<Version>),
    /// A change, to a voter.
    Propose(Proposal),
}

/// A change that somebody wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// On which version it was made.
    pub base: u64,
    /// What it is; its number is given by the log.
    pub version: Version,
}

/// What a voter says of its folder's state to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Drawn when the folder was founded.
    pub stamp: u64,
    /// One more each time that one is taken.
    pub number: u64,
    /// Drawn at the process's start.
    pub run: u64,
}

/// Between two voters, over a link. Versioned by its first byte, see [`VERSION`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Between {
    /// The engine's.
    Engine(Vec<u8>),
    /// A voter's folder has this ticket now.
    Ticket(Ticket),
    /// It is newer than all that the sender has seen of that voter, or else which it has seen.
    Seen {
        /// What it was asked of.
        of: Ticket,
        /// None if that is good.
        better: Option<Ticket>,
    },
}

/// Of what goes between voters. Another build's other version is not read, and told of.
pub const VERSION: u8 = 1;

/// A [`Between`] or a [`Long`] as it goes over a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sealed<T = Between> {
    /// See [`Ask::log`].
    pub log: u64,
    /// What.
    pub word: T,
}

impl<T: Serialize + for<'a> Deserialize<'a>> Sealed<T> {
    /// Its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        bytes
    }

    /// Reads them.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        (*version == VERSION)
            .then(|| postcard::from_bytes(rest).ok())
            .flatten()
    }
}
