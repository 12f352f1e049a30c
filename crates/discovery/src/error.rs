//! Errors of requests to discovery, and reasons for not applying a received list.

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
    /// The response body was cut short or exceeds the maximum length.
    #[error(transparent)]
    Body(Box<dyn StdError + Send + Sync>),
    #[error("discovery responded with status {0}")]
    Status(StatusCode),
    #[error("timed out waiting for the response head")]
    HeadTimeout,
    #[error("timed out waiting for data")]
    Timeout,
    #[error("discovery closed the watch")]
    WatchEnded,
    #[error("a list exceeds the maximum length")]
    LineTooLong,
    #[error("timed out waiting for the end of a line")]
    LineTimeout,
    /// A malformed list on the watch was dropped, so a change may be missing and the list must be read again.
    #[error("a list on the watch was malformed; reading the list again")]
    ResyncDue,
    #[error(transparent)]
    MalformedList(serde_json::Error),
    /// The list is older than the one applied last.
    #[error("the list has version {version}, older than {applied}")]
    OlderList { version: u64, applied: u64 },
}
