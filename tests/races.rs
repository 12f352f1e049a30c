//! What comes between two lines: a client that leaves, a connection that closes, an answer that comes late. Over loopback
//! sockets, each crossing forced by a peer that holds something back.

use sillward_scenarios::peers::*;
use sillward_scenarios::reserved_port::ReservedPort;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const LONG: u64 = 20_000;

fn correct() -> String {
    format!(
        "POST /correct/1f HTTP/1.1\r\nHost: s\r\n{}Content-Length: 5\r\n\r\nsheet",
        common(LONG)
    )
}

fn read() -> String {
    format!("GET /read/1f HTTP/1.1\r\nHost: s\r\n{}\r\n", common(LONG))
}

/// What a client may have sent behind its request before it left.
fn behind() -> Vec<Vec<u8>> {
    vec![
        Vec::new(),
        b"\r\n".to_vec(),
        correct().into_bytes(),
        correct().repeat(40).into_bytes(),
        vec![b'x'; 30_000],
        vec![b'x'; 110_000],
    ]
}

// ---- Clients that leave -------------------------------------------------------------------------

/// A client whose call is held behind those of others: once it is answered, what becomes of theirs has been decided.
fn stays(node: &Node) -> Client {
    let mut client = node.client();
    client.send("GET /read/1f", &common(LONG), b"");
    assert!(node.is_ready(), "the node has had a turn since");
    client
}

fn is_answered(mut client: Client) {
    assert_eq!(client.answer().expect("an answer").body, b"here");
}

/// Nobody is listed: their requests are held. They leave, and then there is a backend.
#[test]
fn what_a_client_asked_for_that_left_while_it_waited_is_not_sent() {
    let backend = Backend::start(|_| ok("here"));
    let (node, mut watch, _discovery) = serving(&settings(LONG, ""), &[]);
    for more in behind() {
        let mut client = TcpStream::connect(node.address).expect("the node accepts");
        client
            .write_all(&[correct().as_bytes(), &more].concat())
            .expect("room");
        // The node has had a turn since: the request is held.
        assert!(node.is_ready());
        drop(client);
    }
    let last = stays(&node);
    watch.line(&list(
        9,
        false,
        &[entry("s-0", backend.address, "in_service")],
    ));
    assert_eq!(node.client().read().body, b"here");
    let (_, first) = backend.request();
    assert!(first.start.starts_with("GET /read/"), "{}", first.start);
    assert_eq!(node.client().read().body, b"here");
    is_answered(last);
    assert_eq!(backend.count(), 3, "nothing of those who had left");
}

/// The first attempt breaks in the moment after the client has left: there is no second.
#[test]
fn what_a_client_asked_for_that_left_before_a_repeat_is_not_sent_again() {
    for more in behind() {
        let (go, gate) = channel::<()>();
        let gate = Mutex::new(gate);
        let first = Backend::start(move |message| {
            if message.header("x-caller").is_some() || message.start.contains("/1f") {
                let _ = gate.lock().expect("the gate").recv_timeout(PATIENCE);
            }
            Reply::Break(Vec::new())
        });
        let (node, mut watch, _discovery) = serving(&settings(LONG, ""), &[&first]);
        let mut client = TcpStream::connect(node.address).expect("the node accepts");
        client
            .write_all(&[read().as_bytes(), &more].concat())
            .expect("room");
        first.request();
        // Where it may go next.
        let second = Backend::start(|_| ok("second"));
        watch.line(&list(
            9,
            false,
            &[entry("s-1", second.address, "in_service")],
        ));
        assert!(node.is_ready());
        drop(client);
        go.send(()).expect("the backend waits");
        drop(go);
        until(
            || node.client().read().body == b"second",
            "another client's answer",
        );
        let (_, seen) = second.request();
        assert_eq!(
            second.count(),
            1,
            "{} bytes behind it: {}",
            more.len(),
            seen.start
        );
    }
}

#[test]
fn thousands_that_leave_at_once_leave_nothing_behind() {
    let backend = Backend::start(|_| ok("here"));
    let (node, mut watch, _discovery) = serving_with(&settings(LONG, ""), &[], 2048, "");
    for _ in 0..3 {
        let crowd: Vec<TcpStream> = (0..700)
            .map(|i| {
                let mut client = TcpStream::connect(node.address).expect("the node accepts");
                let more = if i % 3 == 0 { correct() } else { String::new() };
                client
                    .write_all((correct() + &more).as_bytes())
                    .expect("room");
                client
            })
            .collect();
        assert!(node.is_ready());
        drop(crowd);
    }
    let last = stays(&node);
    watch.line(&list(
        9,
        false,
        &[entry("s-0", backend.address, "in_service")],
    ));
    assert_eq!(node.client().read().body, b"here");
    is_answered(last);
    assert_eq!(backend.count(), 2);
}

/// A long body is coming and has nowhere to go; its client resets the connection.
#[test]
fn a_body_half_read_whose_client_left_goes_nowhere() {
    let backend = Backend::start(|_| ok("here"));
    let (node, mut watch, _discovery) = serving(&settings(LONG, ""), &[]);
    let mut client = TcpStream::connect(node.address).expect("the node accepts");
    let head = format!(
        "POST /correct/1f HTTP/1.1\r\nHost: s\r\n{}Content-Length: 900000\r\n\r\n",
        common(LONG)
    );
    client
        .write_all(&[head.as_bytes(), &[b'x'; 300_000]].concat())
        .expect("room");
    assert!(node.is_ready());
    reset(client);
    let last = stays(&node);
    watch.line(&list(
        9,
        false,
        &[entry("s-0", backend.address, "in_service")],
    ));
    assert_eq!(node.client().read().body, b"here");
    is_answered(last);
    assert_eq!(backend.count(), 2);
}

// ---- Closes and shutdowns -----------------------------------------------------------------------

/// Reads until the end; the error if the connection was reset.
fn rest(client: &mut TcpStream) -> Result<Vec<u8>, ErrorKind> {
    client.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let mut all = Vec::new();
    client
        .read_to_end(&mut all)
        .map(|_| all)
        .map_err(|e| e.kind())
}

/// An idle connection is let go in the moment in which a request is on its way: it is read, and goes nowhere, and the
/// connection ends as one that carried nothing; its client may ask again elsewhere.
#[test]
fn a_request_that_crosses_the_end_of_its_idle_connection_is_read_and_never_begun() {
    let backend = Backend::start(|_| ok("here"));
    let (mut node, _watch, _discovery) = serving(&settings(LONG, ""), &[&backend]);
    let mut client = TcpStream::connect(node.address).expect("the node accepts");
    client.write_all(read().as_bytes()).expect("room");
    let mut answer = [0; 512];
    assert!(client.read(&mut answer).expect("an answer") > 0);
    node.terminate();
    // The node's end of sending; then its client's request, piece by piece.
    assert_eq!(rest(&mut client), Ok(Vec::new()));
    for piece in correct().as_bytes().chunks(20) {
        client
            .write_all(piece)
            .expect("the connection is not reset");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(rest(&mut client), Ok(Vec::new()), "no reset");
    drop(client);
    assert!(node.exit().success());
    assert_eq!(backend.count(), 1);
}

/// A client asks on and on after SIGTERM: each call is answered or was on a connection that had ended.
#[test]
fn a_client_that_asks_on_and_on_after_sigterm_loses_nothing() {
    let backend = Backend::start(|_| ok("here"));
    let (mut node, _watch, _discovery) = serving(&settings(LONG, ""), &[&backend]);
    let (address, mut answered) = (node.address, 0);
    let mut client = node.client();
    assert_eq!(client.read().status(), 200);
    node.terminate();
    // A second signal, and one that asks for the configuration, change nothing.
    node.terminate();
    node.signal("-HUP");
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        if !client.try_send("GET /read/1f", &common(LONG)) {
            panic!("the node reset a connection that it had said to be good");
        }
        let Some(answer) = client.answer() else {
            panic!("a request that was taken has no answer")
        };
        assert_eq!(answer.status(), 200);
        answered += 1;
        if answer.header("connection") == Some("close") {
            assert!(client.ended());
            match Client::try_connect(address, Duration::from_secs(1)) {
                Some(next) => client = next,
                None => break,
            }
        }
    }
    assert!(answered > 1, "new connections go on coming for a while");
    assert!(node.exit().success());
}

#[test]
fn a_process_that_is_told_to_end_before_it_is_ready_ends_in_good_order() {
    let discovery = Discovery::start();
    let mut node = Node::start(&config(discovery.address, &settings(LONG, ""), 1024), "");
    let call = discovery.call();
    assert!(!node.is_ready());
    node.terminate();
    assert!(node.exit().success());
    drop(call);
}

// ---- Backends' answers --------------------------------------------------------------------------

/// A backend whose answers are written by hand: the number of the request before, and the stream.
fn by_hand(
    ends: bool,
    script: impl Fn(usize, &mut TcpStream) + Send + 'static,
) -> (std::net::SocketAddr, std::thread::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let served = std::thread::spawn(move || {
        let mut count = 0;
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            // A script that ends the stream ends this too: with it goes the last handle.
            while read_message(&mut std::io::BufReader::with_capacity(1, &stream)).is_some() {
                script(count, &mut stream);
                count += 1;
                if ends {
                    break;
                }
            }
        }
    });
    (address, served)
}

fn answer(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The second answer comes some milliseconds after the first; the next request would have gone out before.
#[test]
fn a_second_answer_some_milliseconds_late_is_no_answer_to_the_next_request() {
    let (address, _served) = by_hand(false, |count, stream| {
        let own = answer(&format!("answer {count}"));
        let _ = stream.write_all(own.as_bytes());
        std::thread::sleep(Duration::from_millis(4));
        let _ = stream.write_all(answer("a stale one").as_bytes());
    });
    let (node, mut watch, _discovery) = serving(&settings(LONG, ""), &[]);
    watch.line(&list(9, false, &[entry("s-0", address, "in_service")]));
    let mut client = node.client();
    for _ in 0..12 {
        let body = client.read().body;
        assert!(
            body.starts_with(b"answer "),
            "{}",
            String::from_utf8_lossy(&body)
        );
    }
}

/// Each cut that a client could take for an end: the call is repeated where that is safe, and else fails.
#[test]
fn an_answer_that_was_cut_is_none_however_it_was_framed() {
    let cuts: [(&str, &str, bool); 7] = [
        (
            "no length, reset",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
            true,
        ),
        (
            "no length, never said to close",
            "HTTP/1.1 200 OK\r\n\r\nhalf",
            false,
        ),
        (
            "a byte short",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf",
            false,
        ),
        (
            "a byte short, reset",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf",
            true,
        ),
        (
            "no last chunk",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            false,
        ),
        ("half a status line", "HTTP/1.1 2", false),
        ("half a head, reset", "HTTP/1.1 200 OK\r\nContent-Le", true),
    ];
    for (name, bytes, resets) in cuts {
        let (address, _served) = by_hand(true, move |_, stream| {
            let _ = stream.write_all(bytes.as_bytes());
            // What was written is read before the end comes, as from a peer far away.
            std::thread::sleep(Duration::from_millis(30));
            if resets {
                let linger = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                linger.expect("its linger");
            } else {
                let _ = stream.shutdown(std::net::Shutdown::Write);
            }
        });
        let (node, mut watch, _discovery) = serving(&settings(LONG, ""), &[]);
        watch.line(&list(9, false, &[entry("s-0", address, "in_service")]));
        // Safe to repeat, but there is nobody else: to be asked for again. Of unsafe work nobody can say that.
        let (safe, unsafe_work) = (node.client().read(), node.client().correct());
        assert_eq!(safe.status(), 503, "{name}: {safe:?}");
        assert_eq!(
            (unsafe_work.status(), unsafe_work.body.as_slice()),
            (502, &b""[..]),
            "{name}"
        );
    }
}

/// An idle connection has said half a status line: what comes on it is no answer to what is sent next.
#[test]
fn half_a_status_line_on_a_resting_connection_spoils_no_request() {
    let (address, _served) = by_hand(false, |count, stream| {
        let _ = stream.write_all(answer(&format!("answer {count}")).as_bytes());
        if count == 0 {
            std::thread::sleep(Duration::from_millis(3));
            let _ = stream.write_all(b"HTTP/1.1 2");
        }
    });
    let (node, mut watch, _discovery) = serving(&settings(LONG, ""), &[]);
    watch.line(&list(9, false, &[entry("s-0", address, "in_service")]));
    let mut client = node.client();
    for number in 0..3 {
        assert_eq!(client.read().body, format!("answer {number}").as_bytes());
    }
}

// ---- Descriptors --------------------------------------------------------------------------------

/// Discovery is down, and idle clients take every descriptor they can get. It comes back and is heard, and clients who
/// ask are served.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_neither_discovery_nor_backends_nor_askers_out() {
    const SOCKETS: usize = 96;
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let down = ReservedPort::new();
    let at = down.address();
    let known = entry("s-0", old.address, "in_service");
    let config = config(at, &settings(LONG, ""), SOCKETS);
    let config = config.replace("\"endpoints\":[]", &format!("\"endpoints\":[{known}]"));
    let node = Node::start(&config, &format!("ulimit -n {SOCKETS}; "));
    until(|| node.is_ready(), "readiness");
    let crowd: Vec<TcpStream> = (0..SOCKETS * 2)
        .filter_map(|_| TcpStream::connect(node.address).ok())
        .collect();
    // Some of them have asked before they rest.
    for mut client in crowd.iter().take(SOCKETS) {
        let _ = client.write_all(read().as_bytes());
    }
    assert_eq!(node.client().read().body, b"old");
    assert!(node.descriptors() <= SOCKETS);
    // A process that spins would use all of it.
    let (before, began) = (node.cpu_seconds(), Instant::now());
    std::thread::sleep(Duration::from_secs(1));
    let spent = (node.cpu_seconds() - before) / began.elapsed().as_secs_f64();
    assert!(spent < 0.5, "{spent}");
    let back = TcpListener::bind(at).expect("its port");
    let text = list(9, true, &[entry("s-1", new.address, "in_service")]);
    std::thread::spawn(move || {
        // The node gives up calls that wait, and makes new ones: each is answered.
        let mut open = Vec::new();
        for mut stream in back.incoming().map_while(Result::ok) {
            let line = format!("{HEAD}{:x}\r\n{text}\n\r\n", text.len() + 1);
            let _ = stream.write_all(line.as_bytes());
            open.push(stream);
        }
    });
    until(
        || node.client().read().body == b"new",
        "the list of a discovery that is back",
    );
    drop(crowd);
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// ---- The start ----------------------------------------------------------------------------------

/// Clients connect and write in every moment round the one in which the process binds and listens: each connection is turned
/// down or answered.
#[test]
fn a_request_that_comes_as_the_process_begins_to_listen_is_turned_down_or_answered() {
    let backend = Backend::start(|_| ok("known"));
    let known = entry("s-0", backend.address, "in_service");
    for _ in 0..5 {
        let reserved = ReservedPort::new();
        let free = reserved.address();
        let down = ReservedPort::new();
        let config = config(down.address(), &settings(LONG, ""), 1024)
            .replace("127.0.0.1:0", &free.to_string());
        let config = config.replace("\"endpoints\":[]", &format!("\"endpoints\":[{known}]"));
        let clients = std::thread::spawn(move || {
            let (mut taken, end) = (Vec::new(), Instant::now() + PATIENCE);
            while taken.len() < 60 && Instant::now() < end {
                let Ok(mut client) = TcpStream::connect(free) else {
                    continue;
                };
                // To itself, where a port was free that both ends may have.
                if client.local_addr().is_ok_and(|own| own == free) {
                    continue;
                }
                client
                    .write_all(read().as_bytes())
                    .expect("it was accepted");
                taken.push(client);
            }
            taken
        });
        let node = Node::start(&config, "");
        let taken = clients.join().expect("the clients");
        assert_eq!(taken.len(), 60);
        for mut client in taken {
            client.set_read_timeout(Some(PATIENCE)).expect("a time-out");
            let mut answer = [0; 12];
            client.read_exact(&mut answer).expect("an answer");
            assert_eq!(&answer, b"HTTP/1.1 200");
        }
        drop(node);
    }
}
