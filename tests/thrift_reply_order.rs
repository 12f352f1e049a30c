//! Replies to calls of one sequence number come in the order of the calls, also those that the node gives itself, and a oneway
//! call has none.

use sillward_scenarios::peers::*;
use sillward_scenarios::tally::{self, Answer, BINARY, Caller, End, Tally, Value, origin};
use sillward_thrift::wire::{Encoding, Kind};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const BUDGET_MS: u64 = 8_000;
/// How long a correction takes.
const CALL_TIME: Duration = Duration::from_millis(900);
/// The number of all calls of a caller, and the number of replies to what has none that can be read.
const SEQID: i32 = 3;
const UNKNOWN_SEQID: i32 = 0;
const ENCODINGS: [(Encoding, &str); 2] = [(BINARY, "binary"), (Encoding::Compact, "compact")];
const ORDERS: [&str; 2] = ["finished", "called"];

struct Site {
    node: Node,
    tally: Arc<Tally>,
    encoding: Encoding,
    _watch: Watch,
    _discovery: Discovery,
}

impl Site {
    /// A node before a box that answers each correction after `call_time`.
    fn start((encoding, name): (Encoding, &str), order: &str, call_time: Duration) -> Self {
        let tally = Tally::start(encoding, move |call| {
            if call.name.ends_with("correct") {
                sleep(call_time);
            }
            tally::ok("counted")
        });
        let discovery = Discovery::start();
        let limits = r#""memory_mb":10,"sockets":1024"#;
        let config = config_with(discovery.address, &settings(BUDGET_MS, ""), limits);
        let config = config.replacen("\"seed\"", "\"admin\":\"127.0.0.1:0\",\"seed\"", 1);
        let operator = tally::operator(name, &format!("order = \"{order}\"\nconnections = 6\n"));
        let entries = [entry_of("t", "t-0", tally.address, "in_service")];
        let (node, watch, discovery) = serving_operator(&config, discovery, &operator, &entries);
        Site {
            node,
            tally,
            encoding,
            _watch: watch,
            _discovery: discovery,
        }
    }

    fn caller(&self) -> Caller {
        Caller::connect(self.node.thrift.expect("a Thrift listener"), self.encoding)
    }

    /// Connections whose requests hold all the memory for bodies until they are dropped.
    fn fill_memory(&self) -> Vec<TcpStream> {
        let mut held = Vec::new();
        for length in [65_536, 16_384, 4_096] {
            while let Some(stream) = self.hold(length) {
                held.push(stream);
            }
        }
        held
    }

    /// A request whose body of this length the node has reserved memory for; `None` if there is none.
    fn hold(&self, length: usize) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(self.node.address).expect("the node accepts");
        let head = format!(
            "POST /submit/1 HTTP/1.1\r\nHost: s\r\nIdempotency-Key: k\r\n{}Expect: 100-continue\r\n\
             Content-Length: {length}\r\n\r\n",
            common(BUDGET_MS)
        );
        stream.write_all(head.as_bytes()).expect("the node reads");
        stream.set_read_timeout(Some(CALL_TIME)).expect("a timeout");
        let mut line = String::new();
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        reader.read_line(&mut line).expect("a status");
        match line.get(9..12) {
            Some("100") => Some(stream),
            Some("503") => None,
            _ => panic!("{line}"),
        }
    }
}

/// A call that is longer than what is left of the memory.
fn large_frame(caller: &Caller, kind: Kind, name: &str) -> Vec<u8> {
    let origin = origin("1f", "", BUDGET_MS as i64);
    let text = (2, Value::from("x".repeat(6000).as_str()));
    caller.frame_as(kind, name, SEQID, &[origin, text])
}

fn frame(caller: &Caller, kind: Kind, name: &str) -> Vec<u8> {
    caller.frame_as(kind, name, SEQID, &[origin("1f", "", BUDGET_MS as i64)])
}

fn next(caller: &mut Caller) -> Answer {
    let answer = caller.answer().expect("a reply");
    answer.expect("a reply before the end of the connection")
}

/// Guards against a refusal for want of memory that overtakes the reply to an earlier call, or answers a oneway call.
#[test]
fn a_call_without_memory_is_refused_after_the_earlier_calls_of_its_number() {
    for encoding in ENCODINGS {
        for order in ORDERS {
            let site = Site::start(encoding, order, CALL_TIME);
            let mut caller = site.caller();
            let small = frame(&caller, Kind::Call, "Tally:correct");
            caller.write(&small).expect("the node reads");
            until(|| site.tally.count() == 1, "a call that runs");
            let held = site.fill_memory();
            for (kind, name) in [
                (Kind::Oneway, "Tally:note"),
                (Kind::Call, "Tally:correct"),
                (Kind::Oneway, "Tally:note"),
            ] {
                let large = large_frame(&caller, kind, name);
                caller.write(&large).expect("the node reads");
            }
            sleep(Duration::from_millis(100));
            drop(held);
            assert_eq!(next(&mut caller).end(), End::Served, "{encoding:?} {order}");
            assert_eq!(next(&mut caller).end(), End::Refused);
            // The oneway calls may have found memory again; a reply to one would come now.
            let read = frame(&caller, Kind::Call, "Tally:read");
            caller.write(&read).expect("the node reads");
            assert_eq!(next(&mut caller).end(), End::Served);
            assert_eq!(caller.leave(), 0, "no reply to a oneway call");
            assert!(site.node.figure("node.memory_refused") >= 1);
        }
    }
}

/// Guards against errors about input that ends the connection and overtake the replies to open calls.
#[test]
fn input_that_ends_the_connection_is_answered_after_the_open_calls() {
    let site = Site::start(ENCODINGS[0], "finished", CALL_TIME);
    let inputs: [&[u8]; 3] = [b"GET / HTTP/1.1\r\n\r\n", &[0x7f; 8], &[0, 0, 0, 2, 9, 9]];
    for (count, input) in inputs.into_iter().enumerate() {
        let mut caller = site.caller();
        let origin = origin("1f", "", BUDGET_MS as i64);
        let call = caller.frame_as(Kind::Call, "Tally:correct", UNKNOWN_SEQID, &[origin]);
        caller.write(&call).expect("the node reads");
        until(|| site.tally.count() == count + 1, "a call that runs");
        caller.write(input).expect("the node reads");
        assert_eq!(next(&mut caller).end(), End::Served, "{input:?}");
        assert!(!caller.rest().is_empty(), "{input:?} is answered, too");
    }
}

/// The same for a frame that stalls; half a oneway call has no reply either.
#[test]
fn a_frame_that_stalls_is_answered_after_the_open_calls_and_never_if_it_is_oneway() {
    for encoding in ENCODINGS {
        let site = Site::start(encoding, "finished", Duration::from_millis(2600));
        for kind in [Kind::Call, Kind::Oneway] {
            let count = site.tally.count();
            let mut caller = site.caller();
            let call = frame(&caller, Kind::Call, "Tally:correct");
            caller.write(&call).expect("the node reads");
            until(|| site.tally.count() == count + 1, "a call that runs");
            let half = large_frame(&caller, kind, "Tally:note");
            caller.write(&half[..300]).expect("the node reads");
            assert_eq!(next(&mut caller).end(), End::Served);
            let expected = usize::from(kind == Kind::Call);
            assert_eq!(caller.leave(), expected, "{encoding:?} {kind:?}");
        }
    }
}
