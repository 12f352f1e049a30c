//! Attempts whose conditions change between the decision to make them and the moment when their request could be sent.

use bytes::Bytes;
use sillward_balancer::{
    Endpoint, EndpointUpdate, Outcome, RequestId, ServerId, ServerState, settings,
};
use sillward_forwarding::{
    Attempt, Backend, BackendProtocol, BackendUpdate, Call, LiveSettings, LoadReportParser,
    MemoryBudget, Payload,
};
use sillward_http1::{BackendClient, Http1};
use sillward_metrics::Counters;
use sillward_pool::{ConnectionLimit, Pool, PoolTimeouts};
use sillward_runtime::net::TcpListener;
use sillward_runtime::task::{block_on, spawn_local};
use sillward_runtime::{Clock, Stream};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

const SETTINGS: &[u8] =
    br#"{"Classes":[{"Name":"submit","Target":1,"GiveUp":1,"Idempotency":"free"}]}"#;
const SERVER: ServerId = ServerId(1);
const MINUTE: Duration = Duration::from_secs(60);

/// Makes an attempt after `change` was applied to it or to the pool. Returns its outcome and what its backend received.
fn outcome_and_received_bytes(
    change: impl FnOnce(&Pool<Http1>, &mut Attempt, BackendUpdate, Duration),
) -> (Outcome, String) {
    block_on(async {
        let listener = TcpListener::bind(([127, 0, 0, 1], 0).into())
            .await
            .expect("bind the listener");
        let timeouts = PoolTimeouts {
            idle_timeout: MINUTE,
            connect_timeout: MINUTE,
            drain_grace: Duration::ZERO,
        };
        let pool = Pool::start(Clock::start(), Http1, timeouts, ConnectionLimit::new(10));
        let endpoint = Endpoint {
            id: SERVER,
            state: ServerState::Ready,
            ..Endpoint::default()
        };
        let address = listener.local_addr().expect("the listener's address");
        let update = |kind| BackendUpdate {
            kind,
            backends: vec![Backend { endpoint, address }],
        };
        pool.update_backends(&update(EndpointUpdate::Full), pool.clock.now());
        let now = pool.clock.now();
        let mut attempt = Attempt {
            id: RequestId(1),
            number: 0,
            server: SERVER,
            deadline: now + MINUTE,
            call: Rc::new(empty_call(now)),
            response_started: Cell::default(),
        };
        change(
            &pool,
            &mut attempt,
            update(EndpointUpdate::Incremental),
            now,
        );
        let (_stop, stopped) = oneshot::channel();
        let backend = spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("accept a connection");
            let mut received = [0; 15];
            let count = Stream::new(stream)
                .0
                .read(&mut received)
                .await
                .unwrap_or_default();
            String::from_utf8_lossy(&received[..count]).into_owned()
        });
        let load_reports = LoadReportParser::new(LiveSettings::new(
            settings::parse(SETTINGS).expect("valid settings"),
        ));
        let client = BackendClient::new(
            pool.clone(),
            MemoryBudget::new(1 << 20),
            load_reports,
            Counters::new(),
        );
        let result = client.attempt(attempt, stopped).await;
        pool.close_idle(SERVER);
        (result.outcome, backend.await.expect("the backend's task"))
    })
    .expect("start the runtime")
}

fn not_sent() -> (Outcome, String) {
    (Outcome::NotSent, String::new())
}

/// A call without a body.
fn empty_call(now: Duration) -> Call {
    Call {
        class: 0,
        safe: false,
        target: Bytes::from_static(b"/submit/1"),
        call_id: Bytes::from_static(b"1"),
        idempotency_key: None,
        payload: Payload::plain(Bytes::new()),
        streaming_body: None,
        response_validator: None,
        expects_response: true,
        client_connected_check: None,
        deadline: Cell::new(now + MINUTE),
        idempotency_window: Some(MINUTE),
        progress: Rc::default(),
    }
}

#[test]
fn sends_an_attempt_whose_conditions_are_unchanged() {
    assert_eq!(
        outcome_and_received_bytes(|_, _, _, _| {}),
        (Outcome::Reset, "POST /submit/1 ".to_owned())
    );
}

#[test]
fn does_not_send_after_the_attempts_deadline() {
    let late = outcome_and_received_bytes(|_, attempt, _, now| attempt.deadline = now);
    assert_eq!(late, not_sent());
}

#[test]
fn does_not_send_once_the_client_has_disconnected() {
    let disconnected = outcome_and_received_bytes(|_, attempt, _, now| {
        let mut call = empty_call(now);
        call.client_connected_check = Some(Rc::new(|| false));
        attempt.call = Rc::new(call);
    });
    assert_eq!(disconnected, not_sent());
}

#[test]
fn does_not_send_once_the_call_has_its_final_response() {
    let finished =
        outcome_and_received_bytes(|_, attempt, _, _| attempt.call.progress.finished.set(true));
    assert_eq!(finished, not_sent());
}

#[test]
fn does_not_send_after_the_idempotency_window() {
    let expired = outcome_and_received_bytes(|_, attempt, _, now| {
        let first_sent_at = Some(now - 2 * MINUTE);
        attempt.call.progress.first_sent_at.set(first_sent_at);
    });
    assert_eq!(expired, not_sent());
}

#[test]
fn does_not_send_after_the_drain_grace() {
    let drained = outcome_and_received_bytes(|pool, _, mut update, now| {
        update.backends[0].endpoint.state = ServerState::Draining;
        pool.update_backends(&update, now);
    });
    assert_eq!(drained, not_sent());
}
