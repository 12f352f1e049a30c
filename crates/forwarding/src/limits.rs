//! Sizes and times that all protocols share.

use std::time::Duration;

/// The longest body of a request or a response, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// A response of at most so many bytes is read completely before it is forwarded, so that a broken one is a failed
/// attempt and not half a response to the client.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;

/// A request body of at most so many bytes is read completely before it is forwarded, and kept, so that it can be
/// sent again, while memory allows.
pub const MAX_REPLAYABLE_BODY_BYTES: usize = 256 * 1024;

/// The read buffer of a connection, in bytes. No HTTP head may be longer; hyper allows no smaller buffer.
pub const READ_BUFFER_BYTES: usize = 8 * 1024;

/// A health check without a reply after this time has failed: its result would be out of date.
pub const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
