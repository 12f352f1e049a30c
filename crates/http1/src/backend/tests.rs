use super::*;
use sillward_balancer::{Endpoint, EndpointUpdate, RequestId, ServerState};
use sillward_forwarding::{Call, CallProgress, LiveSettings};
use sillward_pool::ConnectionLimit;
use sillward_runtime::Clock;
use sillward_runtime::net::TcpListener;
use sillward_runtime::task::block_on;

const SITE: &[u8] =
    br#"{"Classes":[{"Name":"submit","Target":1,"GiveUp":1,"Idempotency":"free"}]}"#;
const SERVER: ServerId = ServerId(1);
const MINUTE: Duration = Duration::from_secs(60);

/// Makes an attempt that something has overtaken since it was decided on; returns how it ended and what
/// its backend was sent.
fn overtaken(
    by: impl FnOnce(&Pool<Http1>, &mut Attempt, BackendUpdate, Duration),
) -> (Outcome, String) {
    block_on(async {
        let listener = TcpListener::bind(([127, 0, 0, 1], 0).into())
            .await
            .expect("a port");
        let terms = PoolTimeouts {
            idle_timeout: MINUTE,
            connect_timeout: MINUTE,
            drain_grace: Duration::ZERO,
        };
        let pool = Pool::start(Clock::start(), Http1, terms, ConnectionLimit::new(10));
        let entry = Endpoint {
            id: SERVER,
            state: ServerState::Ready,
            ..Endpoint::default()
        };
        let address = listener.local_addr().expect("its address");
        let news = |kind| BackendUpdate {
            kind,
            backends: vec![sillward_forwarding::Backend {
                endpoint: entry,
                address,
            }],
        };
        pool.update_backends(&news(EndpointUpdate::Full), pool.clock.now());
        let now = pool.clock.now();
        let call = Rc::into_inner(empty(now)).expect("nobody else's");
        let (deadline, call) = (now + MINUTE, Rc::new(call));
        let mut attempt = Attempt {
            id: RequestId(1),
            number: 0,
            server: SERVER,
            deadline,
            call,
            response_started: Cell::default(),
        };
        by(&pool, &mut attempt, news(EndpointUpdate::Incremental), now);
        let (_stop, stopped) = oneshot::channel();
        let served = spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("a dial");
            let mut sent = [0; 15];
            let read = Stream::new(stream)
                .0
                .read(&mut sent)
                .await
                .unwrap_or_default();
            String::from_utf8_lossy(&sent[..read]).into_owned()
        });
        let reports = LoadReportParser::new(LiveSettings::new(
            sillward_balancer::settings::parse(SITE).expect("settings"),
        ));
        let backends = BackendClient::new(
            pool.clone(),
            MemoryBudget::new(1 << 20),
            reports,
            Counters::new(),
        );
        let ended = backends.attempt(attempt, stopped).await;
        pool.close_idle(SERVER);
        (ended.outcome, served.await.expect("the backend's part"))
    })
    .expect("a runtime")
}

#[test]
fn an_attempt_that_nothing_has_overtaken_is_written() {
    assert_eq!(
        overtaken(|_, _, _, _| {}),
        (Outcome::Reset, "POST /submit/1 ".to_owned())
    );
}

#[test]
fn what_was_overtaken_while_it_waited_for_a_connection_is_never_sent() {
    let nothing = || (Outcome::NotSent, String::new());
    let late = overtaken(|_, attempt, _, now| attempt.deadline = now);
    assert_eq!(late, nothing(), "its time is over");
    let gone = |call: Rc<Call>| {
        let mut call = Rc::into_inner(call).expect("nobody else's");
        call.client_check = Some(Rc::new(|| false));
        Rc::new(call)
    };
    let left = overtaken(|_, attempt, _, now| {
        let call = std::mem::replace(&mut attempt.call, empty(now));
        attempt.call = gone(call);
    });
    assert_eq!(
        left,
        nothing(),
        "its client has gone while its connection was dialled"
    );
    let over = overtaken(|_, attempt, _, _| attempt.call.progress.finished.set(true));
    assert_eq!(over, nothing(), "the request has its answer");
    let forgotten = overtaken(|_, attempt, _, now| {
        attempt
            .call
            .progress
            .first_sent_at
            .set(Some(now - 2 * MINUTE))
    });
    assert_eq!(
        forgotten,
        nothing(),
        "backends have forgotten the first attempt of a keyed request"
    );
    let drained = overtaken(|pool, _, mut news, now| {
        news.backends[0].endpoint.state = ServerState::Draining;
        pool.update_backends(&news, now);
    });
    assert_eq!(
        drained,
        nothing(),
        "the grace after the news of a drain is over"
    );
}

/// A call of no bytes.
fn empty(now: Duration) -> Rc<Call> {
    Rc::new(Call {
        class: 0,
        safe: false,
        target: Bytes::from_static(b"/submit/1"),
        call_id: Bytes::from_static(b"1"),
        idempotency_key: None,
        payload: Payload::plain(Bytes::new()),
        streaming_body: None,
        response_validator: None,
        expects_response: true,
        client_check: None,
        deadline: Cell::new(now + MINUTE),
        idempotency_window: Some(MINUTE),
        progress: CallProgress::default(),
    })
}
