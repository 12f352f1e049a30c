//! The listed servers, and the ring on which all nodes order them.

use super::server::Server;
use crate::endpoint::{Endpoint, EndpointUpdate, ServerState};
use crate::ids::ServerId;
use crate::settings::Settings;
use std::collections::BTreeMap;

/// 2^64 divided by the golden ratio: multiplying by it spreads neighbouring ids over the ring.
const GOLDEN_RATIO_HASH: u64 = 0x9e37_79b9_7f4a_7c15;

/// How many servers are listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Ready and draining servers.
    pub listed: usize,
    /// Ready servers that are ejected as outliers.
    pub ejected: usize,
}

/// The listed servers. Every id on the ring has its server.
#[derive(Default)]
pub(super) struct EndpointTable {
    servers: BTreeMap<ServerId, Server>,
    /// The ready servers, by their place on the ring.
    ring: Vec<ServerId>,
}

fn ring_position(id: ServerId) -> u64 {
    id.0.wrapping_mul(GOLDEN_RATIO_HASH)
}

impl EndpointTable {
    pub(super) fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// Number of ready servers.
    pub(super) fn ready_count(&self) -> usize {
        self.ring.len()
    }

    pub(super) fn counts(&self) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        for server in self.servers.values() {
            let state = server.endpoint.state;
            counts.listed += usize::from(state != ServerState::Removed);
            counts.ejected +=
                usize::from(state == ServerState::Ready && server.health.is_ejected());
        }
        counts
    }

    /// The ready servers in ring order, from this node's place on. Nodes start evenly spaced, so that each server is near
    /// the start of as many nodes as any other.
    pub(super) fn in_ring_order(&self, settings: &Settings) -> impl Iterator<Item = &Server> {
        let node = settings.node as usize;
        let nodes = settings.nodes.max(1) as usize;
        let start = node % nodes * self.ring.len() / nodes;
        let (before, after) = self.ring.split_at(start);
        after
            .iter()
            .chain(before)
            .filter_map(|id| self.servers.get(id))
    }

    /// The ready servers whose state this node keeps up to date: twice its subset, since the subset changes with traffic.
    pub(super) fn near(
        &self,
        settings: &Settings,
        subset_size: usize,
    ) -> impl Iterator<Item = &Server> {
        self.in_ring_order(settings).take(2 * subset_size)
    }

    /// Applies an update. A server that is new or was restarted starts with the estimate `initial_estimate`: at zero all
    /// nodes would choose it at once.
    pub(super) fn apply(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        initial_estimate: u32,
    ) {
        let whole_list = update != EndpointUpdate::Incremental;
        if whole_list {
            self.ring.clear();
            for server in self.servers.values_mut() {
                server.endpoint.state = ServerState::Removed;
            }
        }
        for endpoint in endpoints {
            self.apply_one(endpoint, initial_estimate);
        }
        if whole_list {
            self.servers
                .retain(|_, s| s.endpoint.state != ServerState::Removed);
        }
    }

    fn apply_one(&mut self, endpoint: Endpoint, initial_estimate: u32) {
        let id = endpoint.id;
        let known = self.servers.remove(&id).unwrap_or_default();
        let same_process =
            known.endpoint.id == id && known.endpoint.started_at == endpoint.started_at;
        if endpoint.state != ServerState::Removed {
            let server = if same_process {
                Server { endpoint, ..known }
            } else {
                Server {
                    endpoint,
                    in_flight: known.in_flight,
                    sends_since_idle: initial_estimate,
                    ..Server::default()
                }
            };
            self.servers.insert(id, server);
        }
        let place = self
            .ring
            .binary_search_by_key(&ring_position(id), |id| ring_position(*id));
        match (place, endpoint.state) {
            (Err(place), ServerState::Ready) => self.ring.insert(place, id),
            (Ok(place), ServerState::Draining | ServerState::Removed) => {
                self.ring.remove(place);
            }
            (Ok(_), ServerState::Ready) | (Err(_), _) => {}
        }
    }
}
