//! The bytes of a request or a response, and their format.

use bytes::Bytes;

/// The format of a payload.
///
/// The core never looks at it. A back-end protocol that can't carry a format reports that the attempt was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PayloadFormat(pub &'static str);

impl PayloadFormat {
    /// A body of no particular format.
    pub const PLAIN: PayloadFormat = PayloadFormat("");
}

/// Bytes and their format.
#[derive(Clone, Debug, PartialEq)]
pub struct Payload {
    /// The format of the bytes.
    pub format: PayloadFormat,
    /// The bytes, with their reservation in the memory budget.
    pub bytes: Bytes,
}

impl Payload {
    /// A payload of the format [`PayloadFormat::PLAIN`].
    pub fn plain(bytes: Bytes) -> Self {
        Payload {
            format: PayloadFormat::PLAIN,
            bytes,
        }
    }
}
