//! Messages between nodes and voters, and their wire format.

use serde::{Deserialize, Serialize};
use sillward_fleet_settings::Version;

/// A node's request for a lease.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeaseRequest {
    /// Identifies the log: a hash of its name and its voters. Messages about another log are ignored.
    #[prost(fixed64, tag = "1")]
    pub log_id: u64,
    /// Drawn at random when the node's process starts; distinguishes its requests from those of an earlier process.
    #[prost(fixed64, tag = "2")]
    pub session: u64,
    /// The number of the request, which the response repeats.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The newest version that the node knows of. The node no longer acts on older versions that conflict with it.
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
    /// The newest version to which the voter consents: it has no lease on an older one outstanding.
    #[prost(uint64, tag = "5")]
    pub consented: u64,
    /// Whether a lease is granted. If not, the response only reports the voter's state.
    #[prost(bool, tag = "6")]
    pub granted: bool,
}

/// The payload of a datagram between nodes and voters.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Datagram {
    /// A lease request.
    #[prost(message, optional, tag = "1")]
    pub request: Option<LeaseRequest>,
    /// A response to a lease request.
    #[prost(message, optional, tag = "2")]
    pub response: Option<LeaseResponse>,
    /// A request for versions.
    #[prost(message, optional, tag = "3")]
    pub fetch: Option<FetchVersions>,
    /// Versions that are short enough for a datagram: an [`Envelope`] of a [`LinkMessage`].
    #[prost(bytes = "vec", tag = "4")]
    pub versions: Vec<u8>,
}

/// A request for versions that the node knows of and lacks.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FetchVersions {
    /// See [`LeaseRequest::log_id`].
    #[prost(fixed64, tag = "1")]
    pub log_id: u64,
    /// The number of the newest version that the node has.
    #[prost(uint64, tag = "2")]
    pub after: u64,
}

/// A message over a link, for contents that are too long for a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Committed versions, in ascending order.
    Versions(Vec<Version>),
    /// A proposal for a voter to append to the log.
    Propose(Proposal),
}

/// A proposed version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The number of the version on which the proposal is based.
    pub base: u64,
    /// The proposed version. Its number is assigned when the proposal is applied.
    pub version: Version,
}

/// The incarnation of a voter: it identifies the voter's storage, a state of that storage and the process that uses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterIncarnation {
    /// Drawn at random when the storage was initialised.
    pub storage_id: u64,
    /// Increases with each incarnation on that storage.
    pub number: u64,
    /// Drawn at random when the process started.
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
        /// An incarnation of that voter that the sender has seen and that is newer or on another storage.
        newer: Option<VoterIncarnation>,
    },
}

/// The version of the encoding of [`Envelope`]s. Envelopes of other versions are ignored.
pub const WIRE_VERSION: u8 = 1;

/// A [`VoterMessage`] or a [`LinkMessage`] with the identifier of its log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope<T = VoterMessage> {
    /// See [`LeaseRequest::log_id`].
    pub log_id: u64,
    /// The message.
    pub message: T,
}

impl<T: Serialize + for<'a> Deserialize<'a>> Envelope<T> {
    /// Encodes the envelope for the wire.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![WIRE_VERSION];
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        bytes
    }

    /// Decodes an envelope; `None` if it is malformed or of another wire version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        (*version == WIRE_VERSION)
            .then(|| postcard::from_bytes(rest).ok())
            .flatten()
    }
}
