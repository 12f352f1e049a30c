//! What the node is told of the list of backends, and what it asks of whoever keeps that list.

use sillward_balancer::{Endpoint, EndpointUpdate};
use std::net::SocketAddr;

/// A line of the list, and where that backend listens.
#[derive(Clone, Debug)]
pub struct Backend {
    pub endpoint: Endpoint,
    pub address: SocketAddr,
}

/// A change of the list.
pub struct BackendUpdate {
    pub kind: EndpointUpdate,
    pub backends: Vec<Backend>,
}

/// What the module asks of discovery, where the list must be asked for.
pub enum DiscoveryCommand {
    Watch(bool),
    Fetch,
}
