//! Settings of a member's transport.

use crate::envelope::Keys;
use sillward_membership::{MembershipSettings, Name, NodeMetadata};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a member of a fleet needs to know.
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// The fleet's name: at most [`MAX_FLEET_NAME_BYTES`](crate::envelope::MAX_FLEET_NAME_BYTES).
    pub fleet: String,
    /// The fleet's keys.
    pub keys: Keys,
    /// This member's name.
    pub name: Name,
    /// Where it listens, for datagrams and connections.
    pub listen: SocketAddr,
    /// Where the other members reach it, if that is not where it listens.
    pub advertise: Option<SocketAddr>,
    /// The addresses by which it joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Its metadata.
    pub metadata: NodeMetadata,
    /// The most bytes of a frame with its envelope.
    pub max_frame_bytes: usize,
    /// The most connections in use at once, and as many accepted connections.
    pub max_connections: usize,
    /// Where it stores its last incarnation; `None` to store nothing.
    pub state_dir: Option<PathBuf>,
    /// Settings of membership; `max_frame_bytes` in it is replaced by what the envelope leaves.
    pub membership: MembershipSettings,
}
