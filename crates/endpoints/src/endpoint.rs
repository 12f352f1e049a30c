//! An endpoint with its address.

use sillward_balancer::{Endpoint, ServerState};
use std::net::SocketAddr;

/// An endpoint as one source lists it, or as all of them together do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Its identity, attributes and state.
    pub endpoint: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
}

impl ListedEndpoint {
    pub(crate) fn is_removed(&self) -> bool {
        self.endpoint.state == ServerState::Removed
    }
}
