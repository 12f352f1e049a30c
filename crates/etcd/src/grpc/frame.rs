//! gRPC message framing: a flag byte for compression, four bytes of length, then the message.

use crate::error::EtcdError;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// The maximum length of a received message; a page of the list is much smaller.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// The length of the prefix: compression flag and message length.
const PREFIX_BYTES: usize = 5;
/// The compression flag of an uncompressed message.
const UNCOMPRESSED: u8 = 0;

/// Encodes a message with its prefix.
pub fn encode_frame(message: &impl prost::Message) -> Bytes {
    let length = message.encoded_len();
    let mut out = BytesMut::with_capacity(PREFIX_BYTES + length);
    out.put_u8(UNCOMPRESSED);
    out.put_u32(length as u32);
    let _ = message.encode(&mut out); // fails only if the buffer can't grow
    out.freeze()
}

/// An incremental decoder of length-prefixed messages.
#[derive(Default)]
pub struct FrameDecoder(BytesMut);

impl FrameDecoder {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// Whether more bytes are buffered than one message of the maximum length.
    pub(crate) fn exceeds_limit(&self) -> bool {
        self.0.len() > PREFIX_BYTES + MAX_MESSAGE_BYTES
    }

    /// Decodes the next message; `None` if it is incomplete.
    ///
    /// # Errors
    /// The message is compressed, larger than 8 MiB, or not a valid message of this type.
    pub fn message<M: prost::Message + Default>(&mut self) -> Result<Option<M>, EtcdError> {
        let Some(prefix) = self.0.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let [compressed, a, b, c, d] = *prefix;
        let length = u32::from_be_bytes([a, b, c, d]) as usize;
        if compressed != UNCOMPRESSED {
            return Err(EtcdError::CompressedMessage);
        }
        if length > MAX_MESSAGE_BYTES {
            return Err(EtcdError::MessageTooLarge);
        }
        if self.0.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.0.advance(PREFIX_BYTES);
        let message = self.0.split_to(length).freeze();
        Ok(Some(M::decode(message)?))
    }
}
