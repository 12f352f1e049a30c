//! Errors of etcd calls and watches.

use http::StatusCode;
use std::io;
use thiserror::Error;

/// The gRPC status codes in use.
pub(crate) mod code {
    pub(crate) const DEADLINE_EXCEEDED: u32 = 4;
    /// etcd returns this for a revision that is compacted or in the future.
    pub(crate) const OUT_OF_RANGE: u32 = 11;
    pub(crate) const INTERNAL: u32 = 13;
    pub(crate) const UNAVAILABLE: u32 = 14;
}

/// An error of a call or a stream.
#[derive(Debug, Error)]
pub enum EtcdError {
    /// The connection could not be opened.
    #[error(transparent)]
    Connect(io::Error),
    /// The connection or the stream failed.
    #[error(transparent)]
    Http2(#[from] h2::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// The HTTP status of the response is not 200.
    #[error("HTTP status {0}")]
    HttpStatus(StatusCode),
    /// The server closed a stream with a success status.
    #[error("the server closed the stream")]
    StreamEnded,
    /// The server sent a compressed message, though the client accepts none.
    #[error("the server sent a compressed message")]
    CompressedMessage,
    /// A message is larger than 8 MiB.
    #[error("a message is larger than 8 MiB")]
    MessageTooLarge,
    /// A message can't be decoded.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
    /// A unary call succeeded without a response message.
    #[error("the response has no message")]
    MissingMessage,
    /// A call or a stream ended without a gRPC status.
    #[error("the response has no gRPC status")]
    MissingStatus,
    /// The server returned an error status.
    #[error("{message}")]
    Status {
        /// The gRPC status code.
        code: u32,
        /// The server's message.
        message: String,
    },
    /// The server did not respond in time.
    #[error("silent")]
    Timeout,
    /// The server's messages violate the protocol.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
}

impl EtcdError {
    /// The gRPC status code: the one that the server returned, or the one that corresponds to the local error.
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

/// A message of the server that ends the connection.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ProtocolError {
    /// A page of the list has no header.
    #[error("a page of the list has no header")]
    PageWithoutHeader,
    /// A response of the watch has no header.
    #[error("a watch response has no header")]
    WatchWithoutHeader,
    /// The server cancelled the watch without giving a reason.
    #[error("the watch was cancelled")]
    WatchCancelled,
    /// The server cancelled the watch for this reason.
    #[error("the watch was cancelled: {0}")]
    WatchCancelledBecause(String),
}
