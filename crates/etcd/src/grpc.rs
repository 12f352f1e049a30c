//! gRPC over HTTP/2, as much as a client of etcd needs: unary calls and streams in both directions, uncompressed.

mod connection;
mod frame;

pub use connection::{GrpcConnection, GrpcStream};
pub use frame::{FrameDecoder, encode_frame};
