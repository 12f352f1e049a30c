//! Thrift backends that read a large call or write a large reply slowly: each call has its one reply in time.

use sillward_scenarios::peers::*;
use sillward_scenarios::raw_backend::RawBackend;
use sillward_scenarios::tally::{self, BINARY, Caller, End, Value, origin};
use sillward_thrift::wire::{Encoding, Head, Kind};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

const BUDGET_MS: u64 = 1_100;
const BUDGET: Duration = Duration::from_millis(BUDGET_MS);
/// How long after its time a reply still counts as one.
const LATEST: Duration = Duration::from_millis(500);
const LARGE_BYTES: usize = 55_000;

/// Reads a frame in pieces with a pause after each, and writes a large reply in the same way.
fn serve_slowly(stream: &mut TcpStream, encoding: Encoding, reading: Duration, writing: Duration) {
    let mut length = [0; 4];
    while stream.read_exact(&mut length).is_ok() {
        let mut body = vec![0; u32::from_be_bytes(length) as usize];
        for piece in body.chunks_mut(5_000) {
            if stream.read_exact(piece).is_err() {
                return;
            }
            sleep(reading);
        }
        let message = sillward_thrift::wire::read_head(&body, &tally::BOUNDS).expect("a call");
        let head = Head {
            kind: Kind::Reply,
            name: "read",
            seqid: message.head.seqid,
        };
        let text = Value::Bytes(vec![b'x'; LARGE_BYTES]);
        for piece in tally::message(encoding, head, &[(0, text)]).chunks(5_000) {
            if stream.write_all(piece).is_err() {
                return;
            }
            sleep(writing);
        }
    }
}

/// How a large call before such a backend ends, and when.
fn call(encoding: Encoding, name: &str, reading: u64, writing: u64) -> (End, Duration) {
    let (reading, writing) = (
        Duration::from_millis(reading),
        Duration::from_millis(writing),
    );
    let backend = RawBackend::start(move |_, mut stream| {
        serve_slowly(&mut stream, encoding, reading, writing);
    });
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(BUDGET_MS, ""), 1024);
    let entries = [entry_of("t", "t-0", backend.address, "in_service")];
    let operator = tally::operator(name, "");
    let (node, _watch, _discovery) = serving_operator(&config, discovery, &operator, &entries);
    let mut caller = Caller::connect(node.thrift.expect("a Thrift listener"), encoding);
    let large = (2, Value::Bytes(vec![b'x'; LARGE_BYTES]));
    let begun = Instant::now();
    let origin = origin("1f", "", BUDGET_MS as i64);
    let answer = caller.call("Tally:read", &[origin, large]);
    (answer.end(), begun.elapsed())
}

/// Guards against replies that come after their time, and against large replies that are cut off though they are in time.
#[test]
fn a_large_call_to_a_slow_backend_has_its_reply_in_time() {
    for (encoding, name) in [(BINARY, "binary"), (Encoding::Compact, "compact")] {
        assert_eq!(call(encoding, name, 20, 20).0, End::Served, "{name}");
        for (reading, writing) in [(400, 0), (0, 400)] {
            let (end, time) = call(encoding, name, reading, writing);
            assert!(time < BUDGET + LATEST, "{name}: {time:?}");
            assert_ne!(end, End::Served, "{name}");
        }
    }
}
