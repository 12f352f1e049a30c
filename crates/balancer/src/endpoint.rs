//! The endpoint list: servers, their states, and updates to the list.

use crate::ids::ServerId;
use std::time::Duration;

/// A server's state in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
    /// No longer listed.
    #[default]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub id: ServerId,
    /// Its zone, by number.
    pub zone: u8,
    /// Its machine type, by number.
    pub machine_type: u8,
    /// Its cell, a group of servers within a zone.
    pub cell: u16,
    /// Its state.
    pub state: ServerState,
    /// Its weight relative to other servers.
    pub weight: f32,
    /// When it last started; `None` if it started too long ago to be warming up.
    pub started_at: Option<Duration>,
}

/// The kind of an endpoint update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only entries that changed.
    Incremental,
    /// The whole list.
    Full,
    /// The whole list as cached before this node started. It may be stale.
    Cached,
    /// A poll failed or the watch ended. Carries no entries.
    Failed,
}
