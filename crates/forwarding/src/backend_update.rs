//! Changes of the endpoint list, and what the node asks of discovery.

use sillward_balancer::{Endpoint, EndpointUpdate};
use std::net::SocketAddr;

/// An entry of the endpoint list and the backend's address.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The entry.
    pub endpoint: Endpoint,
    /// Where the backend listens.
    pub address: SocketAddr,
}

/// A change of the endpoint list.
pub struct BackendUpdate {
    /// What the entries are.
    pub kind: EndpointUpdate,
    /// The entries.
    pub backends: Vec<Backend>,
}

/// What the decision module asks of discovery, where the endpoint list is polled.
pub enum DiscoveryCommand {
    /// Starts (true) or stops watching the list.
    Watch(bool),
    /// Fetches the list once.
    Fetch,
}
