//! Dispatch between back-end protocols.

use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{Endpoint, EndpointUpdate, ServerId, ServerState};
use sillward_forwarding::{
    Attempt, AttemptResult, Backend, BackendProtocol, BackendUpdate, HealthCheckResponse,
    LocalBoxFuture, ProtocolDispatcher, StopReason,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The machine type of backends that speak Thrift.
const THRIFT_MACHINE_TYPE: u8 = 3;

/// The kind of an endpoint update, and the IDs and states of its backends.
type Update = (EndpointUpdate, Vec<(u64, ServerState)>);

/// Records the updates that it receives, and each `close_idle` as a failed update.
#[derive(Default)]
struct RecordingProtocol(RefCell<Vec<Update>>);

impl BackendProtocol for RecordingProtocol {
    fn attempt(
        self: Rc<Self>,
        _: Attempt,
        _: oneshot::Receiver<StopReason>,
    ) -> LocalBoxFuture<AttemptResult> {
        unreachable!("no attempt is made")
    }

    fn health_check(self: Rc<Self>, _: ServerId) -> LocalBoxFuture<HealthCheckResponse> {
        unreachable!("no health check is made")
    }

    fn update_backends(&self, update: &BackendUpdate, _: Duration) {
        let backends = update
            .backends
            .iter()
            .map(|backend| (backend.endpoint.id.0, backend.endpoint.state))
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

fn backend(id: u64, machine_type: u8, state: ServerState) -> Backend {
    Backend {
        endpoint: Endpoint {
            id: ServerId(id),
            machine_type,
            state,
            ..Endpoint::default()
        },
        address: ([127, 0, 0, 1], 1).into(),
    }
}

#[test]
fn notifies_each_protocol_of_its_backends_and_of_those_that_change_protocol() {
    use ServerState::{Draining, Ready, Removed};
    let http = Rc::new(RecordingProtocol::default());
    let thrift = Rc::new(RecordingProtocol::default());
    let dispatch =
        ProtocolDispatcher::new(http.clone(), vec![(THRIFT_MACHINE_TYPE, thrift.clone())]);
    let update = |kind, backends: Vec<Backend>| {
        dispatch.update_backends(&BackendUpdate { kind, backends }, Duration::ZERO);
        (http.0.take(), thrift.0.take())
    };

    // Each protocol gets a full list of its own backends, and removes those that are missing from it.
    let (to_http, to_thrift) = update(
        EndpointUpdate::Full,
        vec![
            backend(1, 0, Ready),
            backend(2, THRIFT_MACHINE_TYPE, Ready),
            backend(4, u8::MAX, Ready),
        ],
    );
    assert_eq!(
        to_http,
        [(EndpointUpdate::Full, vec![(1, Ready), (4, Ready)])]
    );
    assert_eq!(to_thrift, [(EndpointUpdate::Full, vec![(2, Ready)])]);

    let (to_http, to_thrift) = update(
        EndpointUpdate::Incremental,
        vec![
            backend(1, THRIFT_MACHINE_TYPE, Draining),
            backend(2, THRIFT_MACHINE_TYPE, Removed),
        ],
    );
    assert_eq!(to_http, [(EndpointUpdate::Incremental, vec![(1, Removed)])]);
    assert_eq!(
        to_thrift,
        [(
            EndpointUpdate::Incremental,
            vec![(1, Draining), (2, Removed)]
        )]
    );

    dispatch.close_idle(ServerId(1));
    dispatch.close_idle(ServerId(4));
    let closed = (http.0.take()[0].1[0].0, thrift.0.take()[0].1[0].0);
    assert_eq!(closed, (4, 1));
}
