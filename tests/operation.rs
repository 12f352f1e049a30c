//! Daily operation over loopback sockets: what operators call, read and change while the node serves.

use sillward_scenarios::peers::*;
use sillward_scenarios::platform::Platform;
use sillward_scenarios::reserved_port::ReservedPort;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const LONG: u64 = 20_000;
/// What operators are promised.
const A_SECOND: Duration = Duration::from_secs(1);

// ---- Operators' front ---------------------------------------------------------------------------

#[test]
fn operators_calls_are_answered_and_others_are_told_why_not() {
    let backend = Backend::start(|_| ok(""));
    let (node, _watch, _discovery) = serving_operators(&settings(LONG, ""), &[&backend]);
    assert_eq!(node.operate("GET /control/ready").0, 200);
    assert_eq!(node.operate("GET /control/counters").0, 200);
    assert_eq!(node.operate("POST /control/out-of-service").0, 200);
    assert_eq!(
        node.operate("POST /control/out-of-service").0,
        200,
        "twice is as good as once"
    );
    assert_eq!(node.operate("POST /control/in-service").0, 200);
    for (call, status) in [
        ("POST /control/ready", 405),
        ("GET /control/out-of-service", 405),
        ("GET /control", 404),
        ("GET /read/1", 404),
        ("GET /health/ready", 404),
    ] {
        assert_eq!(node.operate(call).0, status, "{call}");
    }
    // One call a connection.
    let mut client = Client::connect(node.admin.expect("a listener for operators"));
    assert_eq!(client.ask("GET /control/ready", "", b"").status(), 200);
    assert!(client.ended());
    // And nothing of it where clients come.
    assert_eq!(
        node.client()
            .ask("GET /control/ready", &common(1000), b"")
            .status(),
        404
    );
}

#[test]
fn a_process_that_knows_no_backend_is_not_ready() {
    let discovery = Discovery::start();
    let node = Node::start(&config_operated(discovery.address, &settings(LONG, "")), "");
    assert_eq!(node.operate("GET /control/ready").0, 503);
    let mut watch = discovery.call();
    watch.open();
    watch.line(&list(8, true, &[]));
    until(|| node.operate("GET /control/ready").0 == 200, "a list");
}

/// More than there are places for: each says nothing, or half a head, for as long as it is let.
#[test]
fn callers_who_finish_no_call_keep_no_other_out() {
    let backend = Backend::start(|_| ok(""));
    let (node, _watch, _discovery) = serving_operators(&settings(LONG, ""), &[&backend]);
    let address = node.admin.expect("a listener for operators");
    let mut idle: Vec<_> = (0..80).map(|_| Client::connect(address)).collect();
    idle.iter_mut()
        .step_by(2)
        .for_each(|client| client.write(b"GET /control/ready HTTP/1.1\r\nHo"));
    for _ in 0..5 {
        let asked = Instant::now();
        assert_eq!(node.operate("GET /control/ready").0, 200);
        assert!(asked.elapsed() < A_SECOND, "{:?}", asked.elapsed());
    }
    assert!(idle.iter_mut().all(Client::ended), "none is kept for good");
}

// ---- Out of service -----------------------------------------------------------------------------

#[test]
fn out_of_service_empties_the_node_and_back_in_service_it_is_ready_at_once() {
    let backend = Backend::start(|_| ok(""));
    let (node, _watch, _discovery) = serving_operators(&settings(LONG, ""), &[&backend]);
    let (mut asks, mut idle, mut half) = (node.client(), node.client(), node.client());
    assert_eq!((asks.read().status(), idle.read().status()), (200, 200));
    let head = format!("GET /read/1 HTTP/1.1\r\nHost: s\r\n{}", common(LONG));
    half.write(head.as_bytes());
    assert_eq!(node.operate("POST /control/out-of-service").0, 200);
    assert!(!node.is_ready(), "the front hears it at once");
    // Who still asks is served, and learns that it is the last time.
    let answer = asks.read();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(asks.ended() && idle.ended(), "idle connections close");
    half.write(b"\r\n");
    let answer = half.answer().expect("an answer to what had begun");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(!node.is_ready(), "health checks go on getting their no");
    assert_eq!(
        node.operate("GET /control/ready").0,
        200,
        "the process itself can serve"
    );
    assert_eq!(node.operate("POST /control/in-service").0, 200);
    assert!(node.is_ready());
    let mut client = node.client();
    let answers = [client.read(), client.read()];
    assert!(
        answers
            .iter()
            .all(|answer| answer.status() == 200 && answer.header("connection").is_none())
    );
}

#[test]
fn told_to_end_while_out_of_service_it_ends_and_does_not_come_back() {
    let backend = Backend::start(|_| Reply::Silence);
    let (mut node, _watch, _discovery) = serving_operators(&settings(3000, ""), &[&backend]);
    let mut client = node.client();
    client.send_correct();
    backend.request();
    assert_eq!(node.operate("POST /control/out-of-service").0, 200);
    node.terminate();
    node.logged("told to stop");
    assert_eq!(node.operate("POST /control/in-service").0, 409);
    assert_eq!(node.operate("GET /control/ready").0, 503);
    assert!(client.answer().is_some(), "what was taken is answered");
    assert!(node.exit().success());
}

// ---- Counters -----------------------------------------------------------------------------------

#[test]
fn counters_say_what_clients_and_backends_saw() {
    let count = Arc::new(AtomicUsize::new(0));
    let backend = Backend::start(move |message| {
        let before = count.fetch_add(1, Ordering::SeqCst);
        match message.start.split('/').nth(1) {
            Some("read") if before % 5 == 0 => Reply::Answer("500 Oops", "", vec![]),
            Some("submit") => Reply::Answer("503 Full", "X-Rejected: 1\r\n", vec![]),
            Some("correct") => Reply::Break(b"HTTP/1.1 2".to_vec()),
            _ => ok("figure"),
        }
    });
    let (node, _watch, _discovery) = serving_operators(&settings(LONG, ""), &[&backend]);
    let mut saw = std::collections::BTreeMap::new();
    let mut note = |class: &str, status: u16| {
        let end = match status {
            200 => "passed",
            429 | 503 => "dropped",
            _ => "bad_gateway",
        };
        *saw.entry(format!("node.handled.{class}.{end}"))
            .or_insert(0) += 1;
    };
    for _ in 0..20 {
        note("read", node.client().read().status());
    }
    for _ in 0..5 {
        let headers = format!("{}Idempotency-Key: 5c0f6e\r\n", common(LONG));
        note(
            "submit",
            node.client()
                .ask("POST /submit/1", &headers, b"sheet")
                .status(),
        );
        note("correct", node.client().correct().status());
    }
    // What the front answers by itself counts too: a body that never comes whole.
    let mut client = node.client();
    let head = format!(
        "POST /correct/1 HTTP/1.1\r\n{}Content-Length: 9\r\n\r\nhalf",
        common(LONG)
    );
    client.write(head.as_bytes());
    note("correct", client.answer().expect("an error").status());
    for class in ["read", "submit", "correct"] {
        for end in ["passed", "dropped", "bad_gateway"] {
            let name = format!("node.handled.{class}.{end}");
            assert_eq!(
                node.figure(&name),
                saw.get(&name).copied().unwrap_or(0),
                "{name}"
            );
        }
    }
    assert_eq!(node.figure("node.upstream_tries"), backend.count() as u64);
    assert_eq!(node.figure("node.in_progress"), 0);
    assert_eq!(node.figure("node.known_backends"), 1);
}

#[test]
fn a_request_is_in_progress_until_its_answer_or_its_clients_end() {
    let silent = Backend::start(|_| Reply::Silence);
    let gone = ReservedPort::new();
    let (node, mut watch, _discovery) = serving_operators(&settings(LONG, ""), &[&silent]);
    let mut clients: Vec<_> = (0..3).map(|_| node.client()).collect();
    clients.iter_mut().for_each(Client::send_correct);
    until(|| node.figure("node.in_progress") == 3, "three requests");
    drop(clients);
    until(|| node.figure("node.in_progress") == 0, "no request");
    // Who can't be reached is skipped; who drains is listed still, and leaves as it should.
    watch.line(&list(
        9,
        true,
        &[
            entry("s-1", gone.address(), "in_service"),
            entry("s-2", silent.address, "terminating"),
        ],
    ));
    until(|| node.figure("node.known_backends") == 2, "the list");
    assert_eq!(node.figure("node.skipped_backends"), 0);
    // Once may be chance, twice with no answer in between is not.
    let _ = node.client().read();
    assert_eq!(node.figure("node.skipped_backends"), 0);
    let _ = node.client().read();
    until(
        || node.figure("node.skipped_backends") == 1,
        "the backend that is gone",
    );
}

// ---- Settings that change -----------------------------------------------------------------------

#[test]
fn new_settings_are_taken_under_load_and_requests_under_way_keep_their_class() {
    let (go, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let backend = Backend::start(move |message| {
        if message.start.contains("/correct/held") {
            let _ = gate.lock().expect("the gate").recv_timeout(PATIENCE);
        }
        ok("figure")
    });
    let first = settings(LONG, "");
    let (node, _watch, discovery) = serving_operators(&first, &[&backend]);
    let mut held = node.client();
    held.send("POST /correct/held", &common(LONG), b"sheet");
    backend.request();
    // `correct` vanishes, `late` appears, and the order is another's.
    let at = first.find(r#"{"Name":"correct""#).expect("a class");
    let end = at + first[at..].find('}').expect("its end") + 1;
    let late = r#"{"Name":"late","Target":20000,"GiveUp":20000,"Idempotency":"free","Group":"zone","Window":60000}"#;
    let without = format!("{}{}", &first[..at - 1], &first[end..]);
    let second = without.replacen(r#""Classes":["#, &format!(r#""Classes":[{late},"#), 1);
    let ask = |class: &str| {
        node.client()
            .ask(&format!("GET /{class}/1"), &common(LONG), b"")
            .status()
    };
    assert_eq!(ask("late"), 404);
    node.reload(&config_operated(discovery.address, &second));
    until(|| node.figure("node.loads") == 1, "the new settings");
    assert_eq!(
        (ask("late"), ask("read"), node.client().correct().status()),
        (200, 200, 404)
    );
    go.send(()).expect("the backend waits");
    assert_eq!(
        held.answer().expect("what was taken is answered").body,
        b"figure"
    );
    assert_eq!(node.figure("node.handled.correct.passed"), 1);
    assert_eq!(node.figure("node.handled.late.passed"), 1);
    // And back: it is the same class.
    node.reload(&config_operated(discovery.address, &first));
    until(|| node.figure("node.loads") == 2, "the first settings");
    assert_eq!((ask("late"), node.client().correct().status()), (404, 200));
    assert_eq!(node.figure("node.handled.correct.passed"), 2);
    assert_eq!(node.figure("node.load_errors"), 0);
}

/// Guards against a keyed class whose requests are repeated in any zone, because its group was lost and another class has none.
#[test]
fn a_keyed_class_without_its_group_is_refused() {
    const GROUP: &str = r#""Group":"zone","#;
    let backend = Backend::start(|_| ok("figure"));
    let first = settings(LONG, "").replacen(GROUP, "", 1);
    let (node, _watch, discovery) = serving_operators(&first, &[&backend]);
    node.reload(&config_operated(
        discovery.address,
        &first.replacen(GROUP, "", 1),
    ));
    node.logged("it lacks settings.Classes[1].Group");
    assert_eq!(node.figure("node.load_errors"), 1);
    assert_eq!(node.figure("node.loads"), 0);
    node.reload(&config_operated(discovery.address, &first));
    until(|| node.figure("node.loads") == 1, "a good file");
}

#[test]
fn broken_settings_change_nothing_and_are_counted() {
    let backend = Backend::start(|_| ok("figure"));
    let first = settings(LONG, "");
    let (node, _watch, discovery) = serving_operators(&first, &[&backend]);
    let elsewhere = Discovery::start();
    let other = config_operated(elsewhere.address, &first.replace("\"read\"", "\"renamed\""));
    let broken = [
        String::new(),
        other[..other.len() / 2].to_owned(),
        other.replacen(r#""GiveUp":20000,"#, "", 1),
        other.replacen(r#""GiveUp":20000,"#, r#""GiveUp":0,"#, 1),
        other.replacen(r#""AttemptsCap":3"#, r#""AttemptsCap":0"#, 1),
        other.replacen(r#""GiveUp":20000,"#, r#""GiveUp":"soon","#, 1),
    ];
    for (i, text) in broken.iter().enumerate() {
        node.reload(text);
        until(
            || node.figure("node.load_errors") == i as u64 + 1,
            "another error",
        );
        assert_eq!(node.client().read().status(), 200, "case {i}");
        assert_eq!(
            node.client()
                .ask("GET /renamed/1", &common(LONG), b"")
                .status(),
            404,
            "case {i}"
        );
    }
    assert_eq!(node.figure("node.loads"), 0);
    // Discovery stayed where it was, too; a good file is still taken, out of service as well.
    assert_eq!(node.operate("POST /control/out-of-service").0, 200);
    node.reload(&config_operated(
        discovery.address,
        &first.replace("\"read\"", "\"renamed\""),
    ));
    until(|| node.figure("node.loads") == 1, "the good file");
    assert!(!node.is_ready());
    assert_eq!(node.operate("POST /control/in-service").0, 200);
    assert_eq!(
        node.client()
            .ask("GET /renamed/1", &common(LONG), b"")
            .status(),
        200
    );
}

// ---- Replacing the process ----------------------------------------------------------------------

/// Clients that ask one request after the other, each on a connection that it keeps for as long as the node does. Served
/// and failed requests; one that finds its connection closed is sent once more, as the protocol has it.
fn load(address: SocketAddr, end: Arc<AtomicBool>) -> Vec<std::thread::JoinHandle<(usize, usize)>> {
    let client = move |end: Arc<AtomicBool>| {
        let (mut served, mut failed, mut kept) = (0, 0, None);
        while !end.load(Ordering::SeqCst) {
            let again = kept.is_some();
            let mut client: Client = kept.take().unwrap_or_else(|| Client::connect(address));
            let sent = client.try_correct();
            match sent.then(|| client.answer()).flatten() {
                Some(answer) if answer.status() == 200 => {
                    served += 1;
                    kept = (answer.header("connection") != Some("close")).then_some(client);
                }
                None if again => {}
                _ => failed += 1,
            }
        }
        (served, failed)
    };
    (0..6)
        .map(|_| (client, end.clone()))
        .map(|(client, end)| std::thread::spawn(move || client(end)))
        .collect()
}

/// Guards against a site with many tenants that can't be given another address of discovery, since each new file is refused.
#[test]
fn a_site_with_many_tenants_takes_a_new_configuration() {
    let backend = Backend::start(|_| ok("figure"));
    let names = (0..300).map(|i| format!(r#"{{"Name":"t{i}","AllowancePerS":1000,"Share":1}},"#));
    let all: String = names.collect();
    let settings =
        settings(LONG, "").replacen(r#""Projects":["#, &format!(r#""Projects":[{all}"#), 1);
    let (node, _watch, _discovery) = serving_operators(&settings, &[&backend]);
    let moved = Discovery::start();
    node.reload(&config_operated(moved.address, &settings));
    until(|| node.figure("node.loads") == 1, "the new file");
    moved.call();
    assert_eq!(node.figure("node.load_errors"), 0);
}

#[test]
fn a_process_takes_the_place_of_another_under_load_and_no_request_is_lost() {
    let backend = Backend::start(|_| {
        std::thread::sleep(Duration::from_millis(2));
        ok("figure")
    });
    let mut platform = Platform::start();
    let mut old = platform.process();
    platform.tell(&old, &backend);
    let end = Arc::new(AtomicBool::new(false));
    let clients = load(platform.address, end.clone());
    for _ in 0..4 {
        let new = platform.process();
        platform.tell(&new, &backend);
        let before = backend.count();
        until(
            || backend.count() > before + 20,
            "requests beside each other",
        );
        old.terminate();
        assert!(old.exit().success());
        let before = backend.count();
        until(
            || backend.count() > before + 20,
            "requests to the new process",
        );
        old = new;
    }
    end.store(true, Ordering::SeqCst);
    let sums = clients
        .into_iter()
        .map(|client| client.join().expect("a client"));
    let (served, failed) = sums.fold((0, 0), |sum, (served, failed)| {
        (sum.0 + served, sum.1 + failed)
    });
    assert!(served > 100, "{served}");
    assert_eq!(failed, 0, "of {served}");
    // What was closed unanswered had been read by nobody: else a backend would have had it.
    assert_eq!(backend.count(), served);
}

#[test]
fn a_process_that_can_not_serve_yet_takes_nothing_from_the_queue_of_both() {
    let backend = Backend::start(|_| ok("figure"));
    let mut platform = Platform::start();
    let old = platform.process();
    platform.tell(&old, &backend);
    let mut new = platform.process();
    let watch = platform.discovery.call(); // it is told nothing
    assert_eq!(new.operate("GET /control/ready").0, 503);
    for _ in 0..40 {
        let mut client = Client::connect(platform.address);
        assert_eq!(
            client.read().status(),
            200,
            "the old process alone takes clients"
        );
    }
    // It dies: the old one has never stopped.
    new.signal("-KILL");
    assert!(!new.exit().success());
    drop(watch);
    assert_eq!(Client::connect(platform.address).read().status(), 200);
}

#[test]
fn what_waits_in_the_queue_at_the_old_ones_end_is_the_new_ones() {
    let backend = Backend::start(|_| ok("figure"));
    let mut platform = Platform::start();
    let mut old = platform.process();
    platform.tell(&old, &backend);
    old.terminate();
    old.logged("told to stop");
    let mut waiting = Client::connect(platform.address);
    waiting.send_correct();
    assert!(old.exit().success());
    let new = platform.process();
    platform.tell(&new, &backend);
    assert_eq!(waiting.answer().map(|answer| answer.status()), Some(200));
    assert_eq!(
        new.figure("node.handled.correct.passed"),
        1,
        "the new one's own"
    );
}

#[test]
fn a_descriptor_that_is_no_listener_of_this_address_is_told_and_not_adopted() {
    let platform = Platform::start();
    let elsewhere = TcpListener::bind("127.0.0.1:0").expect("a port");
    for (listener, variable, expected) in [
        (&elsewhere, "3", "no listener at"),
        (&platform.listener, "77", "PROXY_LISTEN_FD 77"),
        (&platform.listener, "1", "PROXY_LISTEN_FD is no descriptor"),
        (
            &platform.listener,
            "three",
            "PROXY_LISTEN_FD is no descriptor",
        ),
    ] {
        let (mut command, _) = inheriting(listener, &platform.config());
        let output = command
            .env("PROXY_LISTEN_FD", variable)
            .output()
            .expect("it runs");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            output.status.code() == Some(1) && said.contains(expected),
            "{variable}: {said}"
        );
    }
}

/// A limit that one process alone needs nearly all of: the sum of both is looked at all the time.
#[test]
fn two_processes_keep_the_nodes_descriptors_together() {
    const LIMIT: usize = 200;
    let backend = Backend::start(|_| {
        std::thread::sleep(Duration::from_millis(5));
        ok("figure")
    });
    let mut platform = Platform::start();
    let config = platform
        .config()
        .replace(r#""sockets":1024"#, &format!(r#""sockets":{LIMIT}"#));
    let start = |platform: &Platform| {
        Node::inheriting(
            &platform.listener,
            &config,
            &[("TMPDIR", &platform.folder.to_string_lossy())],
        )
    };
    let mut old = start(&platform);
    platform.tell(&old, &backend);
    let end = Arc::new(AtomicBool::new(false));
    let clients = load(platform.address, end.clone());
    // Clients that ask now and then on connections that they keep: more than a process by halves has room for.
    let mut kept: Vec<Client> = (0..45).map(|_| Client::connect(platform.address)).collect();
    kept.iter_mut()
        .for_each(|client| assert_eq!(client.read().status(), 200));
    for _ in 0..2 {
        let new = start(&platform);
        platform.tell(&new, &backend);
        // They say nothing and fill whatever place the two have.
        let _crowd: Vec<Client> = (0..200)
            .map(|_| Client::connect(platform.address))
            .collect();
        let (mut most, mut ended) = (old.descriptors() + new.descriptors(), false);
        old.terminate();
        while !ended {
            most = most.max(old.descriptors() + new.descriptors());
            ended = old.descriptors() == 0;
            // Who is let go comes again, as clients do.
            for client in &mut kept {
                let answer = client.try_correct().then(|| client.answer()).flatten();
                if answer.is_none_or(|answer| answer.header("connection") == Some("close")) {
                    *client = Client::connect(platform.address);
                }
            }
        }
        assert!(old.exit().success());
        // 59 clients at the most, some backends' connections, and what each process needs for itself.
        assert!(most > 60 && most <= 125, "{most} descriptors of {LIMIT}");
        new.logged("the older process of this node is gone");
        old = new;
    }
    end.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| assert!(client.join().expect("a client").0 > 0));
}

#[test]
fn what_a_dead_or_foreign_process_left_behind_harms_nothing() {
    let backend = Backend::start(|_| ok("figure"));
    let mut platform = Platform::start();
    let path = platform.folder.join("sillward.sock");
    // Rubbish, a dead socket, one that says nothing, one that talks nonsense, and no folder at all.
    for case in 0..5 {
        let _ = std::fs::remove_file(&path);
        let foreign = match case {
            0 => std::fs::write(&path, "rubbish")
                .map(|()| None)
                .expect("a file"),
            1 => std::os::unix::net::UnixListener::bind(&path)
                .map(drop)
                .map(|()| None)
                .expect("a socket"),
            2 | 3 => Some(std::os::unix::net::UnixListener::bind(&path).expect("a socket")),
            _ => None,
        };
        let talks = foreign.filter(|_| case == 3).map(|foreign| {
            std::thread::spawn(move || {
                let (mut stream, _) = foreign.accept().expect("a call");
                let _ = std::io::Write::write_all(&mut stream, &[b'x'; 4096]);
            })
        });
        let gone = platform.folder.join("gone");
        let folder = if case == 4 { &gone } else { &platform.folder };
        let node = Node::inheriting(
            &platform.listener,
            &platform.config(),
            &[("TMPDIR", &folder.to_string_lossy())],
        );
        platform.tell(&node, &backend);
        assert_eq!(
            Client::connect(platform.address).read().status(),
            200,
            "case {case}"
        );
        talks
            .into_iter()
            .for_each(|talks| talks.join().expect("its end"));
    }
}

/// Another build's words: whoever says them lives, and holds what it holds.
#[test]
fn an_older_process_whose_words_can_not_be_read_is_taken_to_hold_half() {
    const LIMIT: usize = 200;
    let backend = Backend::start(|_| ok("figure"));
    let mut platform = Platform::start();
    let path = platform.folder.join("sillward.sock");
    let older = std::os::unix::net::UnixListener::bind(&path).expect("a socket");
    let says = std::thread::spawn(move || {
        let (mut stream, _) = older.accept().expect("a call");
        std::io::Write::write_all(&mut stream, b"sillward-holds 2 clients=59\n").expect("its word");
        stream
    });
    let config = platform
        .config()
        .replace(r#""sockets":1024"#, &format!(r#""sockets":{LIMIT}"#));
    let node = Node::inheriting(
        &platform.listener,
        &config,
        &[("TMPDIR", &platform.folder.to_string_lossy())],
    );
    let older = says.join().expect("the older process");
    platform.tell(&node, &backend);
    // They say nothing and fill whatever place there is.
    let filled = || {
        let _crowd: Vec<Client> = (0..200)
            .map(|_| Client::connect(platform.address))
            .collect();
        let (mut most, mut steady) = (0, 0);
        while steady < 20 {
            std::thread::sleep(Duration::from_millis(10));
            steady = if node.descriptors() > most {
                0
            } else {
                steady + 1
            };
            most = most.max(node.descriptors());
        }
        most
    };
    let beside = filled();
    assert!(
        beside <= LIMIT / 4,
        "{beside} descriptors beside one that lives, of {LIMIT}"
    );
    drop(older);
    node.logged("the older process of this node is gone");
    until(|| filled() > beside + 20, "the room of one that is alone");
}
