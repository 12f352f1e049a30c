//! The listed servers, and the ring on which all nodes place them in the same order.

use super::server::Server;
use crate::endpoint::{Endpoint, EndpointUpdate, ServerState};
use crate::ids::ServerId;
use crate::settings::Settings;
use std::collections::BTreeMap;
use std::time::Duration;

/// 2^64 divided by the golden ratio (Fibonacci hashing): spreads consecutive ids over the ring.
const GOLDEN_RATIO_HASH: u64 = 0x9e37_79b9_7f4a_7c15;

/// Numbers of listed and ejected servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Ready and draining servers.
    pub listed: usize,
    /// Ready servers that are ejected as outliers.
    pub ejected: usize,
}

/// The listed servers. Every id on the ring has an entry in the map.
#[derive(Default)]
pub(super) struct EndpointTable {
    servers: BTreeMap<ServerId, Server>,
    /// The ready servers, sorted by ring position.
    ring: Vec<ServerId>,
}

/// Whether the entry is of a later process than the server that is known. An entry without a start time does not tell when its
/// process started: a start time that becomes known is of a later process only if it lies after the server was listed.
fn is_restarted(known: &Server, entry: &Endpoint) -> bool {
    match (known.endpoint.started_at, entry.started_at) {
        (Some(known_start), Some(start)) => known_start != start,
        (None, Some(start)) => start > known.listed_at,
        (_, None) => false,
    }
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

    /// The ready servers in ring order, starting at this node's position. The nodes' positions are evenly spaced, so that each
    /// server is near the start for about the same number of nodes.
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

    /// The ready servers whose state this node keeps up to date: twice the subset, because the subset's size changes with
    /// traffic.
    pub(super) fn tracked(
        &self,
        settings: &Settings,
        subset_size: usize,
    ) -> impl Iterator<Item = &Server> {
        self.in_ring_order(settings).take(2 * subset_size)
    }

    /// Applies an endpoint update. A new or restarted server starts with the estimate `initial_estimate`: with zero, all nodes
    /// would select it at the same time.
    pub(super) fn apply(
        &mut self,
        now: Duration,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        initial_estimate: u32,
    ) {
        let full_list = update != EndpointUpdate::Incremental;
        if full_list {
            self.ring.clear();
            for server in self.servers.values_mut() {
                server.endpoint.state = ServerState::Removed;
            }
        }
        for endpoint in endpoints {
            self.apply_one(now, endpoint, initial_estimate);
        }
        if full_list {
            self.servers
                .retain(|_, s| s.endpoint.state != ServerState::Removed);
        }
    }

    fn apply_one(&mut self, now: Duration, endpoint: Endpoint, initial_estimate: u32) {
        let id = endpoint.id;
        let known = self.servers.remove(&id);
        if endpoint.state != ServerState::Removed {
            let in_flight = known.as_ref().map_or(0, |known| known.in_flight);
            let server = match known.filter(|known| !is_restarted(known, &endpoint)) {
                Some(known) => Server { endpoint, ..known },
                None => Server {
                    endpoint,
                    listed_at: now,
                    in_flight,
                    sends_since_idle: initial_estimate,
                    ..Server::default()
                },
            };
            self.servers.insert(id, server);
        }
        let position = self
            .ring
            .binary_search_by_key(&ring_position(id), |id| ring_position(*id));
        match (position, endpoint.state) {
            (Err(position), ServerState::Ready) => self.ring.insert(position, id),
            (Ok(position), ServerState::Draining | ServerState::Removed) => {
                self.ring.remove(position);
            }
            (Ok(_), ServerState::Ready) | (Err(_), _) => {}
        }
    }
}
