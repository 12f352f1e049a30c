//! The endpoint list from etcd's watch API (`KV.Range` and `Watch.Watch` of `etcdserverpb`, over gRPC): the keys under a
//! prefix, with values in discovery's entry form.
//!
//! What to do next is decided without I/O by the `session`; `source` does it, and `publisher` turns keys into the
//! events of an endpoint source.
#![forbid(unsafe_code)]

mod config;
mod error;
mod grpc;
pub mod proto;
mod publisher;
mod session;
mod source;

pub use config::{Credentials, EtcdConfig, Timeouts};
pub use error::{EtcdError, ProtocolError};
pub use grpc::{FrameDecoder, GrpcConnection, GrpcStream, encode_frame};
pub use source::EtcdSource;
