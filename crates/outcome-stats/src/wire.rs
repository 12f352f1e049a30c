//! The messages between nodes, encoded in protobuf, so that receivers skip unknown fields.

use prost::Message;
use std::collections::BTreeMap;

/// Requests the reports that arrived at the receiver since the previous request.
#[derive(Clone, PartialEq, Message)]
pub struct PullRequest {
    /// The number of the request, which the response repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The receiver's arrival number up to which the sender has received its reports; 0 at first.
    #[prost(uint64, tag = "2")]
    pub since: u64,
    /// The salt of the receiver's incarnation to which `since` and `groups_since` belong.
    #[prost(fixed32, tag = "3")]
    pub salt: u32,
    /// Reports that the sender has, as [`report_mark`]s.
    #[prost(fixed32, repeated, tag = "4")]
    pub known: Vec<u32>,
    /// The maximum size of the response, in bytes.
    #[prost(uint32, tag = "5")]
    pub max_bytes: u32,
    /// Like `since`, for group reports.
    #[prost(uint64, tag = "6")]
    pub groups_since: u64,
    /// Whether only the receiver's own report is requested.
    #[prost(bool, tag = "7")]
    pub own_only: bool,
}

/// The response to a [`PullRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct PullResponse {
    /// The number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The sender's arrival number up to which this response covers reports.
    #[prost(uint64, tag = "2")]
    pub until: u64,
    /// The salt of the sender's incarnation.
    #[prost(fixed32, tag = "3")]
    pub salt: u32,
    /// The reports.
    #[prost(message, repeated, tag = "4")]
    pub reports: Vec<ReportMessage>,
    /// Like `until`, for group reports.
    #[prost(uint64, tag = "5")]
    pub groups_until: u64,
    /// Whether reports were omitted for lack of space.
    #[prost(bool, tag = "6")]
    pub truncated: bool,
    /// The value from the request.
    #[prost(bool, tag = "7")]
    pub own_only: bool,
}

/// The report of a node or a group, which other nodes may forward. The group fields are 0 in a node's own report.
#[derive(Clone, PartialEq, Message)]
pub struct ReportMessage {
    /// The name of the node, or of the aggregator of a group report.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The epoch of the node's incarnation.
    #[prost(uint32, tag = "2")]
    pub epoch: u32,
    /// The salt of the node's incarnation.
    #[prost(fixed32, tag = "3")]
    pub salt: u32,
    /// The number of windows closed in that incarnation.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// The maximum age of the end of the last window when the message was sent.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
    /// The total length of the windows.
    #[prost(uint32, tag = "6")]
    pub span_ms: u32,
    /// The counts, see [`encode_counts`](crate::codec::encode_counts).
    #[prost(bytes = "vec", tag = "7")]
    pub counts: Vec<u8>,
    /// The number of groups.
    #[prost(uint32, tag = "8")]
    pub groups: u32,
    /// The number of the group, from 1.
    #[prost(uint32, tag = "9")]
    pub group: u32,
    /// The number of nodes in the group.
    #[prost(uint32, tag = "10")]
    pub group_size: u32,
    /// The weighted number of nodes whose reports it contains, in thousandths.
    #[prost(uint32, tag = "11")]
    pub represented_permille: u32,
    /// The largest node's share of the calls, in thousandths.
    #[prost(uint32, tag = "12")]
    pub largest_share_permille: u32,
}

/// A message between nodes.
#[derive(Clone, PartialEq, Message)]
pub struct StatsMessage {
    /// A request.
    #[prost(message, optional, tag = "1")]
    pub request: Option<PullRequest>,
    /// A response.
    #[prost(message, optional, tag = "2")]
    pub response: Option<PullResponse>,
}

/// Identifies a report and its version in 4 bytes: 24 bits of a hash of its origin, and the low 8 bits of the version.
/// `group` is 0 for a node's own report.
pub fn report_mark(name: &str, salt: u32, group: u32, version: u64) -> u32 {
    let seed = u64::from(salt) << 32 | u64::from(group);
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), seed);
    (hash as u32) << 8 | (version & 0xff) as u32
}

/// The versions of known reports, by the hashes of their [`report_mark`]s.
pub(crate) struct KnownReports(BTreeMap<u32, u8>);

impl KnownReports {
    pub(crate) fn from_marks(marks: impl Iterator<Item = u32>) -> Self {
        KnownReports(marks.map(|mark| (mark >> 8, mark as u8)).collect())
    }

    /// Whether that report is known in that version or a later one.
    pub(crate) fn contains(&self, mark: u32) -> bool {
        self.0
            .get(&(mark >> 8))
            .is_some_and(|version| version.wrapping_sub(mark as u8) < 0x80)
    }
}
