//! An endpoint source that reads the keys under a prefix from etcd and watches them (`KV.Range` and `Watch.Watch` of
//! `etcdserverpb`, over gRPC). The values have the format of the entries in discovery's list.
//!
//! `session` decides without I/O what to do next, `source` does it, and `publisher` converts keys and values to the
//! events of an endpoint source.
#![forbid(unsafe_code)]

mod config;
mod error;
mod grpc;
mod listed_backends;
pub mod proto;
mod publisher;
mod session;
mod source;

pub use config::{Credentials, EtcdConfig, Timeouts};
pub use error::{EtcdError, ProtocolError};
pub use grpc::{FrameDecoder, GrpcConnection, GrpcStream, encode_frame};
pub use source::EtcdSource;
