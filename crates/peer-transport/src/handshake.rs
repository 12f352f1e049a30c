//! The handshake of a connection, and its messages on the stream.

use crate::envelope::Keys;
use crate::mac::MAC_BYTES;
use crate::session::{Channel, Direction, Hello, LENGTH_BYTES, MAX_MESSAGE_BYTES, PeerHello};
use prost::Message;
use sillward_membership::{Incarnation, Name};
use sillward_runtime::Stream;
use sillward_runtime::random::entropy;

/// A message is read in pieces of at most this many bytes, so that a length alone does not take its memory.
const READ_PIECE_BYTES: usize = 8 * 1024;

/// This end of a connection.
pub(crate) struct LocalEnd<'a> {
    pub(crate) fleet: &'a str,
    pub(crate) name: &'a Name,
    pub(crate) keys: &'a Keys,
    pub(crate) incarnation: Incarnation,
}

/// An authenticated connection. It is void once either incarnation has ended.
pub(crate) struct Session {
    /// The other end.
    pub(crate) peer: Name,
    pub(crate) peer_incarnation: Incarnation,
    /// This node's incarnation when the connection was made.
    pub(crate) own_incarnation: Incarnation,
    pub(crate) outbound: Channel,
    pub(crate) inbound: Channel,
}

impl Session {
    fn new(local: &LocalEnd<'_>, peer: PeerHello, outbound: Channel, inbound: Channel) -> Self {
        Session {
            peer: peer.name,
            peer_incarnation: peer.incarnation,
            own_incarnation: local.incarnation,
            outbound,
            inbound,
        }
    }
}

/// The dialer's handshake; `None` if it fails.
pub(crate) async fn dial(stream: &Stream, local: LocalEnd<'_>) -> Option<Session> {
    let nonce = entropy().ok()?.max(1);
    let mut outbound = Channel::new(local.keys, Direction::DialerToAcceptor);
    let mut inbound = Channel::new(local.keys, Direction::AcceptorToDialer);
    let hello = Hello::new(local.fleet, local.name, local.incarnation, nonce, 0);
    write_all(stream, &outbound.seal(&hello.encode_to_vec())).await?;
    let bytes = read_message(stream).await?;
    let peer = Hello::parse(inbound.open(&bytes)?, local.fleet)?;
    if peer.echoed_nonce != nonce {
        return None;
    }
    outbound.bind(nonce, peer.nonce);
    inbound.bind(nonce, peer.nonce);
    Some(Session::new(&local, peer, outbound, inbound))
}

/// The acceptor's handshake; `None` if it fails.
pub(crate) async fn accept(stream: &Stream, local: LocalEnd<'_>) -> Option<Session> {
    let nonce = entropy().ok()?.max(1);
    let mut outbound = Channel::new(local.keys, Direction::AcceptorToDialer);
    let mut inbound = Channel::new(local.keys, Direction::DialerToAcceptor);
    let bytes = read_message(stream).await?;
    let peer = Hello::parse(inbound.open(&bytes)?, local.fleet)?;
    if peer.name == *local.name {
        return None;
    }
    let hello = Hello::new(
        local.fleet,
        local.name,
        local.incarnation,
        nonce,
        peer.nonce,
    );
    write_all(stream, &outbound.seal(&hello.encode_to_vec())).await?;
    outbound.bind(peer.nonce, nonce);
    inbound.bind(peer.nonce, nonce);
    Some(Session::new(&local, peer, outbound, inbound))
}

/// Reads a message without its length; `None` at the end of the stream or if the length is invalid.
///
/// Not cancellation safe: a dropped future loses what it has read.
pub(crate) async fn read_message(stream: &Stream) -> Option<Vec<u8>> {
    let mut length = [0; LENGTH_BYTES];
    read_exact(stream, &mut length).await?;
    let length = Channel::frame_length(length)?;
    let mut bytes = Vec::new();
    while bytes.len() < length {
        let start = bytes.len();
        let piece = (length - start).min(READ_PIECE_BYTES);
        bytes.resize(start + piece, 0);
        read_exact(stream, &mut bytes[start..]).await?;
    }
    debug_assert!(bytes.len() <= MAX_MESSAGE_BYTES + MAC_BYTES);
    Some(bytes)
}

/// Writes all bytes; `None` if the stream fails.
///
/// Not cancellation safe: a dropped future may have written a part.
pub(crate) async fn write_all(stream: &Stream, mut bytes: &[u8]) -> Option<()> {
    while !bytes.is_empty() {
        let count = stream.write(bytes).await.ok().filter(|count| *count > 0)?;
        bytes = &bytes[count..];
    }
    Some(())
}

async fn read_exact(stream: &Stream, mut buffer: &mut [u8]) -> Option<()> {
    while !buffer.is_empty() {
        let count = stream.read(buffer).await.ok().filter(|count| *count > 0)?;
        buffer = &mut buffer[count..];
    }
    Some(())
}
