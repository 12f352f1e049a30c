//! One client that sends small or invalid requests at full speed keeps no other client waiting, and makes the node hold no more
//! memory.

use sillward_scenarios::peers::*;
use sillward_scenarios::tally::{self, BINARY, Caller, Tally, Value, origin};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// The latency objective and the deadline of each class.
const DEADLINE_MS: u64 = 1_000;
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
/// How long the hostile client goes on.
const ATTACK: Duration = Duration::from_secs(3);
/// What the process may hold more after the attack than after its beginning.
const MAX_GROWTH_KB: usize = 2_048;
/// Requests that are written at once.
const BATCH: u64 = 50;

/// Makes the requests with these numbers, as bytes.
type Requests = fn(std::ops::Range<u64>) -> Vec<u8>;

fn headers(number: u64, caller: &str) -> String {
    format!("X-Call-Id: {number:016x}\r\nX-Caller: {caller}\r\nX-Budget-Ms: {DEADLINE_MS}\r\n")
}

fn get(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: s\r\n{headers}\r\n")
}

/// Sound requests, each about another key.
fn ever_new_keys(numbers: std::ops::Range<u64>) -> Vec<u8> {
    let request = |n: u64| get(&format!("/read/{n:x}"), &headers((1 << 48) + n, "acme"));
    numbers.map(request).collect::<String>().into_bytes()
}

/// Sound requests, each of another caller.
fn ever_new_callers(numbers: std::ops::Range<u64>) -> Vec<u8> {
    let request = |n: u64| get("/read/1f", &headers((1 << 48) + n, &format!("caller-{n}")));
    numbers.map(request).collect::<String>().into_bytes()
}

/// Requests of classes that do not exist; the first ends the connection.
fn ever_new_classes(numbers: std::ops::Range<u64>) -> Vec<u8> {
    let request = |n: u64| get(&format!("/class-{n}/1f"), &headers((1 << 48) + n, "acme"));
    numbers.map(request).collect::<String>().into_bytes()
}

/// Lines that are no HTTP.
fn no_requests(numbers: std::ops::Range<u64>) -> Vec<u8> {
    numbers
        .map(|n| format!("noise {n}\r\n"))
        .collect::<String>()
        .into_bytes()
}

/// Framed calls of methods that do not exist: each has an exception for an answer, and the connection stays.
fn ever_new_methods(numbers: std::ops::Range<u64>) -> Vec<u8> {
    let call = |n: u64| {
        let head = sillward_thrift::wire::Head {
            kind: sillward_thrift::wire::Kind::Call,
            name: &format!("Tally:method-{n}"),
            seqid: n as i32,
        };
        tally::message(BINARY, head, &[origin("1f", "", DEADLINE_MS as i64)])
    };
    numbers.flat_map(call).collect()
}

/// Framed calls that are sound, each about another station.
fn ever_new_stations(numbers: std::ops::Range<u64>) -> Vec<u8> {
    let call = |n: u64| {
        let head = sillward_thrift::wire::Head {
            kind: sillward_thrift::wire::Kind::Call,
            name: "Tally:read",
            seqid: n as i32,
        };
        let origin = origin(&format!("{n:x}"), "", DEADLINE_MS as i64);
        tally::message(BINARY, head, &[origin, (2, Value::from("sheet"))])
    };
    numbers.flat_map(call).collect()
}

/// Writes requests at full speed, reads whatever comes, and connects again when the node closes the connection. Returns how many
/// requests were written.
fn attack(address: SocketAddr, requests: Requests, goes_on: &AtomicBool) -> u64 {
    let number = AtomicU64::new(0);
    while goes_on.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let mut reader = stream.try_clone().expect("a handle");
        scope(|threads| {
            threads.spawn(move || {
                let mut buffer = [0; 65_536];
                while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
                let _ = reader.shutdown(Shutdown::Both); // it may be closed already
            });
            while goes_on.load(Ordering::SeqCst) {
                let first = number.fetch_add(BATCH, Ordering::SeqCst);
                if stream.write_all(&requests(first..first + BATCH)).is_err() {
                    break;
                }
            }
            let _ = stream.shutdown(Shutdown::Both); // it may be closed already
        });
    }
    number.load(Ordering::SeqCst)
}

struct Site {
    node: Node,
    _watch: Watch,
    _discovery: Discovery,
    _backend: Backend,
    _tally: Arc<Tally>,
}

impl Site {
    fn start() -> Self {
        let backend = Backend::start(|_| ok("read"));
        let tally = Tally::start(BINARY, |_| tally::ok("read"));
        let discovery = Discovery::start();
        let config = config_operated(discovery.address, &settings(DEADLINE_MS, ""));
        let entries = [
            entry("s-0", backend.address, "in_service"),
            entry_of("t", "t-0", tally.address, "in_service"),
        ];
        let operator = tally::operator("binary", "");
        let (node, watch, discovery) = serving_operator(&config, discovery, &operator, &entries);
        Site {
            node,
            _watch: watch,
            _discovery: discovery,
            _backend: backend,
            _tally: tally,
        }
    }
}

/// Asks over HTTP and Thrift in turn; returns the longest time to an answer, and how many were given.
fn ask_while(http: SocketAddr, thrift: SocketAddr, goes_on: &AtomicBool) -> (Duration, usize) {
    let mut client = Client::connect(http);
    let mut caller = Caller::connect(thrift, BINARY);
    let (mut longest, mut answers) = (Duration::ZERO, 0);
    while goes_on.load(Ordering::SeqCst) {
        let asked = Instant::now();
        client.ask("GET /read/1f", &common(DEADLINE_MS), b"");
        longest = longest.max(asked.elapsed());
        let asked = Instant::now();
        caller.call("Tally:read", &[origin("1f", "", DEADLINE_MS as i64)]);
        longest = longest.max(asked.elapsed());
        answers += 2;
        sleep(Duration::from_millis(5));
    }
    (longest, answers)
}

/// Plays an attack beside an ordinary client, and sees that this client is answered in time and that memory does not grow.
fn others_are_answered_during(name: &str, thrift: bool, requests: Requests) {
    let site = Site::start();
    let http_address = site.node.address;
    let thrift_address = site.node.thrift.expect("a Thrift listener");
    let address = if thrift { thrift_address } else { http_address };
    let goes_on = AtomicBool::new(true);
    let (written, (longest, answers), growth) = scope(|threads| {
        let attacker = threads.spawn(|| attack(address, requests, &goes_on));
        let client = threads.spawn(|| ask_while(http_address, thrift_address, &goes_on));
        sleep(ATTACK / 4);
        let early = site.node.memory_kb();
        sleep(ATTACK - ATTACK / 4);
        let late = site.node.memory_kb();
        goes_on.store(false, Ordering::SeqCst);
        let written = attacker.join().expect("the attack");
        let seen = client.join().expect("the client");
        (written, seen, late.saturating_sub(early))
    });
    println!(
        "{name}: {written} requests, {answers} answers beside, longest {longest:?}, {growth} kB"
    );
    assert!(written > 1_000, "{name}: {written} requests");
    assert!(longest < DEADLINE, "{name}: {longest:?}");
    assert!(growth < MAX_GROWTH_KB, "{name}: {growth} kB more");
}

/// Guards against answers that come late or never while one connection over HTTP is flooded.
#[test]
fn a_flood_over_http_keeps_no_other_client_from_its_answer() {
    others_are_answered_during("keys", false, ever_new_keys);
    others_are_answered_during("callers", false, ever_new_callers);
    others_are_answered_during("classes", false, ever_new_classes);
    others_are_answered_during("noise", false, no_requests);
}

/// Guards against answers that come late or never while one connection over Thrift is flooded.
#[test]
fn a_flood_over_thrift_keeps_no_other_client_from_its_answer() {
    others_are_answered_during("methods", true, ever_new_methods);
    others_are_answered_during("stations", true, ever_new_stations);
    others_are_answered_during("noise", true, no_requests);
}
