//! The messages by which two processes of one node tell each other which calls they have open.

use std::mem::take;

const HEADER: &[u8] = b"sillward-calls 1";
const OPENED: u8 = b'+';
const CLOSED: u8 = b'-';
const LISTED: u8 = b'=';
/// The maximum length of a message, without the end of its line.
const MAX_MESSAGE_BYTES: usize = 512;

/// The identifier of a call.
pub type CallId = Box<[u8]>;

/// A message about the calls of the process that sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallMessage {
    /// It has a call that must not run twice.
    Opened(CallId),
    /// The identifier is no longer in use.
    Closed(CallId),
    /// It has told all calls that were open when the connection began.
    Listed,
}

/// Why received bytes are no messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallMessageError {
    /// The connection does not begin as this version does.
    UnknownVersion,
    /// A line is longer than any message.
    TooLong,
    /// A line is none of the messages.
    Malformed,
}

impl std::fmt::Display for CallMessageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            CallMessageError::UnknownVersion => "an unknown version",
            CallMessageError::TooLong => "a message that is too long",
            CallMessageError::Malformed => "a malformed message",
        })
    }
}

impl std::error::Error for CallMessageError {}

/// Encodes the line that a connection begins with.
pub fn encode_header(to: &mut Vec<u8>) {
    to.extend_from_slice(HEADER);
    to.push(b'\n');
}

/// Encodes [`CallMessage::Opened`].
pub fn encode_opened(id: &[u8], to: &mut Vec<u8>) {
    encode(OPENED, id, to);
}

/// Encodes [`CallMessage::Closed`].
pub fn encode_closed(id: &[u8], to: &mut Vec<u8>) {
    encode(CLOSED, id, to);
}

/// Encodes [`CallMessage::Listed`].
pub fn encode_listed(to: &mut Vec<u8>) {
    encode(LISTED, b"", to);
}

fn encode(tag: u8, id: &[u8], to: &mut Vec<u8>) {
    to.push(tag);
    to.extend_from_slice(id);
    to.push(b'\n');
}

/// Decodes what a connection carries, in pieces of any size.
#[derive(Default)]
pub struct CallMessageDecoder {
    unread: Vec<u8>,
    has_header: bool,
}

impl CallMessageDecoder {
    /// Adds received bytes, and appends the messages that they complete, also those before an error.
    ///
    /// # Errors
    /// The bytes are no messages. The connection is of no more use.
    pub fn decode(
        &mut self,
        bytes: &[u8],
        messages: &mut Vec<CallMessage>,
    ) -> Result<(), CallMessageError> {
        self.unread.extend_from_slice(bytes);
        let received = take(&mut self.unread);
        let mut rest = &received[..];
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            messages.extend(self.decode_line(&rest[..end])?);
            rest = &rest[end + 1..];
        }
        if rest.len() > MAX_MESSAGE_BYTES {
            return Err(CallMessageError::TooLong);
        }
        self.unread = rest.to_vec();
        Ok(())
    }

    /// The message of a line; `None` for the header.
    fn decode_line(&mut self, line: &[u8]) -> Result<Option<CallMessage>, CallMessageError> {
        if !self.has_header {
            self.has_header = line == HEADER;
            return match self.has_header {
                true => Ok(None),
                false => Err(CallMessageError::UnknownVersion),
            };
        }
        match line.split_first() {
            Some((&OPENED, id)) if !id.is_empty() => Ok(Some(CallMessage::Opened(id.into()))),
            Some((&CLOSED, id)) if !id.is_empty() => Ok(Some(CallMessage::Closed(id.into()))),
            Some((&LISTED, b"")) => Ok(Some(CallMessage::Listed)),
            _ => Err(CallMessageError::Malformed),
        }
    }
}
