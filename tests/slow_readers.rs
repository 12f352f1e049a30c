//! Clients that read their responses slowly, or not at all, over real processes: a response goes on for as long as its client
//! receives any of it, and ends a limited time after it receives nothing more.

use sillward_scenarios::peers::*;
use sillward_scenarios::raw_backend::{RawBackend, pattern, request, serving_raw};
use sillward_scenarios::tally::{self, BINARY, Caller, End, Tally, origin};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

const DEADLINE_MS: u64 = 20_000;
/// More than the buffers of both kernels hold.
const BODY_BYTES: usize = 30 << 20;
/// A slow client reads so much at once, and then pauses.
const PIECE_BYTES: usize = 40 << 10;
const PAUSE: Duration = Duration::from_secs(1);
/// How long a client reads slowly: longer than the write timeout of either protocol.
const SLOW_FOR: Duration = Duration::from_secs(24);
const HTTP_WRITE_TIMEOUT: Duration = Duration::from_secs(15);
const THRIFT_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How much later than its time a timeout may take effect.
const MARGIN: Duration = Duration::from_secs(3);
const REPLY_BYTES: usize = 60_000;
/// Replies to so many calls are more than the buffers of both kernels hold.
const CALLS: usize = 400;

fn backend() -> RawBackend {
    RawBackend::start(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let _ = request(&mut reader);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&pattern(BODY_BYTES));
    })
}

/// A client that has asked for the long response.
fn asking(node: &Node) -> TcpStream {
    let mut stream = TcpStream::connect(node.address).expect("the node accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    let headers = common(DEADLINE_MS);
    let head = format!("GET /read/1 HTTP/1.1\r\nHost: s\r\nConnection: close\r\n{headers}\r\n");
    stream.write_all(head.as_bytes()).expect("the node reads");
    stream
}

/// A caller whose calls are all sent, with their replies unread.
fn calling(node: &Node) -> Caller {
    let mut caller = Caller::connect(node.thrift.expect("a Thrift listener"), BINARY);
    for _ in 0..CALLS {
        let frame = caller.frame("Tally:read", &[origin("1f", "", DEADLINE_MS as i64)]);
        caller.write(&frame).expect("the node reads");
    }
    caller
}

fn serving_thrift(tally: &Tally) -> (Node, Watch, Discovery) {
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(DEADLINE_MS, ""), 1024);
    let entries = [entry_of("t", "t-0", tally.address, "in_service")];
    let operator = tally::operator("binary", "");
    serving_operator(&config, discovery, &operator, &entries)
}

/// Guards against a response that is cut off although its client reads it: the kernel takes no more of it until a third of its
/// buffer is free, and that lasted longer than the write timeout.
#[test]
fn a_response_that_a_client_reads_at_40_kib_a_second_is_whole() {
    let backend = backend();
    let (node, _watch, _discovery) = serving_raw(&settings(DEADLINE_MS, ""), &[&backend]);
    let mut client = asking(&node);
    let mut response = Vec::new();
    let begun = Instant::now();
    while begun.elapsed() < SLOW_FOR {
        let mut piece = vec![0; PIECE_BYTES];
        client.read_exact(&mut piece).expect("the response goes on");
        response.extend(piece);
        sleep(PAUSE);
    }
    client.read_to_end(&mut response).expect("no reset");
    assert!(response.ends_with(&pattern(BODY_BYTES)), "whole");
}

/// Guards against the same with Thrift replies.
#[test]
fn thrift_replies_that_a_caller_reads_at_one_a_second_are_whole() {
    let tally = Tally::start(BINARY, |_| tally::ok(&"x".repeat(REPLY_BYTES)));
    let (node, _watch, _discovery) = serving_thrift(&tally);
    let mut caller = calling(&node);
    let begun = Instant::now();
    for number in 0..CALLS {
        let answer = caller.answer().expect("a whole reply");
        let answer = answer.unwrap_or_else(|| panic!("reply {number} is missing"));
        assert_eq!(answer.end(), End::Served, "reply {number}");
        if begun.elapsed() < SLOW_FOR {
            sleep(PAUSE);
        }
    }
}

/// The counterpart: a client that reads nothing is given up, and its response ends.
#[test]
fn a_client_that_reads_nothing_is_cut_off_after_the_write_timeout() {
    let backend = backend();
    let (node, _watch, _discovery) = serving_raw(&settings(DEADLINE_MS, ""), &[&backend]);
    let mut client = asking(&node);
    sleep(HTTP_WRITE_TIMEOUT + MARGIN);
    let mut response = Vec::new();
    let _ = client.read_to_end(&mut response); // ends with a reset, or without its last bytes
    assert!(response.len() < BODY_BYTES, "{}", response.len());
}

/// As above, with Thrift replies.
#[test]
fn a_thrift_caller_that_reads_nothing_is_cut_off_after_the_write_timeout() {
    let tally = Tally::start(BINARY, |_| tally::ok(&"x".repeat(REPLY_BYTES)));
    let (node, _watch, _discovery) = serving_thrift(&tally);
    let mut caller = calling(&node);
    sleep(THRIFT_WRITE_TIMEOUT + MARGIN);
    let mut replies = 0;
    while let Ok(Some(_)) = caller.answer() {
        replies += 1;
    }
    assert!(replies < CALLS, "{replies} replies");
}
