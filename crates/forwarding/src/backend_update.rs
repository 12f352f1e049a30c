//! Endpoint updates with the addresses of backends, and commands to the discovery client.

use sillward_balancer::{Endpoint, EndpointUpdate};
use std::net::SocketAddr;

/// An endpoint with the address of its backend.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The endpoint list entry.
    pub endpoint: Endpoint,
    /// The address that the backend listens on.
    pub address: SocketAddr,
}

/// An endpoint update with the addresses of the backends.
pub struct BackendUpdate {
    /// The kind of the update, such as the whole list or changed entries only.
    pub kind: EndpointUpdate,
    /// The entries of the update.
    pub backends: Vec<Backend>,
}

/// A command of the decision module to the discovery client, used where the endpoint list is polled.
pub enum DiscoveryCommand {
    /// Starts (true) or stops (false) watching the list.
    Watch(bool),
    /// Fetches the list once.
    Fetch,
}
