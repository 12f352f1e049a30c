//! The bytes of a request or a response, and their format.

use bytes::Bytes;

/// The format of a payload.
///
/// This package never interprets it. A back-end protocol that doesn't support a format reports the attempt as not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PayloadFormat(pub &'static str);

impl PayloadFormat {
    /// The format of a body that is not specific to a protocol.
    pub const PLAIN: PayloadFormat = PayloadFormat("");
}

/// Bytes and their format.
#[derive(Clone, Debug, PartialEq)]
pub struct Payload {
    /// The format of the bytes.
    pub format: PayloadFormat,
    /// The bytes, which own their reservation in the memory budget.
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
