//! Thrift over the framed transport, in the binary and compact encodings, with multiplexed services.
//!
//! [`wire`] holds the encodings and does no I/O.
#![forbid(unsafe_code)]

mod backend;
mod calls;
mod config;
mod frontend;
pub mod method_names;
pub mod wire;

pub use backend::{BackendClient, Thrift};
pub use config::{
    BackendConfig, FrontendConfig, HttpCallMapping, Method, RejectedReply, ReplyOrder,
};
pub use frontend::{Frontend, NodeServices};

use sillward_forwarding::PayloadFormat;

/// A message in the binary encoding, named by its media type in Thrift over HTTP.
pub const BINARY: PayloadFormat = PayloadFormat("application/vnd.apache.thrift.binary");
/// A message in the compact encoding.
pub const COMPACT: PayloadFormat = PayloadFormat("application/vnd.apache.thrift.compact");
