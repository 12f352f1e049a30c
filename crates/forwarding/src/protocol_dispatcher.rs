//! Dispatches to one of several back-end protocols by the machine type of the backend.

use crate::{
    Attempt, AttemptResult, Backend, BackendProtocol, BackendUpdate, HealthCheckResponse,
    LocalBoxFuture, StopReason,
};
use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{EndpointUpdate, ServerId, ServerState};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The index of a protocol in [`ProtocolDispatcher::protocols`].
type ProtocolIndex = usize;

/// The protocol of machine types that have none of their own.
const DEFAULT_PROTOCOL: ProtocolIndex = 0;

/// Passes attempts, health checks and endpoint updates to the protocol of the backend's machine type.
pub struct ProtocolDispatcher {
    protocols: Vec<Rc<dyn BackendProtocol>>,
    by_machine_type: BTreeMap<u8, ProtocolIndex>,
    by_server: RefCell<BTreeMap<ServerId, ProtocolIndex>>,
}

impl ProtocolDispatcher {
    /// Uses `default` for all machine types that are not in `others`.
    pub fn new(
        default: Rc<dyn BackendProtocol>,
        others: Vec<(u8, Rc<dyn BackendProtocol>)>,
    ) -> Self {
        let mut protocols = vec![default];
        let mut by_machine_type = BTreeMap::new();
        for (machine_type, protocol) in others {
            by_machine_type.insert(machine_type, protocols.len());
            protocols.push(protocol);
        }
        ProtocolDispatcher {
            protocols,
            by_machine_type,
            by_server: RefCell::default(),
        }
    }

    fn protocol_of(&self, server: ServerId) -> Rc<dyn BackendProtocol> {
        let index = self
            .by_server
            .borrow()
            .get(&server)
            .copied()
            .unwrap_or(DEFAULT_PROTOCOL);
        self.protocols[index].clone()
    }

    /// Splits an endpoint update by protocol.
    fn split(&self, update: &BackendUpdate) -> Vec<Vec<Backend>> {
        let mut by_protocol: Vec<Vec<Backend>> = vec![Vec::new(); self.protocols.len()];
        let mut by_server = self.by_server.borrow_mut();
        if matches!(update.kind, EndpointUpdate::Full | EndpointUpdate::Cached) {
            by_server.clear();
        }
        for backend in &update.backends {
            let endpoint = &backend.endpoint;
            let index = self
                .by_machine_type
                .get(&endpoint.machine_type)
                .copied()
                .unwrap_or(DEFAULT_PROTOCOL);
            let previous = by_server.insert(endpoint.id, index);
            // The previous protocol must drop its connections to a backend that now speaks another one.
            if let Some(previous) = previous.filter(|previous| *previous != index) {
                by_protocol[previous].push(as_removed(backend));
            }
            if endpoint.state == ServerState::Removed {
                by_server.remove(&endpoint.id);
            }
            by_protocol[index].push(backend.clone());
        }
        by_protocol
    }
}

/// The backend with the state removed.
fn as_removed(backend: &Backend) -> Backend {
    let mut removed = backend.clone();
    removed.endpoint.state = ServerState::Removed;
    removed
}

impl BackendProtocol for ProtocolDispatcher {
    fn attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
    ) -> LocalBoxFuture<AttemptResult> {
        self.protocol_of(attempt.server).attempt(attempt, stopped)
    }

    fn health_check(self: Rc<Self>, server: ServerId) -> LocalBoxFuture<HealthCheckResponse> {
        self.protocol_of(server).health_check(server)
    }

    fn update_backends(&self, update: &BackendUpdate, now: Duration) {
        let by_protocol = self.split(update);
        for (protocol, backends) in self.protocols.iter().zip(by_protocol) {
            let protocol_update = BackendUpdate {
                kind: update.kind,
                backends,
            };
            protocol.update_backends(&protocol_update, now);
        }
    }

    fn apply_settings(&self, settings: &PlatformSettings) {
        for protocol in &self.protocols {
            protocol.apply_settings(settings);
        }
    }

    fn close_idle(&self, server: ServerId) {
        self.protocol_of(server).close_idle(server);
    }
}
