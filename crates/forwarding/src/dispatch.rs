//! Several backend protocols side by side: each backend speaks the one of its machine kind.

use crate::{
    Attempt, AttemptResult, Backend, BackendProtocol, BackendUpdate, HealthCheckReply,
    LocalBoxFuture, StopReason,
};
use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{EndpointUpdate, ServerId, ServerState};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Passes attempts and update on to the protocol of the backend's machine kind.
pub struct Dispatch {
    protocols: Vec<Rc<dyn BackendProtocol>>,
    /// Which of them each machine kind speaks; the first where a kind is not named.
    by_kind: BTreeMap<u8, usize>,
    servers: RefCell<BTreeMap<ServerId, usize>>,
}

impl Dispatch {
    /// `first` is for every kind that `others` don't name.
    pub fn new(first: Rc<dyn BackendProtocol>, others: Vec<(u8, Rc<dyn BackendProtocol>)>) -> Self {
        let mut protocols = vec![first];
        let mut by_kind = BTreeMap::new();
        for (kind, protocol) in others {
            by_kind.insert(kind, protocols.len());
            protocols.push(protocol);
        }
        Dispatch {
            protocols,
            by_kind,
            servers: RefCell::default(),
        }
    }

    fn of(&self, server: ServerId) -> Rc<dyn BackendProtocol> {
        let place = self
            .servers
            .borrow()
            .get(&server)
            .copied()
            .unwrap_or_default();
        self.protocols[place].clone()
    }
}

impl BackendProtocol for Dispatch {
    fn attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
    ) -> LocalBoxFuture<AttemptResult> {
        self.of(attempt.server).attempt(attempt, stopped)
    }

    fn health_check(self: Rc<Self>, server: ServerId) -> LocalBoxFuture<HealthCheckReply> {
        self.of(server).health_check(server)
    }

    fn update_backends(&self, update: &BackendUpdate, now: Duration) {
        let mut parts: Vec<Vec<Backend>> = vec![Vec::new(); self.protocols.len()];
        let mut servers = self.servers.borrow_mut();
        if matches!(update.kind, EndpointUpdate::Full | EndpointUpdate::Cached) {
            servers.clear();
        }
        for backend in &update.backends {
            let place = self
                .by_kind
                .get(&backend.endpoint.machine_type)
                .copied()
                .unwrap_or_default();
            let before = servers.insert(backend.endpoint.id, place);
            // What the other protocol still holds of it leads nowhere from now on.
            if let Some(before) = before.filter(|before| *before != place) {
                let mut gone = backend.clone();
                gone.endpoint.state = ServerState::Removed;
                parts[before].push(gone);
            }
            if backend.endpoint.state == ServerState::Removed {
                servers.remove(&backend.endpoint.id);
            }
            parts[place].push(backend.clone());
        }
        drop(servers);
        for (protocol, backends) in self.protocols.iter().zip(parts) {
            protocol.update_backends(
                &BackendUpdate {
                    kind: update.kind,
                    backends,
                },
                now,
            );
        }
    }

    fn apply_settings(&self, settings: &PlatformSettings) {
        self.protocols
            .iter()
            .for_each(|protocol| protocol.apply_settings(settings));
    }

    fn close_idle(&self, server: ServerId) {
        self.of(server).close_idle(server);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use sillward_balancer::Endpoint;

    /// A list, as numbers and states.
    type Listed = (EndpointUpdate, Vec<(u64, ServerState)>);

    /// Writes down what it is told.
    #[derive(Default)]
    struct Told(RefCell<Vec<Listed>>);

    impl BackendProtocol for Told {
        fn attempt(
            self: Rc<Self>,
            _: Attempt,
            _: oneshot::Receiver<StopReason>,
        ) -> LocalBoxFuture<AttemptResult> {
            unreachable!("no attempt is made")
        }
        fn health_check(self: Rc<Self>, _: ServerId) -> LocalBoxFuture<HealthCheckReply> {
            unreachable!("no probe is made")
        }
        fn update_backends(&self, update: &BackendUpdate, _: Duration) {
            let backends = update
                .backends
                .iter()
                .map(|b| (b.endpoint.id.0, b.endpoint.state))
                .collect();
            self.0.borrow_mut().push((update.kind, backends));
        }
        fn apply_settings(&self, _: &PlatformSettings) {}
        fn close_idle(&self, server: ServerId) {
            self.0
                .borrow_mut()
                .push((EndpointUpdate::Failed, vec![(server.0, ServerState::Ready)]));
        }
    }

    #[test]
    fn each_protocol_learns_of_its_own_backends_and_of_those_that_change_to_another() {
        use ServerState::{Draining, Ready, Removed};
        let (http, thrift) = (Rc::new(Told::default()), Rc::new(Told::default()));
        let dispatch = Dispatch::new(http.clone(), vec![(3, thrift.clone())]);
        let tell = |kind, lines: &[(u64, u8, ServerState)]| {
            let backends = lines.iter().map(|(id, kind, state)| Backend {
                endpoint: Endpoint {
                    id: ServerId(*id),
                    machine_type: *kind,
                    state: *state,
                    ..Endpoint::default()
                },
                address: ([127, 0, 0, 1], 1).into(),
            });
            dispatch.update_backends(
                &BackendUpdate {
                    kind,
                    backends: backends.collect(),
                },
                Duration::ZERO,
            );
            (http.0.take(), thrift.0.take())
        };
        // A full list is one for each: what is not in it is gone there too.
        let (h, t) = tell(
            EndpointUpdate::Full,
            &[(1, 0, Ready), (2, 3, Ready), (4, u8::MAX, Ready)],
        );
        assert_eq!(h, [(EndpointUpdate::Full, vec![(1, Ready), (4, Ready)])]);
        assert_eq!(t, [(EndpointUpdate::Full, vec![(2, Ready)])]);
        let (h, t) = tell(
            EndpointUpdate::Incremental,
            &[(1, 3, Draining), (2, 3, Removed)],
        );
        assert_eq!(h, [(EndpointUpdate::Incremental, vec![(1, Removed)])]);
        assert_eq!(
            t,
            [(
                EndpointUpdate::Incremental,
                vec![(1, Draining), (2, Removed)]
            )]
        );
        dispatch.close_idle(ServerId(1));
        dispatch.close_idle(ServerId(4));
        assert_eq!((http.0.take()[0].1[0].0, thrift.0.take()[0].1[0].0), (4, 1));
    }
}
