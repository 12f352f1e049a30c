//! A process that is told to end gives each request that it accepted its response before it exits, and rejects in time what
//! it could not answer. Each test holds something back across SIGTERM.

use sillward_scenarios::held_request::HeldRequest;
use sillward_scenarios::peers::*;
use sillward_scenarios::tally::{self, BINARY, Caller, End, Tally, origin};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// The latency objective and the deadline of each class. The process exits 1.55 s after SIGTERM at the latest.
const DEADLINE_MS: u64 = 1000;
/// Well after SIGTERM, and so late that the deadline of a request is beyond the exit.
const LATE: Duration = Duration::from_millis(800);
/// How long a Thrift call takes.
const CALL_TIME: Duration = Duration::from_millis(120);
/// A body that is read whole before its request is submitted, and one that is forwarded as it comes.
const BODIES: [usize; 2] = [5_000, 300_000];
/// The part of a body that a client holds back.
const HELD_BYTES: usize = 100;

/// A node before a backend that reads corrections and never answers them.
fn with_silent_backend(settings: &str) -> (Node, Watch, Discovery, Backend) {
    let backend = Backend::start(|message| match message.start.contains("/correct/") {
        true => Reply::Silence,
        false => ok("figure"),
    });
    let (node, watch, discovery) = serving_operators(settings, &[&backend]);
    (node, watch, discovery, backend)
}

fn hold(node: &Node, length: usize) -> HeldRequest {
    let part = (length - HELD_BYTES, length);
    HeldRequest::send(node, "correct", DEADLINE_MS, "", part)
}

/// Whether a request that may have run has its response: it is neither served nor rejected.
fn assert_failed(status: Option<u16>) {
    assert!(matches!(status, Some(502 | 504)), "{status:?}");
}

/// Guards against an exit over requests whose last byte came late: a backend ran them, and their clients got no response.
#[test]
fn a_request_that_is_whole_late_in_the_shutdown_has_its_response_before_the_exit() {
    for length in BODIES {
        let (mut node, _watch, _discovery, backend) =
            with_silent_backend(&settings(DEADLINE_MS, ""));
        let held = hold(&node, length);
        node.terminate();
        std::thread::sleep(LATE);
        let held = held.finish();
        let (_, message) = backend.request();
        assert_eq!(message.body.len(), length, "the backend has all of it");
        assert_failed(held.status());
        assert!(node.exit().success());
    }
}

/// Guards against bodies that are read until the exit: their clients learn nothing, and no backend may run them.
#[test]
fn a_body_that_comes_too_late_for_a_response_is_rejected_in_time_and_runs_nowhere() {
    for length in BODIES {
        let (mut node, _watch, _discovery, backend) =
            with_silent_backend(&settings(DEADLINE_MS, ""));
        let held = hold(&node, length);
        node.terminate();
        assert_eq!(held.status(), Some(503), "a body of {length} bytes");
        assert!(node.exit().success());
        assert!(backend.requests_so_far().is_empty(), "it never ran");
    }
}

/// Guards against requests that outlive the process since their client waits longer than any deadline of the settings.
#[test]
fn a_request_whose_client_waits_longer_than_the_shutdown_lasts_is_answered_before_the_exit() {
    let late_counts = settings(DEADLINE_MS, "").replace("\"GiveUp\"", "\"LateWorth\":1,\"GiveUp\"");
    let (mut node, _watch, _discovery, backend) = with_silent_backend(&late_counts);
    let mut client = node.client();
    client.send("POST /correct/1", &common(20 * DEADLINE_MS), b"sheet");
    backend.request();
    node.terminate();
    let answer = client.answer().expect("a response before the exit");
    assert_failed(Some(answer.status()));
    assert!(node.exit().success());
}

/// Guards against a shutdown that new signals prolong or cut short.
#[test]
fn further_signals_do_not_move_the_end_of_a_shutdown() {
    let (mut node, _watch, discovery, backend) = with_silent_backend(&settings(DEADLINE_MS, ""));
    let held = hold(&node, BODIES[0]);
    node.terminate();
    node.reload(&config_operated(
        discovery.address,
        &settings(60 * DEADLINE_MS, ""),
    ));
    std::thread::sleep(LATE);
    node.terminate();
    let told = Instant::now();
    let held = held.finish();
    backend.request();
    assert_failed(held.status());
    assert!(node.exit().success());
    assert!(told.elapsed() < Duration::from_millis(2 * DEADLINE_MS));
}

/// Guards against Thrift sessions that never fall idle: the process exited over the calls that they had open.
#[test]
fn a_thrift_session_that_is_never_idle_gets_a_reply_to_each_call_before_the_exit() {
    let tally = Tally::start(BINARY, |_| {
        std::thread::sleep(CALL_TIME);
        tally::ok("counted")
    });
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(DEADLINE_MS, ""), 1024);
    let entries = [entry_of("t", "t-0", tally.address, "in_service")];
    let operator = tally::operator("binary", "");
    let (mut node, _watch, _discovery) = serving_operator(&config, discovery, &operator, &entries);
    let mut caller = Caller::connect(node.thrift.expect("a Thrift listener"), BINARY);
    let call = |caller: &mut Caller| {
        let frame = caller.frame("Tally:read", &[origin("1f", "", DEADLINE_MS as i64)]);
        caller.write(&frame).is_ok()
    };
    // Three calls are open at any time, and no two of them end at once. Those that are written as the connection closes are
    // never read.
    for _ in 0..3 {
        assert!(call(&mut caller));
        std::thread::sleep(CALL_TIME / 3);
    }
    let (mut served, mut rejected) = (0, 0);
    while let Ok(Some(answer)) = caller.answer() {
        match answer.end() {
            End::Served => served += 1,
            End::Refused => rejected += 1,
            other => panic!("{other:?}: {answer:?}"),
        }
        if served == 1 && rejected == 0 {
            node.terminate();
        }
        let _ = call(&mut caller); // fails once the connection is closed
    }
    assert!(node.exit().success());
    assert_eq!(
        tally.count(),
        served,
        "each call that ran has its reply; {rejected} were rejected"
    );
}

/// Guards against a process that waits to take another's place, can't serve yet, and never ends when it is told to.
#[test]
fn a_process_that_waits_to_take_the_place_of_another_ends_when_it_is_told_to() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(DEADLINE_MS, ""), 1024)
        .replace("127.0.0.1:0", &address);
    let mut node = Node::inheriting(&listener, &config, &[]);
    let unanswered = discovery.call();
    node.terminate();
    assert!(node.exit().success());
    drop(unanswered);
}
