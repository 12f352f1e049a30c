//! The `etcdserverpb` and `mvccpb` messages in use, written by hand so that the build needs no protoc. Field numbers
//! and types match the public proto files.

use bytes::Bytes;

/// `etcdserverpb.ResponseHeader`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResponseHeader {
    /// The cluster that sent the response.
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    /// The member that sent the response.
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    /// The revision of the key-value store when the request was applied.
    #[prost(int64, tag = "3")]
    pub revision: i64,
    /// The raft term when the request was applied.
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

/// `mvccpb.KeyValue`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyValue {
    /// The key.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// The revision at which the key was created.
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    /// The revision at which the key was last modified.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// The number of modifications since the key was created.
    #[prost(int64, tag = "4")]
    pub version: i64,
    /// The value.
    #[prost(bytes = "bytes", tag = "5")]
    pub value: Bytes,
    /// The lease that the key is attached to; 0 for none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// `mvccpb.Event.EventType`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EventType {
    /// The key was created or modified.
    Put = 0,
    /// The key was deleted or its lease expired.
    Delete = 1,
}

/// `mvccpb.Event`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Event {
    /// The [`EventType`].
    #[prost(enumeration = "EventType", tag = "1")]
    pub r#type: i32,
    /// The key and its value; for a deletion only the key and the revision.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
}

/// `etcdserverpb.RangeRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RangeRequest {
    /// The first key.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// The first key after the range.
    #[prost(bytes = "bytes", tag = "2")]
    pub range_end: Bytes,
    /// The maximum number of keys to return; 0 for no limit.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// The revision to read at; 0 for the latest.
    #[prost(int64, tag = "4")]
    pub revision: i64,
}

/// `etcdserverpb.RangeResponse`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RangeResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The keys of the range.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// Whether there are more keys in the range.
    #[prost(bool, tag = "3")]
    pub more: bool,
    /// The number of keys in the range.
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// `etcdserverpb.PutRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PutRequest {
    /// The key.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// Its value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    /// The lease that the key is attached to; 0 for none.
    #[prost(int64, tag = "3")]
    pub lease: i64,
}

/// The header that `etcdserverpb.PutResponse`, `DeleteRangeResponse` and `CompactionResponse` have in common.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeaderOnly {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// `etcdserverpb.DeleteRangeRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeleteRangeRequest {
    /// The first key.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// The first key after the range; if empty, the range is the single key `key`.
    #[prost(bytes = "bytes", tag = "2")]
    pub range_end: Bytes,
}

/// `etcdserverpb.CompactionRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CompactionRequest {
    /// The revision before which the history is discarded.
    #[prost(int64, tag = "1")]
    pub revision: i64,
}

/// `etcdserverpb.WatchCreateRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchCreateRequest {
    /// The first key.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// The first key after the range.
    #[prost(bytes = "bytes", tag = "2")]
    pub range_end: Bytes,
    /// The revision from which events are sent, inclusive.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    /// Whether the server periodically sends progress responses without events.
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    /// Whether the server may split large responses into fragments.
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// `etcdserverpb.WatchCancelRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchCancelRequest {
    /// The id of the watch to cancel.
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// `etcdserverpb.WatchProgressRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchProgressRequest {}

/// `etcdserverpb.WatchRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchRequest {
    /// The kind of request.
    #[prost(oneof = "WatchRequestUnion", tags = "1, 2, 3")]
    pub request_union: Option<WatchRequestUnion>,
}

/// The `request_union` of a `WatchRequest`.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum WatchRequestUnion {
    /// Creates a watch.
    #[prost(message, tag = "1")]
    Create(WatchCreateRequest),
    /// Cancels a watch.
    #[prost(message, tag = "2")]
    Cancel(WatchCancelRequest),
    /// Requests a progress response.
    #[prost(message, tag = "3")]
    Progress(WatchProgressRequest),
}

/// `etcdserverpb.WatchResponse`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The id of the watch.
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    /// Whether this response confirms the creation of the watch.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// Whether the watch was cancelled.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// If the watch was cancelled because its start revision is compacted, the oldest revision that a watch can start
    /// from; else 0.
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    /// The reason for the cancellation.
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    /// Whether the next response continues this one.
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    /// The events.
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// `etcdserverpb.LeaseGrantRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseGrantRequest {
    /// The requested time to live, in seconds.
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    /// The requested lease id; 0 to let etcd choose one.
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// `etcdserverpb.LeaseGrantResponse`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseGrantResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The lease id.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// The granted time to live, in seconds.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// `etcdserverpb.AuthenticateRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AuthenticateRequest {
    /// The user's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The user's password.
    #[prost(string, tag = "2")]
    pub password: String,
}

/// `etcdserverpb.AuthenticateResponse`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AuthenticateResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The token to send with every call.
    #[prost(string, tag = "2")]
    pub token: String,
}

/// Returns the end of the range of all keys that start with `prefix`: the prefix with its last byte incremented, after
/// removing trailing 0xff bytes. If no byte is left, a single zero byte, which stands for a range without an end.
pub fn range_end(prefix: &[u8]) -> Bytes {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end.into();
        }
    }
    Bytes::from_static(&[0])
}
