//! Why a call to discovery failed, or what it brought was not applied.

use hyper::StatusCode;
use std::error::Error as StdError;
use std::io;
use thiserror::Error;

#[derive(Debug, Error)]
pub(crate) enum DiscoveryError {
    #[error(transparent)]
    Connect(io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The response's body broke off, or is too long.
    #[error(transparent)]
    Body(Box<dyn StdError + Send + Sync>),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("silent before its head")]
    HeadTimeout,
    #[error("silent")]
    Timeout,
    #[error("it ended")]
    WatchEnded,
    #[error("a line without end")]
    LineTooLong,
    #[error("a line that did not end")]
    LineTimeout,
    /// A list on the watch was dropped, so that a change may be missing.
    #[error("a list on it was malformed")]
    ResyncDue,
    #[error(transparent)]
    MalformedList(serde_json::Error),
    /// The list is older than the one that was applied last.
    #[error("a list of version {version}, older than {applied}")]
    OlderList { version: u64, applied: u64 },
}
