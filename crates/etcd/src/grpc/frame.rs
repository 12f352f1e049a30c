//! gRPC's framing of messages: a byte that tells whether the message is compressed, its length in four, the message.

use crate::error::EtcdError;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// The largest message that is accepted; a page of the list is far below.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// The bytes before each message.
const PREFIX_BYTES: usize = 5;
const UNCOMPRESSED: u8 = 0;

/// A message with its prefix.
pub fn encode_frame(message: &impl prost::Message) -> Bytes {
    let length = message.encoded_len();
    let mut out = BytesMut::with_capacity(PREFIX_BYTES + length);
    out.put_u8(UNCOMPRESSED);
    out.put_u32(length as u32);
    let _ = message.encode(&mut out); // fails only for a buffer that cannot grow
    out.freeze()
}

/// Decodes messages out of a stream of bytes.
#[derive(Default)]
pub struct FrameDecoder(BytesMut);

impl FrameDecoder {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// Whether more bytes are buffered than one message may have.
    pub(crate) fn exceeds_limit(&self) -> bool {
        self.0.len() > PREFIX_BYTES + MAX_MESSAGE_BYTES
    }

    /// The next message, if it is complete.
    ///
    /// # Errors
    /// It is compressed, larger than 8 MiB, or no such message.
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
