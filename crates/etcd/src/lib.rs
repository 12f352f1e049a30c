//! Membership from etcd's watch API (`KV.Range` and `Watch.Watch` of `etcdserverpb`, over gRPC): keys under a prefix,
//! values in discovery's entry form. What to do next is decided without I/O ([`Session`]).
#![forbid(unsafe_code)]

mod grpc;
pub mod proto;
mod session;
mod source;

pub use grpc::{Frames, Grpc, Status, Stream, framed};
pub use session::{Session, Times, Wish};
pub use source::{Etcd, Terms};
