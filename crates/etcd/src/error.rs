//! Why a call to etcd or a watch failed.

use http::StatusCode;
use std::io;
use thiserror::Error;

/// The gRPC status codes that are used.
pub(crate) mod code {
    pub(crate) const DEADLINE_EXCEEDED: u32 = 4;
    /// etcd's code for a revision that is compacted, or in the future.
    pub(crate) const OUT_OF_RANGE: u32 = 11;
    pub(crate) const INTERNAL: u32 = 13;
    pub(crate) const UNAVAILABLE: u32 = 14;
}

/// Why a call or a stream failed.
#[derive(Debug, Error)]
pub enum EtcdError {
    /// The connection could not be opened.
    #[error(transparent)]
    Connect(io::Error),
    /// The connection or the stream broke.
    #[error(transparent)]
    Http2(#[from] h2::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// The response's status is not 200.
    #[error("{0}")]
    HttpStatus(StatusCode),
    /// The server ended a stream, with success.
    #[error("the stream ended")]
    StreamEnded,
    /// A message is compressed, which was not offered.
    #[error("a compressed message")]
    CompressedMessage,
    /// A message is larger than 8 MiB.
    #[error("a message of more than 8 MiB")]
    MessageTooLarge,
    /// A message can't be decoded.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
    /// A call succeeded without a message.
    #[error("no message")]
    MissingMessage,
    /// A call ended without a gRPC status.
    #[error("no status")]
    MissingStatus,
    /// The server reports that a call failed.
    #[error("{message}")]
    Status {
        /// The gRPC status code.
        code: u32,
        /// The server's message.
        message: String,
    },
    /// Nothing came in time.
    #[error("silent")]
    Timeout,
    /// The server's messages make no sense together.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
}

impl EtcdError {
    /// The gRPC status code: the server's, or the one that fits the failure.
    pub fn code(&self) -> u32 {
        match self {
            EtcdError::Status { code, .. } => *code,
            EtcdError::Timeout => code::DEADLINE_EXCEEDED,
            EtcdError::Connect(_)
            | EtcdError::Http2(_)
            | EtcdError::Request(_)
            | EtcdError::HttpStatus(_)
            | EtcdError::StreamEnded => code::UNAVAILABLE,
            EtcdError::CompressedMessage
            | EtcdError::MessageTooLarge
            | EtcdError::Decode(_)
            | EtcdError::MissingMessage
            | EtcdError::MissingStatus
            | EtcdError::Protocol(_) => code::INTERNAL,
        }
    }
}

/// What of the server's messages ends a session.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ProtocolError {
    /// A page of the list has no header.
    #[error("a list without a header")]
    PageWithoutHeader,
    /// A response of the watch has no header.
    #[error("a watch without a header")]
    WatchWithoutHeader,
    /// The server cancelled the watch without a reason.
    #[error("the watch was cancelled")]
    WatchCancelled,
    /// The server cancelled the watch for this reason.
    #[error("the watch was cancelled: {0}")]
    WatchCancelledBecause(String),
}
