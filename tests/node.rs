//! The real node over loopback sockets: each test is one failure, seen by a peer.

use sillward_scenarios::peers::*;
use sillward_scenarios::reserved_port::ReservedPort;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A pair of backends that share a script; it is told how many requests came before, at either.
fn pair(script: impl Fn(usize) -> Reply + Send + Sync + 'static) -> (Backend, Backend) {
    let (count, script) = (Arc::new(AtomicUsize::new(0)), Arc::new(script));
    let start = || {
        let (count, script) = (count.clone(), script.clone());
        Backend::start(move |_| script(count.fetch_add(1, Ordering::SeqCst)))
    };
    (start(), start())
}

/// The first attempt ends as the script says, all others are served.
fn first(reply: impl Fn() -> Reply + Send + Sync + 'static) -> (Backend, Backend) {
    pair(move |before| if before == 0 { reply() } else { ok("second") })
}

const LONG: u64 = 20_000;

// ---- Outcomes -----------------------------------------------------------------------------------

#[test]
fn a_request_goes_on_unchanged_and_its_answer_comes_back_unchanged() {
    let backend = Backend::start(|_| {
        Reply::Answer(
            "200 OK",
            "X-Load-Report: inflight=1,queue=0\r\n",
            vec![0, 255, 10],
        )
    });
    let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&backend]);
    let headers = format!("{}Idempotency-Key: 5c0f6e\r\n", common(5000));
    let answer = node
        .client()
        .ask("POST /submit/7f3a?x=1%202", &headers, b"body\0");
    assert_eq!((answer.status(), answer.body), (200, vec![0, 255, 10]));
    let (_, seen) = backend.request();
    assert_eq!(seen.start, "POST /submit/7f3a?x=1%202 HTTP/1.1");
    assert_eq!(
        (seen.body.as_slice(), seen.header("idempotency-key")),
        (&b"body\0"[..], Some("5c0f6e"))
    );
    assert!(headers.contains(seen.header("x-call-id").expect("an id")));
    let budget: u64 = seen
        .header("x-budget-ms")
        .expect("a budget")
        .parse()
        .expect("a number");
    assert!((1..=5000).contains(&budget), "{budget}");
}

#[test]
fn what_may_have_run_is_sent_again_only_if_that_is_safe() {
    let endings: [fn() -> Reply; 6] = [
        || Reply::Answer("500 Oops", "", vec![]),
        // Without X-Rejected nothing is promised.
        || Reply::Answer("503 Busy", "", vec![]),
        || Reply::Break(vec![]),
        || Reply::Break(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        || Reply::Break(b"no HTTP at all\r\n\r\n".to_vec()),
        || Reply::Answer("200 OK", "", vec![b'x'; (32 << 20) + 1]),
    ];
    for (i, ending) in endings.into_iter().enumerate() {
        let (one, two) = first(ending);
        let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&one, &two]);
        let answer = node.client().correct();
        assert!(
            ![200, 429, 503].contains(&answer.status()),
            "case {i}: {answer:?}"
        );
        assert_eq!(one.count() + two.count(), 1, "case {i}");

        let (one, two) = first(ending);
        let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&one, &two]);
        assert_eq!(node.client().read().body, b"second", "case {i}");
    }
}

#[test]
fn what_never_ran_is_sent_again_even_if_it_must_not_run_twice() {
    for status in ["503 Full", "504 Over"] {
        let (one, two) = first(move || Reply::Answer(status, "X-Rejected: 1\r\n", vec![]));
        let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&one, &two]);
        assert_eq!(node.client().correct().body, b"second", "{status}");
    }
    // A backend that refuses connections.
    let gone = ReservedPort::new();
    let backend = Backend::start(|_| ok("here"));
    let (node, mut watch, _discovery) = serving(&settings(LONG, ""), &[]);
    watch.line(&list(
        9,
        true,
        &[
            entry("s-0", gone.address(), "in_service"),
            entry("s-1", backend.address, "in_service"),
        ],
    ));
    for request in 0..8 {
        let answer = node.client().correct();
        assert_eq!(answer.body, b"here", "request {request}: {answer:?}");
    }
}

#[test]
fn a_refusal_says_when_to_come_back() {
    let backend = Backend::start(|_| Reply::Answer("503 Full", "X-Rejected: 1\r\n", vec![]));
    let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&backend]);
    let answer = node.client().correct();
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.header("retry-after"), Some("1.500"));
}

#[test]
fn an_attempt_without_an_answer_ends_in_time_and_closes_its_connection() {
    let backend = Backend::start(|_| Reply::Silence);
    let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&backend]);
    let mut client = node.client();
    let asked = Instant::now();
    let answer = client.ask("POST /correct/1", &common(600), b"sheet");
    assert!(
        asked.elapsed() >= Duration::from_millis(300),
        "it was waited for"
    );
    // It may still run: to refuse it would promise that it never did.
    assert!(![200, 429, 503].contains(&answer.status()), "{answer:?}");
    backend.closed();
}

#[test]
fn a_silent_attempt_is_followed_by_a_copy_and_closed_when_that_is_answered() {
    let silent = Arc::new(AtomicBool::new(false));
    let start = || {
        let silent = silent.clone();
        Backend::start(move |m| {
            if silent.swap(false, Ordering::SeqCst) {
                Reply::Silence
            } else {
                ok(&m.start)
            }
        })
    };
    let (one, two) = (start(), start());
    let (node, _watch, _discovery) =
        serving(&settings(4000, r#","ParallelTries":true"#), &[&one, &two]);
    // Answers first show how fast they come, and so how long an attempt may be silent.
    let mut client = node.client();
    (0..150).for_each(|_| assert_eq!(client.read().status(), 200));
    let before = one.count() + two.count();
    let _ = (one.has_closed(), two.has_closed()); // a slow machine's first answers may have had copies too
    silent.store(true, Ordering::SeqCst);
    assert_eq!(client.read().status(), 200);
    assert!(one.count() + two.count() >= before + 2);
    until(
        || one.has_closed() || two.has_closed(),
        "the end of the silent attempt's connection",
    );
}

#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    let backend = Backend::start(|_| Reply::Silence);
    // Nothing else ends the attempt while the test waits.
    let (node, _watch, _discovery) = serving(&settings(500_000, ""), &[&backend]);
    let mut client = node.client();
    client.send("POST /correct/1", &common(500_000), b"sheet");
    backend.request();
    drop(client);
    backend.closed();
    assert!(node.is_ready());
}

/// Answers that can't be read come from any backend: were each a reason to leave its backend out, soon none
/// would be left.
#[test]
fn an_answer_that_makes_no_sense_does_not_shut_its_backend_out() {
    let nonsense: [&'static [u8]; 4] = [
        b"\x01\xf3 no HTTP\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nfour",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nno\r\n0\r\n\r\n",
    ];
    // Whoever is left out stays so for the length of the test.
    let settings = settings(LONG, "").replace("2000}", r#"2000,"TipAfter":60000}"#);
    for bytes in nonsense {
        let (one, two) = first(move || Reply::Raw(bytes));
        let (node, _watch, _discovery) = serving(&settings, &[&one, &two]);
        let mut client = node.client();
        (0..20).for_each(|_| assert_eq!(client.read().body, b"second"));
        assert!(
            one.count() >= 5 && two.count() >= 5,
            "{} and {}",
            one.count(),
            two.count()
        );
    }
}

/// Connections break under requests at sound backends too. Who can't be reached at all is another matter.
#[test]
fn a_connection_that_breaks_under_a_request_does_not_shut_its_backend_out() {
    let settings = settings(LONG, "").replace("2000}", r#"2000,"TipAfter":60000}"#);
    let (one, two) = first(|| Reply::Break(vec![]));
    let (node, _watch, _discovery) = serving(&settings, &[&one, &two]);
    let mut client = node.client();
    (0..20).for_each(|_| assert_eq!(client.read().body, b"second"));
    assert!(
        one.count() >= 5 && two.count() >= 5,
        "{} and {}",
        one.count(),
        two.count()
    );
}

/// Reports name their fields as the settings do, or as the protocol does. A node that reads none of them sends
/// as much to who is crowded as to who is idle.
#[test]
fn who_reports_that_it_is_idle_is_joined() {
    for (idle, crowded) in [
        (
            "X-Load-Report: concurrent=0,depth=0\r\n",
            "X-Load-Report: concurrent=9.970,depth=5.012\r\n",
        ),
        (
            "X-Load-Report: inflight=0,queue=0\r\n",
            "X-Load-Report: inflight=10,queue=5\r\n",
        ),
    ] {
        let idle = Backend::start(move |_| Reply::Answer("200 OK", idle, vec![]));
        let crowded = Backend::start(move |_| Reply::Answer("200 OK", crowded, vec![]));
        let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&idle, &crowded]);
        let mut client = node.client();
        (0..60).for_each(|_| assert_eq!(client.read().status(), 200));
        assert!(
            idle.count() > 2 * crowded.count(),
            "{} and {}",
            idle.count(),
            crowded.count()
        );
    }
}

// ---- Connections --------------------------------------------------------------------------------

#[test]
fn a_connection_is_used_again_and_closed_before_its_backend_would() {
    let backend = Backend::start(|_| ok(""));
    let (node, _watch, _discovery) = serving(&settings(LONG, r#","IdleClose":2000"#), &[&backend]);
    let mut client = node.client();
    for _ in 0..5 {
        assert_eq!(client.read().status(), 200);
        assert_eq!(backend.request().0, 0);
    }
    assert_eq!(backend.closed(), 0);
    assert_eq!(client.read().status(), 200);
    assert_eq!(backend.request().0, 1);
}

#[test]
fn a_connection_carries_one_request_at_a_time() {
    let (go, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let backend = Backend::start(move |message| {
        if message.start.contains("/correct/") {
            let _ = gate.lock().expect("the gate").recv_timeout(PATIENCE);
        }
        ok("")
    });
    let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&backend]);
    // By answers in time the module learns that the backend can take two at once.
    let mut clients = [node.client(), node.client()];
    for _ in 0..40 {
        assert_eq!(clients[0].read().status(), 200);
        assert_eq!(backend.request().0, 0);
    }
    clients.iter_mut().for_each(Client::send_correct);
    // Which of them is written first is open: the one that is open rests a moment, the other is dialled.
    let mut connections = [backend.request().0, backend.request().0];
    connections.sort_unstable();
    assert_eq!(connections, [0, 1]);
    go.send(())
        .and_then(|()| go.send(()))
        .expect("the backend waits");
    for client in &mut clients {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
}

#[test]
fn what_comes_behind_an_answer_is_no_answer() {
    // A second copy in the same segment, and after a while: the connection is of no more use.
    let copies: [&'static [u8]; 2] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood\0\x01\x02",
    ];
    for bytes in copies {
        let backend = Backend::start(move |_| Reply::Raw(bytes));
        let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&backend]);
        let mut client = node.client();
        for connection in 0..10 {
            assert_eq!(client.correct().body, b"good");
            assert_eq!(backend.request().0, connection);
        }
    }
}

#[test]
fn what_comes_before_an_answer_costs_nothing() {
    let backend = Backend::start(|_| {
        Reply::Raw(
            b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n\
            HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
        )
    });
    let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&backend]);
    (0..3).for_each(|_| assert_eq!(node.client().correct().body, b"good"));
}

/// An answer that ends with its connection may have been cut off.
#[test]
fn an_answer_without_a_length_is_not_taken_for_whole() {
    let (one, two) = first(|| Reply::Break(b"HTTP/1.1 200 OK\r\n\r\nhalf".to_vec()));
    let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&one, &two]);
    assert_eq!(node.client().correct().status(), 502);
    assert_eq!(one.count() + two.count(), 1);
}

#[test]
fn a_connection_that_broke_while_idle_costs_no_request() {
    // Each answer is the connection's last, and nothing says so.
    let backend =
        Backend::start(|_| Reply::Break(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec()));
    let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&backend]);
    for connection in 0..5 {
        assert_eq!(node.client().correct().status(), 200);
        assert_eq!(backend.closed(), connection);
        // Its end is on its way to the node before the next request is.
    }
}

// ---- Discovery ----------------------------------------------------------------------------------

#[test]
fn a_backend_told_to_drain_gets_nothing_new_and_its_idle_connection_closes() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let (node, mut watch, _discovery) = serving(&settings(LONG, ""), &[&old]);
    assert_eq!(node.client().read().body, b"old");
    watch.line(&list(
        9,
        false,
        &[
            entry("s-0", old.address, "terminating"),
            entry("s-1", new.address, "in_service"),
        ],
    ));
    old.closed();
    for _ in 0..10 {
        assert_eq!(node.client().correct().body, b"new");
    }
    assert_eq!(old.count(), 1);
}

#[test]
fn a_backend_that_moves_is_found_at_its_new_address() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let (node, mut watch, _discovery) = serving(&settings(LONG, ""), &[&old]);
    assert_eq!(node.client().read().body, b"old");
    watch.line(&list(9, false, &[entry("s-0", new.address, "in_service")]));
    old.closed();
    assert_eq!(node.client().read().body, b"new");
}

#[test]
fn a_broken_watch_is_taken_up_where_it_broke() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let (node, mut watch, discovery) = serving(&settings(LONG, ""), &[&old]);
    assert!(
        watch.start.contains("stream=1&index=7 "),
        "it starts from the known list: {}",
        watch.start
    );
    watch.line(&list(12, false, &[]));
    node.client().read();
    drop(watch);
    let mut watch = discovery.call();
    assert!(watch.start.contains("index=12 "), "{}", watch.start);
    // It keeps serving from the list it has, and tries again if a call fails.
    assert_eq!(node.client().read().body, b"old");
    watch.write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    let mut watch = discovery.call();
    watch.open();
    watch.line(&list(13, true, &[entry("s-1", new.address, "in_service")]));
    old.closed();
    assert_eq!(node.client().read().body, b"new");
}

#[test]
fn a_node_that_starts_while_discovery_is_down_serves_from_the_list_it_last_had() {
    let backend = Backend::start(|_| ok("known"));
    let down = ReservedPort::new();
    let config = config(down.address(), &settings(LONG, ""), 1024);
    let known = entry("s-0", backend.address, "in_service");
    let node = Node::start(
        &config.replace("\"endpoints\":[]", &format!("\"endpoints\":[{known}]")),
        "",
    );
    until(|| node.is_ready(), "readiness");
    assert_eq!(node.client().read().body, b"known");
}

#[test]
fn a_node_that_knows_no_backend_is_not_ready() {
    let discovery = Discovery::start();
    let node = Node::start(&config(discovery.address, &settings(LONG, ""), 1024), "");
    let mut watch = discovery.call();
    assert!(!node.is_ready());
    watch.open();
    watch.line(&list(8, true, &[]));
    until(|| node.is_ready(), "readiness");
}

#[test]
fn a_silent_watch_is_broken() {
    let backend = Backend::start(|_| ok(""));
    let (_node, watch, discovery) = serving(&settings(LONG, ""), &[&backend]);
    let silent = watch.fall_silent();
    assert!(discovery.call().start.contains("index=8 "));
    drop(silent);
}

#[test]
fn malformed_lists_and_reports_are_dropped_alone() {
    let backend =
        Backend::start(|_| Reply::Answer("200 OK", "X-Load-Report: inflight=many\r\n", vec![]));
    let (node, mut watch, _discovery) = serving(&settings(LONG, ""), &[]);
    watch.line("{\"index\": 9, \"endpoints\": 5}");
    watch.line("\u{1}\u{2}");
    let nowhere =
        r#"{"name":"s-2","address":"nowhere","zone":"a","status":"in_service"}"#.to_owned();
    let strange = entry("s-3", backend.address, "asleep");
    watch.line(&list(
        10,
        true,
        &[
            nowhere,
            strange,
            entry("s-0", backend.address, "in_service"),
        ],
    ));
    assert_eq!(node.client().read().status(), 200);
    node.logged("malformed list");
    node.logged("malformed line");
    node.logged("malformed load report");
}

#[test]
fn where_the_list_must_be_asked_for_it_is_asked_for() {
    let backend = Backend::start(|_| ok(""));
    let asked = settings(LONG, "").replacen('{', r#"{"RegistryMode":"ask","#, 1);
    let asked = asked.replace(
        r#""DrainGrace":2000"#,
        r#""DrainGrace":2000,"MustAskIn":1000"#,
    );
    let discovery = Discovery::start();
    let node = Node::start(&config(discovery.address, &asked, 1024), "");
    discovery
        .call()
        .write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    let mut watch = discovery.call();
    watch.open();
    watch.line(&list(
        8,
        true,
        &[entry("s-0", backend.address, "in_service")],
    ));
    assert_eq!(node.client().read().status(), 200);
}

// ---- New configurations -------------------------------------------------------------------------

#[test]
fn a_new_discovery_address_is_watched_at_once_and_the_list_stays_until_it_tells() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let (node, watch, discovery) = serving(&settings(LONG, ""), &[&old]);
    let elsewhere = Discovery::start();
    // What the file knows is older than the list that the node has: here, that there is no backend.
    node.reload(&config(elsewhere.address, &settings(LONG, ""), 1024));
    let mut next = elsewhere.call();
    assert!(
        next.start.contains("index=0 "),
        "the versions are another's: {}",
        next.start
    );
    assert!(node.is_ready());
    assert_eq!(node.client().read().body, b"old");
    drop((watch, discovery));
    next.open();
    next.line(&list(3, true, &[entry("s-1", new.address, "in_service")]));
    old.closed();
    assert_eq!(node.client().read().body, b"new");
    drop(next);
    assert!(elsewhere.call().start.contains("index=3 "));
}

#[test]
fn a_configuration_that_cannot_be_used_changes_nothing() {
    let backend = Backend::start(|_| ok("here"));
    let (node, mut watch, discovery) = serving(&settings(LONG, ""), &[&backend]);
    node.reload("not JSON");
    node.logged("the configuration stays as it was");
    assert_eq!(node.client().read().body, b"here");
    // The old watch goes on, and a good file is still taken in.
    let moved = Backend::start(|_| ok("there"));
    watch.line(&list(
        9,
        false,
        &[entry("s-0", moved.address, "in_service")],
    ));
    backend.closed();
    assert_eq!(node.client().read().body, b"there");
    let elsewhere = Discovery::start();
    let other = config(elsewhere.address, &settings(LONG + 1, ""), 512).replace("\"n0\"", "\"n1\"");
    node.reload(&other);
    elsewhere.call();
    node.logged("only a restart takes it in: name, limits");
    // And back again, several times in a row.
    (0..5).for_each(|_| node.reload(&other));
    node.reload(&config(discovery.address, &settings(LONG, ""), 1024));
    assert!(discovery.call().start.contains("index=0 "));
}

#[test]
fn where_the_list_must_be_asked_for_it_is_asked_for_at_the_new_address() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let asked = settings(LONG, "").replacen('{', r#"{"RegistryMode":"ask","#, 1);
    let asked = asked.replace(
        r#""DrainGrace":2000"#,
        r#""DrainGrace":2000,"MustAskIn":1000"#,
    );
    let discovery = Discovery::start();
    let node = Node::start(&config(discovery.address, &asked, 1024), "");
    let mut watch = discovery.call();
    watch.open();
    watch.line(&list(8, true, &[entry("s-0", old.address, "in_service")]));
    assert_eq!(node.client().read().body, b"old");
    let elsewhere = Discovery::start();
    node.reload(&config(elsewhere.address, &asked, 1024));
    let mut next = elsewhere.call();
    assert!(next.start.contains("index=0 "), "{}", next.start);
    next.open();
    next.line(&list(2, true, &[entry("s-1", new.address, "in_service")]));
    old.closed();
    assert_eq!(node.client().read().body, b"new");
}

#[test]
fn a_configuration_that_comes_while_the_node_stops_does_not_end_what_it_holds() {
    let (go, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let backend = Backend::start(move |_| {
        let _ = gate.lock().expect("the gate").recv_timeout(PATIENCE);
        ok("held")
    });
    let (mut node, _watch, discovery) = serving(&settings(LONG, ""), &[&backend]);
    let mut held = node.client();
    held.send_correct();
    backend.request();
    node.terminate();
    node.logged("told to stop");
    node.reload(&config(discovery.address, &settings(LONG, ""), 1024));
    node.logged("read again");
    go.send(()).expect("the backend waits");
    assert_eq!(
        held.answer().expect("what was taken is answered").body,
        b"held"
    );
    assert_eq!(node.exit().code(), Some(0));
}

// ---- Start, end and limits ----------------------------------------------------------------------

#[test]
fn a_node_told_to_stop_finishes_what_it_holds_and_goes() {
    let (go, gate) = channel::<()>();
    let gate = Arc::new(Mutex::new(gate));
    // One for each request that is held: a new node sends no two at once to one backend.
    let backends = [0, 1, 2].map(|_| {
        let gate = gate.clone();
        Backend::start(move |_| {
            let _ = gate.lock().expect("the gate").recv_timeout(PATIENCE);
            ok("held")
        })
    });
    let all = || backends.iter().map(Backend::count).sum::<usize>();
    let (mut node, _watch, _discovery) = serving(&settings(LONG, ""), &backends.each_ref());
    let (mut held, mut kept, mut idle) = (node.client(), node.client(), node.client());
    assert_eq!(kept.ask("GET /health/ready", "", b"").status(), 200);
    assert_eq!(idle.ask("GET /health/ready", "", b"").status(), 200);
    held.send_correct();
    until(|| all() == 1, "the request at a backend");
    node.terminate();
    node.logged("told to stop");
    // It still accepts and serves, and says that it goes.
    assert!(!node.is_ready());
    let (mut late, close) = (node.client(), Some("close"));
    late.send_correct();
    kept.send_correct();
    until(|| all() == 3, "all requests at backends");
    (0..3).for_each(|_| go.send(()).expect("the backend waits"));
    for client in [&mut held, &mut late, &mut kept] {
        let answer = client.answer().expect("what was taken is answered");
        assert_eq!((answer.status(), answer.header("connection")), (200, close));
        assert!(client.ended());
    }
    assert!(idle.ended());
    assert_eq!(node.exit().code(), Some(0));
}

#[test]
fn bad_input_is_told_so_and_reaches_no_backend() {
    let backend = Backend::start(|_| ok(""));
    let (node, _watch, _discovery) = serving(&settings(LONG, ""), &[&backend]);
    let good = || common(5000);
    let without = |name: &str| {
        good()
            .split_inclusive("\r\n")
            .filter(|line| !line.starts_with(name))
            .collect::<String>()
    };
    let with = |name: &str, value: &str| format!("{}{name}: {value}\r\n", without(name));
    let key = "Idempotency-Key: 1\r\n";
    let long = "i".repeat(5000);
    let cases: Vec<(&str, String, Vec<u8>)> = vec![
        ("GET /nothing/1", good(), vec![]),
        ("GET /", good(), vec![]),
        ("OPTIONS *", good(), vec![]),
        ("POST /read/1", good(), vec![]),
        ("GET /correct/1", good(), vec![]),
        ("DELETE /read/1", good(), vec![]),
        ("GET /read/1", good(), b"body".to_vec()),
        ("POST /submit/1", good(), vec![]),
        ("GET /read/1", without("X-Call-Id"), vec![]),
        ("GET /read/1", with("X-Call-Id", ""), vec![]),
        ("GET /read/1", with("X-Call-Id", &long), vec![]),
        ("GET /read/1", without("X-Caller"), vec![]),
        ("GET /read/1", with("X-Caller", "nobody"), vec![]),
        ("GET /read/1", without("X-Budget-Ms"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "0"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "-5"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "soon"), vec![]),
        ("GET /read/1", with("X-Budget-Ms", "1e3"), vec![]),
        (
            "GET /read/1",
            with("X-Budget-Ms", "18446744073709551616"),
            vec![],
        ),
        (
            "GET /read/1",
            with("X-Budget-Ms", "18446744073709551615"),
            vec![],
        ),
        ("POST /submit/1", good() + key + key, vec![b'x'; 500]),
    ];
    for (start, headers, body) in cases {
        let answer = node.client().ask(start, &headers, &body);
        let promises = [429, 503].contains(&answer.status());
        assert!(
            (400..500).contains(&answer.status()) && !promises,
            "{start} {headers}: {answer:?}"
        );
    }
    assert_eq!(backend.count(), 0);
    // The longest body that is allowed.
    let answer = node
        .client()
        .ask("POST /correct/1", &good(), &vec![b'x'; 32 << 20]);
    assert_eq!(
        (answer.status(), backend.request().1.body.len()),
        (200, 32 << 20)
    );
}

#[test]
fn idle_clients_make_room_for_new_ones() {
    let backend = Backend::start(|_| ok(""));
    // 52 descriptors, 48 of them spared: two connections for each side.
    let (node, _watch, _discovery) = serving_with(&settings(LONG, ""), &[&backend], 52, "");
    let mut clients = Vec::new();
    for _ in 0..20 {
        let mut client = node.client();
        assert_eq!(client.read().status(), 200);
        clients.push(client);
    }
    assert!(clients[0].ended());
}

#[test]
fn who_waits_to_come_in_takes_the_place_of_the_first_to_fall_idle() {
    let (go, gate) = channel::<()>();
    let gate = Arc::new(Mutex::new(gate));
    let backends = [0, 1].map(|_| {
        let gate = gate.clone();
        Backend::start(move |message| {
            if message.start.contains("/correct/") {
                let _ = gate.lock().expect("the gate").recv_timeout(PATIENCE);
            }
            ok("")
        })
    });
    let (node, _watch, _discovery) =
        serving_with(&settings(LONG, ""), &backends.each_ref(), 52, "");
    let mut busy = [node.client(), node.client()];
    busy.iter_mut().for_each(Client::send_correct);
    until(
        || backends.iter().map(Backend::count).sum::<usize>() == 2,
        "both requests at backends",
    );
    let mut waiting = node.client();
    waiting.send("GET /health/ready", "", b"");
    // The first answer frees no connection, it only leaves one idle.
    go.send(()).expect("a backend waits");
    assert_eq!(waiting.answer().expect("an answer").status(), 200);
    go.send(()).expect("the other waits");
    for client in &mut busy {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
}

#[test]
fn a_node_out_of_descriptors_serves_on_when_some_are_free_again() {
    let backend = Backend::start(|_| ok(""));
    let (node, _watch, _discovery) =
        serving_with(&settings(LONG, ""), &[&backend], 1024, "ulimit -n 30; ");
    let crowd: Vec<Client> = (0..60).map(|_| node.client()).collect();
    node.logged("cannot accept");
    drop(crowd);
    until(
        || node.client().read().status() == 200,
        "service after the crowd",
    );
}

#[test]
fn a_bad_configuration_is_told_in_one_line() {
    let good = config(
        "127.0.0.1:1".parse().expect("an address"),
        &settings(LONG, ""),
        1024,
    );
    let cases = [
        "not JSON".to_owned(),
        "{}".to_owned(),
        good.replace("127.0.0.1:0", "somewhere"),
        good.replace("8c1f30d27a5be964", "seed"),
        good.replace(r#""sockets":1024"#, r#""sockets":10"#),
        good.replace("free", "sometimes"),
        good.replace(r#""Name":"correct""#, r#""Name":"read""#),
    ];
    for config in cases {
        let output = command(&config, "").0.output().expect("it runs");
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{config}");
        assert!(
            said.starts_with("sillward: bad configuration: ") && said.lines().count() == 1,
            "{said}"
        );
    }
}
