//! Messages between nodes and voters, in their wire form.

use serde::{Deserialize, Serialize};
use sillward_fleet_settings::Version;

/// A node requests a lease.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseRequest {
    /// The log: a hash of its name and its voters. Messages of another log are ignored.
    #[prost(fixed64, tag = "1")]
    pub log_id: u64,
    /// Drawn at the start of the node's process, so that requests of different processes are distinguished.
    #[prost(fixed64, tag = "2")]
    pub session: u64,
    /// The number of the request, which the response repeats.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The newest version that the node knows of: it acts on nothing older that conflicts with it any more.
    #[prost(uint64, tag = "4")]
    pub known_version: u64,
}

/// A voter's response to a [`LeaseRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseResponse {
    /// See [`LeaseRequest::log_id`].
    #[prost(fixed64, tag = "1")]
    pub log_id: u64,
    /// See [`LeaseRequest::session`].
    #[prost(fixed64, tag = "2")]
    pub session: u64,
    /// The number of the request.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The newest version that the voter knows to be committed.
    #[prost(uint64, tag = "4")]
    pub newest: u64,
    /// The newest version below which the voter has no lease outstanding.
    #[prost(uint64, tag = "5")]
    pub consented: u64,
    /// Whether a lease is granted; otherwise the response is only a notification.
    #[prost(bool, tag = "6")]
    pub granted: bool,
}

/// What fits into a datagram between nodes and voters.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Datagram {
    /// A lease request.
    #[prost(message, optional, tag = "1")]
    pub request: Option<LeaseRequest>,
    /// A response to one.
    #[prost(message, optional, tag = "2")]
    pub response: Option<LeaseResponse>,
    /// A request for versions.
    #[prost(message, optional, tag = "3")]
    pub fetch: Option<FetchVersions>,
    /// Versions that are short enough for a datagram: an [`Envelope`] of a [`LinkMessage`].
    #[prost(bytes = "vec", tag = "4")]
    pub versions: Vec<u8>,
}

/// A node that knows of newer versions than it has requests them.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FetchVersions {
    /// See [`LeaseRequest::log_id`].
    #[prost(fixed64, tag = "1")]
    pub log_id: u64,
    /// The number of the newest version that the node has.
    #[prost(uint64, tag = "2")]
    pub after: u64,
}

/// What is too long for a datagram and goes over a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Committed versions, in order.
    Versions(Vec<Version>),
    /// A proposal, to a voter.
    Propose(Proposal),
}

/// A proposed version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The number of the version that it changes.
    pub base: u64,
    /// The proposed version; the log gives its number.
    pub version: Version,
}

/// The incarnation of a voter: a process on a state of the voter's storage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterIncarnation {
    /// Drawn when the storage was initialised.
    pub storage_id: u64,
    /// Increases with each incarnation on that storage.
    pub number: u64,
    /// Drawn at the start of the process.
    pub process_id: u64,
}

/// A message between two voters, over a link. Its encoding starts with [`WIRE_VERSION`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum VoterMessage {
    /// A message of the consensus engine.
    Engine(Vec<u8>),
    /// The sender's incarnation.
    Incarnation(VoterIncarnation),
    /// The response to [`VoterMessage::Incarnation`].
    IncarnationSeen {
        /// The incarnation that was announced.
        incarnation: VoterIncarnation,
        /// A newer or other incarnation of that voter that the sender has seen; `None` if there is none.
        newer: Option<VoterIncarnation>,
    },
}

/// The version of the encoding of [`Envelope`]s. Those of another version are ignored.
pub const WIRE_VERSION: u8 = 1;

/// A [`VoterMessage`] or a [`LinkMessage`] as it goes over a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope<T = VoterMessage> {
    /// See [`LeaseRequest::log_id`].
    pub log_id: u64,
    /// The message.
    pub message: T,
}

impl<T: Serialize + for<'a> Deserialize<'a>> Envelope<T> {
    /// The wire form.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![WIRE_VERSION];
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        bytes
    }

    /// Reads the wire form; `None` if it is malformed or of another version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        (*version == WIRE_VERSION)
            .then(|| postcard::from_bytes(rest).ok())
            .flatten()
    }
}
