//! A connection to another process of this node, over which both tell their open calls. Reads and writes never wait.

use sillward_hot_restart::{CallMessage, CallMessageDecoder, PeerId};
use sillward_runtime::unix_socket::NonblockingUnixStream;
use std::io::ErrorKind;

/// What may wait for a process that does not read. It is given up beyond.
const MAX_UNSENT_BYTES: usize = 4 << 20;
const READ_BYTES: usize = 16 << 10;

/// A connection to another process of this node.
pub(super) struct Peer {
    id: PeerId,
    stream: NonblockingUnixStream,
    decoder: CallMessageDecoder,
    unsent: Vec<u8>,
    /// Whether it has told the calls that were open when the connection began.
    has_listed: bool,
}

/// Why a connection is of no more use.
pub(super) enum PeerEnd {
    Exited,
    /// Another build, perhaps: what it sends can't be used.
    Unusable(String),
}

/// What was read from a connection.
pub(super) struct Received {
    pub(super) messages: Vec<CallMessage>,
    /// Why nothing follows the messages, if nothing does.
    pub(super) end: Option<PeerEnd>,
}

impl Peer {
    pub(super) fn new(id: PeerId, stream: NonblockingUnixStream) -> Self {
        Peer {
            id,
            stream,
            decoder: CallMessageDecoder::default(),
            unsent: Vec::new(),
            has_listed: false,
        }
    }

    pub(super) fn id(&self) -> PeerId {
        self.id
    }

    /// Whether it has told the calls that were open when the connection began.
    pub(super) fn has_listed(&self) -> bool {
        self.has_listed
    }

    /// Queues messages, and writes what fits.
    pub(super) fn send(&mut self, encoded: &[u8]) -> Result<(), PeerEnd> {
        self.unsent.extend_from_slice(encoded);
        self.flush()
    }

    /// Writes what fits of what is queued.
    pub(super) fn flush(&mut self) -> Result<(), PeerEnd> {
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(count) => drop(self.unsent.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // The process has exited. What it sent before is still to be read, up to the end of the stream.
                Err(_) => self.unsent.clear(),
            }
        }
        if self.unsent.len() > MAX_UNSENT_BYTES {
            return Err(PeerEnd::Unusable("it does not read".to_owned()));
        }
        Ok(())
    }

    /// Reads what it has sent so far.
    pub(super) fn receive(&mut self) -> Received {
        let mut messages = Vec::new();
        let end = self.read_messages(&mut messages).err();
        self.has_listed |= messages.contains(&CallMessage::Listed);
        Received { messages, end }
    }

    fn read_messages(&mut self, messages: &mut Vec<CallMessage>) -> Result<(), PeerEnd> {
        let mut bytes = [0; READ_BYTES];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return Err(PeerEnd::Exited),
                Ok(count) => {
                    let decoded = self.decoder.decode(&bytes[..count], messages);
                    decoded.map_err(|e| PeerEnd::Unusable(e.to_string()))?;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(_) => return Err(PeerEnd::Exited),
            }
        }
    }
}
