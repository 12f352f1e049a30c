//! The subset of gRPC over HTTP/2 that an etcd client needs: unary calls and bidirectional streams, without
//! compression.

mod connection;
mod frame;

pub use connection::{GrpcConnection, GrpcStream};
pub use frame::{FrameDecoder, encode_frame};
