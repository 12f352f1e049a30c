//! Hundreds of clients at once that write slowly, stop half way, send heads of very many short fields or read slowly: the
//! process keeps to its memory limit, and other clients get their responses in time.

use sillward_scenarios::peers::*;
use sillward_scenarios::raw_backend::{RawBackend, pattern, request, with_length};
use sillward_scenarios::tally::{self, BINARY, Tally, Value, origin};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// How long the crowd lasts.
const DURATION: Duration = Duration::from_secs(6);
/// Clients of each kind.
const CLIENTS: usize = 34;
/// Clients of each kind, where there are two.
const CLIENTS_OF_TWO: usize = 170;
const BUDGET_MS: u64 = 2_000;
const MEMORY_MB: usize = 28;
const MEMORY_MB_OF_TWO: usize = 32;
const LONG_RESPONSE_BYTES: usize = 6 << 20;
/// The longest time of a small request beside the crowd.
const LONGEST: Duration = Duration::from_millis(BUDGET_MS);

/// What a client of the crowd does on one connection, until it ends.
type Kind = fn(&mut TcpStream) -> std::io::Result<()>;

fn head(class: &str, budget_ms: u64, more: &str) -> String {
    let common = common(budget_ms);
    format!("{class}/1 HTTP/1.1\r\nHost: s\r\n{common}{more}\r\n")
}

fn http_writes_slowly(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(head("POST /correct", 20_000, "Content-Length: 4000000\r\n").as_bytes())?;
    for _ in 0..200 {
        stream.write_all(&[b'x'; 20_000])?;
        sleep(Duration::from_millis(40));
    }
    Ok(())
}

fn http_stops_half_way(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(head("POST /correct", 20_000, "Content-Length: 700000\r\n").as_bytes())?;
    stream.write_all(&[b'x'; 300_000])?;
    stream.read(&mut [0; 100]).map(drop)
}

fn http_sends_many_short_fields(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(head("GET /read", 20_000, &"a:b\r\n".repeat(1400)).as_bytes())?;
    stream.read(&mut [0; 100]).map(drop)
}

fn http_stops_within_short_fields(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"GET /read/1 HTTP/1.1\r\n")?;
    stream.write_all("a:b\r\n".repeat(1400).as_bytes())?;
    stream.read(&mut [0; 100]).map(drop)
}

fn http_reads_slowly(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(head("GET /read", 20_000, "").as_bytes())?;
    while stream.read(&mut [0; 3000])? > 0 {
        sleep(Duration::from_millis(100));
    }
    Ok(())
}

fn large_call(seqid: i32, text: Value) -> Vec<u8> {
    let origin = origin("1f", "", 20_000);
    let head = sillward_thrift::wire::Head {
        kind: sillward_thrift::wire::Kind::Call,
        name: "Tally:read",
        seqid,
    };
    tally::message(BINARY, head, &[origin, (2, text)])
}

fn thrift_writes_slowly(stream: &mut TcpStream) -> std::io::Result<()> {
    for piece in large_call(1, Value::Bytes(vec![b'x'; 60_000])).chunks(4000) {
        stream.write_all(piece)?;
        sleep(Duration::from_millis(110));
    }
    stream.read(&mut [0; 100]).map(drop)
}

fn thrift_stops_half_way(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(&large_call(1, Value::Bytes(vec![b'x'; 60_000]))[..50_000])?;
    stream.read(&mut [0; 100]).map(drop)
}

fn thrift_sends_many_short_fields(stream: &mut TcpStream) -> std::io::Result<()> {
    let fields = (1..7_000).map(|id| (id, Value::Number(1))).collect();
    stream.write_all(&large_call(1, Value::Struct(fields)))?;
    stream.read(&mut [0; 100]).map(drop)
}

fn thrift_reads_slowly(stream: &mut TcpStream) -> std::io::Result<()> {
    for seqid in 0..60 {
        stream.write_all(&large_call(seqid, Value::Number(1)))?;
    }
    while stream.read(&mut [0; 3000])? > 0 {
        sleep(Duration::from_millis(100));
    }
    Ok(())
}

const HTTP: [Kind; 5] = [
    http_writes_slowly,
    http_stops_half_way,
    http_sends_many_short_fields,
    http_stops_within_short_fields,
    http_reads_slowly,
];
const THRIFT: [Kind; 4] = [
    thrift_writes_slowly,
    thrift_stops_half_way,
    thrift_sends_many_short_fields,
    thrift_reads_slowly,
];

/// Starts so many clients of each of these kinds, each of which connects again and again.
fn start_crowd(to: SocketAddr, kinds: &[Kind], clients: usize, stop: &Arc<AtomicBool>) {
    let one = |kind: &Kind| {
        let (kind, stop) = (*kind, stop.clone());
        spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Ok(mut stream) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
                let _ = stream.set_write_timeout(Some(Duration::from_secs(3)));
                let _ = kind(&mut stream); // the node may turn it away
                sleep(Duration::from_millis(20));
            }
        });
    };
    kinds
        .iter()
        .cycle()
        .take(kinds.len() * clients)
        .for_each(one);
}

/// The most memory over the duration, in kB, and the times of small requests on connections of their own.
fn measure(node: &Node, mut small_request: impl FnMut() -> bool) -> (usize, Vec<Duration>, usize) {
    let end = Instant::now() + DURATION;
    let (mut most, mut times, mut served) = (0, Vec::new(), 0);
    while Instant::now() < end {
        most = most.max(node.memory_kb());
        let begun = Instant::now();
        served += usize::from(small_request());
        times.push(begun.elapsed());
        sleep(Duration::from_millis(15));
    }
    times.sort();
    (most, times, served)
}

/// A backend that answers a small request at once and any other with a long response.
fn backend() -> RawBackend {
    let long = with_length(&pattern(LONG_RESPONSE_BYTES));
    RawBackend::start(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        while let Some((head, _)) = request(&mut reader) {
            let response = if head.contains("/submit/") {
                &with_length(b"counted")[..]
            } else {
                &long
            };
            if stream.write_all(response).is_err() {
                return;
            }
        }
    })
}

/// A small request on a connection of its own; whether it was served.
fn small_request(node: &Node) -> bool {
    let Some(mut client) = Client::try_connect(node.address, PATIENCE) else {
        return false;
    };
    let headers = format!(
        "{}Idempotency-Key: k\r\nConnection: close\r\n",
        common(BUDGET_MS)
    );
    client.send("POST /submit/1", &headers, b"x");
    client.answer().is_some_and(|answer| answer.status() == 200)
}

/// Measures the node beside a crowd until it is stopped, and sees that it keeps to its memory and its time.
fn keeps_within(memory_mb: usize, node: Node, before: usize, stop: &AtomicBool) {
    let (most, times, served) = measure(&node, || small_request(&node));
    stop.store(true, Ordering::SeqCst);
    println!(
        "memory {before} kB before, {most} kB at most; {served} of {} small requests served; median {:?}, longest {:?}",
        times.len(),
        times[times.len() / 2],
        times.last()
    );
    drop(node);
    assert!(
        most < memory_mb * 1024,
        "{most} kB of {} kB",
        memory_mb * 1024
    );
    assert!(
        times.last().is_some_and(|time| *time < LONGEST),
        "{:?}",
        times.last()
    );
}

/// Guards against a process that is killed for its memory, since clients are slow: buffers and open calls were not counted.
#[test]
fn hundreds_of_slow_clients_keep_the_process_within_its_memory() {
    let backend = backend();
    let tally = Tally::start(BINARY, |_| tally::ok(&"x".repeat(50_000)));
    let discovery = Discovery::start();
    let limits = format!(r#""memory_mb":{MEMORY_MB},"sockets":1024"#);
    let config = config_with(discovery.address, &settings(BUDGET_MS, ""), &limits);
    let entries = [
        entry("m-0", backend.address, "in_service"),
        entry_of("t", "t-0", tally.address, "in_service"),
    ];
    let operator = tally::operator("binary", "connections = 130\n");
    let (node, _watch, _discovery) = serving_operator(&config, discovery, &operator, &entries);
    let before = node.memory_kb();
    let stop = Arc::new(AtomicBool::new(false));
    start_crowd(node.address, &HTTP, CLIENTS, &stop);
    let thrift = node.thrift.expect("a Thrift listener");
    start_crowd(thrift, &THRIFT, CLIENTS, &stop);
    keeps_within(MEMORY_MB, node, before, &stop);
}

/// Guards against the same with long requests and long responses alone, which hold the most that a client of either kind can.
#[test]
fn slow_uploads_and_downloads_together_keep_the_process_within_its_memory() {
    let backend = backend();
    let discovery = Discovery::start();
    let limits = format!(r#""memory_mb":{MEMORY_MB_OF_TWO},"sockets":1024"#);
    let config = config_with(discovery.address, &settings(BUDGET_MS, ""), &limits);
    let entries = [entry("m-0", backend.address, "in_service")];
    let (node, _watch, _discovery) = serving_operator(&config, discovery, "", &entries);
    let before = node.memory_kb();
    let stop = Arc::new(AtomicBool::new(false));
    let kinds: [Kind; 2] = [http_writes_slowly, http_reads_slowly];
    start_crowd(node.address, &kinds, CLIENTS_OF_TWO, &stop);
    keeps_within(MEMORY_MB_OF_TWO, node, before, &stop);
}
