//! Settings of a member's transport.

use crate::envelope::Keys;
use sillward_membership::{MembershipSettings, Name, NodeMetadata};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of [`PeerTransport`](crate::PeerTransport).
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// The fleet's name, at most [`MAX_FLEET_NAME_BYTES`](crate::envelope::MAX_FLEET_NAME_BYTES) long.
    pub fleet: String,
    /// Authentication keys of the fleet.
    pub keys: Keys,
    /// This member's name.
    pub name: Name,
    /// Listen address for datagrams and connections.
    pub listen: SocketAddr,
    /// Address at which other members reach this one, if it differs from the listen address.
    pub advertise: Option<SocketAddr>,
    /// Addresses that are contacted first to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Metadata that this member announces.
    pub metadata: NodeMetadata,
    /// Maximum size of a frame with its envelope, in bytes.
    pub max_frame_bytes: usize,
    /// Maximum number of connections used for sending; the same limit applies separately to accepted connections.
    pub max_connections: usize,
    /// Directory that stores the last incarnation; `None` to store nothing.
    pub state_dir: Option<PathBuf>,
    /// Membership settings; their `max_frame_bytes` is replaced by the space that the envelope leaves for a frame.
    pub membership: MembershipSettings,
}
