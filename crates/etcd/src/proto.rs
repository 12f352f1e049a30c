//! The messages of `etcdserverpb` and `mvccpb` that are used, by hand from the public proto files: field numbers and
//! types are theirs. So the build needs no protoc.

use bytes::Bytes;

/// `etcdserverpb.ResponseHeader`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResponseHeader {
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    #[prost(int64, tag = "3")]
    pub revision: i64,
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

/// `mvccpb.KeyValue`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyValue {
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    #[prost(int64, tag = "4")]
    pub version: i64,
    #[prost(bytes = "bytes", tag = "5")]
    pub value: Bytes,
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// `mvccpb.Event.EventType`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EventType {
    Put = 0,
    Delete = 1,
}

/// `mvccpb.Event`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Event {
    #[prost(enumeration = "EventType", tag = "1")]
    pub r#type: i32,
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
}

/// `etcdserverpb.RangeRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RangeRequest {
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    #[prost(bytes = "bytes", tag = "2")]
    pub range_end: Bytes,
    #[prost(int64, tag = "3")]
    pub limit: i64,
    #[prost(int64, tag = "4")]
    pub revision: i64,
}

/// `etcdserverpb.RangeResponse`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RangeResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    #[prost(bool, tag = "3")]
    pub more: bool,
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// `etcdserverpb.PutRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PutRequest {
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
    #[prost(int64, tag = "3")]
    pub lease: i64,
}

/// `etcdserverpb.PutResponse`, `DeleteRangeResponse` and `CompactionResponse`, as far as they are alike.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeaderOnly {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// `etcdserverpb.DeleteRangeRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeleteRangeRequest {
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    #[prost(bytes = "bytes", tag = "2")]
    pub range_end: Bytes,
}

/// `etcdserverpb.CompactionRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CompactionRequest {
    #[prost(int64, tag = "1")]
    pub revision: i64,
}

/// `etcdserverpb.WatchCreateRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchCreateRequest {
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    #[prost(bytes = "bytes", tag = "2")]
    pub range_end: Bytes,
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// `etcdserverpb.WatchCancelRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchCancelRequest {
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// `etcdserverpb.WatchProgressRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchProgressRequest {}

/// `etcdserverpb.WatchRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchRequest {
    #[prost(oneof = "WatchWish", tags = "1, 2, 3")]
    pub wish: Option<WatchWish>,
}

/// The `request_union` of a `WatchRequest`.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum WatchWish {
    #[prost(message, tag = "1")]
    Create(WatchCreateRequest),
    #[prost(message, tag = "2")]
    Cancel(WatchCancelRequest),
    #[prost(message, tag = "3")]
    Progress(WatchProgressRequest),
}

/// `etcdserverpb.WatchResponse`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    #[prost(bool, tag = "3")]
    pub created: bool,
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// `etcdserverpb.LeaseGrantRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseGrantRequest {
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// `etcdserverpb.LeaseGrantResponse`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseGrantResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub id: i64,
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// `etcdserverpb.AuthenticateRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AuthenticateRequest {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub password: String,
}

/// `etcdserverpb.AuthenticateResponse`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AuthenticateResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(string, tag = "2")]
    pub token: String,
}

/// The end of the range of keys that begin with `prefix`: the prefix with its last byte that can be counted up, and
/// nothing behind; a zero byte, which stands for no end, if there is none.
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
