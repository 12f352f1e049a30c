//! Size limits and timeouts that all protocols share.

use std::time::Duration;

/// The maximum length of a request or response body, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// The maximum length, in bytes, of a response that is buffered completely before it is forwarded. If such a response
/// is truncated, the attempt fails and the client receives no partial response.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;

/// The maximum length, in bytes, of a request body that is buffered completely before it is forwarded, and kept so that
/// it can be sent again, while memory allows.
pub const MAX_REPLAYABLE_BODY_BYTES: usize = 256 * 1024;

/// The size of the read buffer of a connection, in bytes. It limits the length of an HTTP head. hyper accepts no smaller
/// buffer.
pub const READ_BUFFER_BYTES: usize = 8 * 1024;

/// What is reserved for a body that is being forwarded, in bytes, beside the part that is kept: the chunks that are queued on
/// its way between the client's and the backend's connection.
pub const STREAM_BUFFER_BYTES: usize = 6 * READ_BUFFER_BYTES;

/// The timeout of a health check. A later result would be out of date.
pub const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
