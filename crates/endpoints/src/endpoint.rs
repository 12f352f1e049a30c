//! An endpoint and its address.

use sillward_balancer::{Endpoint, ServerState};
use std::net::SocketAddr;

/// An endpoint as listed by one source, or as merged from all sources.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The id, attributes and state.
    pub endpoint: Endpoint,
    /// The address that the backend listens on.
    pub address: SocketAddr,
}

impl ListedEndpoint {
    pub(crate) fn is_removed(&self) -> bool {
        self.endpoint.state == ServerState::Removed
    }
}
