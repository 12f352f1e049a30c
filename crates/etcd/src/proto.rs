//! The messages of `etcdserverpb` and `mvccpb` that are used, written by hand so that the build needs no protoc. Field
//! numbers and types are those of the public proto files.

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
    /// The revision of its creation.
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    /// The revision of its last change.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// How often it has changed since its creation.
    #[prost(int64, tag = "4")]
    pub version: i64,
    /// The value.
    #[prost(bytes = "bytes", tag = "5")]
    pub value: Bytes,
    /// The lease that it is attached to; 0 for none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// `mvccpb.Event.EventType`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EventType {
    /// The key has a new value.
    Put = 0,
    /// The key was deleted, or its lease expired.
    Delete = 1,
}

/// `mvccpb.Event`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Event {
    /// An [`EventType`].
    #[prost(enumeration = "EventType", tag = "1")]
    pub r#type: i32,
    /// The key with its value; for a deletion the key and its revision.
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
    /// The most keys that are returned; 0 for all.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// The revision to read at; 0 for the newest.
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
    /// How many keys the range has.
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
    /// The lease that it is attached to; 0 for none.
    #[prost(int64, tag = "3")]
    pub lease: i64,
}

/// `etcdserverpb.PutResponse`, `DeleteRangeResponse` and `CompactionResponse`, as far as they are alike.
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
    /// The first key after the range; empty for the one key.
    #[prost(bytes = "bytes", tag = "2")]
    pub range_end: Bytes,
}

/// `etcdserverpb.CompactionRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CompactionRequest {
    /// The revision before which history is dropped.
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
    /// The first revision whose events are sent.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    /// Whether responses without events are sent now and then.
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    /// Whether large responses may be split.
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// `etcdserverpb.WatchCancelRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchCancelRequest {
    /// The watch.
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// `etcdserverpb.WatchProgressRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchProgressRequest {}

/// `etcdserverpb.WatchRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchRequest {
    /// What is requested.
    #[prost(oneof = "WatchRequestUnion", tags = "1, 2, 3")]
    pub request_union: Option<WatchRequestUnion>,
}

/// The `request_union` of a `WatchRequest`.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum WatchRequestUnion {
    /// A new watch.
    #[prost(message, tag = "1")]
    Create(WatchCreateRequest),
    /// The end of a watch.
    #[prost(message, tag = "2")]
    Cancel(WatchCancelRequest),
    /// A response that shows how far the watch has come.
    #[prost(message, tag = "3")]
    Progress(WatchProgressRequest),
}

/// `etcdserverpb.WatchResponse`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The watch.
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    /// Whether the watch was created by this response.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// Whether the watch was cancelled.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// The oldest revision that a watch may start from, where this one was compacted; else 0.
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    /// Why the watch was cancelled.
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
    /// Seconds.
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    /// The wanted id; 0 for any.
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// `etcdserverpb.LeaseGrantResponse`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseGrantResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The id.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Seconds.
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
    /// To be sent with every call.
    #[prost(string, tag = "2")]
    pub token: String,
}

/// The end of the range of keys that begin with `prefix`: the prefix with its last byte that can be incremented, and
/// nothing after it; a zero byte, which means no end, if there is none.
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
