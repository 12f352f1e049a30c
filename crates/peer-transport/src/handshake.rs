//! Connection handshake, and reading and writing of messages on the stream.

use crate::envelope::Keys;
use crate::mac::MAC_BYTES;
use crate::session::{Channel, Direction, Hello, LENGTH_BYTES, MAX_MESSAGE_BYTES, PeerHello};
use prost::Message;
use sillward_membership::{Incarnation, Name};
use sillward_runtime::Stream;
use sillward_runtime::random::entropy;

/// Chunk size for reading a message. The buffer grows as data arrives, so a length prefix alone cannot make the receiver
/// allocate memory for the whole message.
const READ_CHUNK_BYTES: usize = 8 * 1024;

/// Identity of the local end of a connection.
pub(crate) struct LocalEnd<'a> {
    pub(crate) fleet: &'a str,
    pub(crate) name: &'a Name,
    pub(crate) keys: &'a Keys,
    pub(crate) incarnation: Incarnation,
}

/// An authenticated connection. It is no longer valid once the incarnation of either end has ended.
pub(crate) struct Session {
    /// Name of the remote member.
    pub(crate) peer: Name,
    pub(crate) peer_incarnation: Incarnation,
    /// This node's incarnation at the time of the handshake.
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

/// Performs the dialer's side of the handshake; `None` if it fails.
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

/// Performs the acceptor's side of the handshake; `None` if it fails.
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

/// Reads a message and strips its length prefix; `None` if the stream ends or fails, or if the length is invalid.
///
/// Not cancellation safe: dropping the future loses the bytes read so far.
pub(crate) async fn read_message(stream: &Stream) -> Option<Vec<u8>> {
    let mut length = [0; LENGTH_BYTES];
    read_exact(stream, &mut length).await?;
    let length = Channel::frame_length(length)?;
    let mut bytes = Vec::new();
    while bytes.len() < length {
        let start = bytes.len();
        let chunk = (length - start).min(READ_CHUNK_BYTES);
        bytes.resize(start + chunk, 0);
        read_exact(stream, &mut bytes[start..]).await?;
    }
    debug_assert!(bytes.len() <= MAX_MESSAGE_BYTES + MAC_BYTES);
    Some(bytes)
}

/// Writes all bytes; `None` if the stream fails.
///
/// Not cancellation safe: dropping the future may leave a partly written message on the stream.
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
