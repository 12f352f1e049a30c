//! A response that has begun has no deadline: a process that is told to end exits when its client has it, or when nobody makes
//! progress any more.

use sillward_scenarios::peers::*;
use sillward_scenarios::raw_backend::{RawBackend, pattern, request, serving_raw};
use sillward_scenarios::tally::{self, BINARY, Caller, End, Tally, origin};
use sillward_thrift::wire::Encoding;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The deadline of each class. The schedule of the shutdown ends 1.25 s after SIGTERM.
const DEADLINE_MS: u64 = 700;
/// Longer than the schedule.
const LONG: Duration = Duration::from_millis(3000);
/// The pieces in which a backend writes a response.
const PIECES: usize = 15;
const BODY_BYTES: usize = 1_300_000;

/// How a backend marks the end of a response.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    Close,
}

impl Framing {
    fn head(self) -> String {
        match self {
            Framing::Length => format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n"),
            Framing::Chunks => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
            Framing::Close => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned(),
        }
    }

    fn piece(self, bytes: &[u8]) -> Vec<u8> {
        match self {
            Framing::Chunks => {
                let size = format!("{:x}\r\n", bytes.len());
                [size.as_bytes(), bytes, b"\r\n"].concat()
            }
            Framing::Length | Framing::Close => bytes.to_vec(),
        }
    }

    fn end(self) -> &'static [u8] {
        match self {
            Framing::Chunks => b"0\r\n\r\n",
            Framing::Length | Framing::Close => b"",
        }
    }
}

/// A backend that writes each response in pieces, with a pause after each.
fn writing_slowly(framing: Framing, pause: Duration) -> RawBackend {
    RawBackend::start(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        if request(&mut reader).is_none() {
            return;
        }
        let _ = stream.write_all(framing.head().as_bytes());
        for bytes in pattern(BODY_BYTES).chunks(BODY_BYTES / PIECES + 1) {
            let _ = stream.write_all(&framing.piece(bytes));
            sleep(pause);
        }
        let _ = stream.write_all(framing.end());
    })
}

/// A client that has the head of its response. It closes its connection when it has the rest.
fn reading(node: &Node) -> TcpStream {
    let mut stream = TcpStream::connect(node.address).expect("the node accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    let head = format!(
        "GET /read/1 HTTP/1.1\r\nHost: s\r\n{}\r\n",
        common(DEADLINE_MS)
    );
    stream.write_all(head.as_bytes()).expect("the node reads");
    let mut status = [0; 12];
    stream.read_exact(&mut status).expect("the first bytes");
    assert_eq!(&status, b"HTTP/1.1 200");
    stream
}

/// Whether a response is whole: it ends with the last bytes of the body.
fn is_whole(response: &[u8], framing: Framing) -> bool {
    let last = &pattern(BODY_BYTES)[BODY_BYTES - 1000..];
    let framed = match framing {
        Framing::Length => last.to_vec(),
        // The node writes a body without a length in chunks of its own.
        Framing::Chunks | Framing::Close => return response.ends_with(b"\r\n0\r\n\r\n"),
    };
    response.ends_with(&framed)
}

/// Guards against responses that the exit cuts off while backends still write them, with one signal or two.
#[test]
fn a_response_that_a_backend_writes_slowly_is_whole_before_the_exit() {
    for framing in [Framing::Length, Framing::Chunks, Framing::Close] {
        let backend = writing_slowly(framing, LONG / PIECES as u32);
        let (mut node, _watch, _discovery) = serving_raw(&settings(DEADLINE_MS, ""), &[&backend]);
        let mut clients: Vec<_> = (0..3).map(|_| reading(&node)).collect();
        let told = Instant::now();
        node.terminate();
        sleep(Duration::from_millis(400));
        node.terminate();
        for client in &mut clients {
            let mut rest = Vec::new();
            client.read_to_end(&mut rest).expect("no reset");
            assert!(is_whole(&rest, framing), "{framing:?}: {}", rest.len());
        }
        assert!(node.exit().success());
        assert!(told.elapsed() > Duration::from_millis(1250 + 500), "slow");
    }
}

/// Guards against responses that the exit cuts off while their clients still read them.
#[test]
fn a_response_that_a_client_reads_slowly_is_whole_before_the_exit() {
    let backend = RawBackend::start(move |_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let _ = request(&mut reader);
        let length = 24 * BODY_BYTES;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        for _ in 0..24 {
            let _ = stream.write_all(&pattern(BODY_BYTES));
        }
    });
    let (mut node, _watch, _discovery) = serving_raw(&settings(DEADLINE_MS, ""), &[&backend]);
    let mut client = reading(&node);
    node.terminate();
    sleep(LONG);
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).expect("no reset");
    assert!(rest.len() > 24 * BODY_BYTES, "{}", rest.len());
    assert!(is_whole(&rest, Framing::Length));
    assert!(node.exit().success());
}

/// The counterpart: a backend without progress does not keep the process, and no client takes the part for the whole.
#[test]
fn a_response_that_makes_no_progress_keeps_the_process_for_a_limited_time() {
    let backend = writing_slowly(Framing::Chunks, Duration::from_secs(3600));
    let (mut node, _watch, _discovery) = serving_raw(&settings(DEADLINE_MS, ""), &[&backend]);
    let mut client = reading(&node);
    node.terminate();
    let mut rest = Vec::new();
    let _ = client.read_to_end(&mut rest);
    assert!(!is_whole(&rest, Framing::Chunks));
    assert!(node.exit().success());
}

/// Guards against an exit over Thrift replies that their client has not read yet.
#[test]
fn thrift_replies_that_a_client_reads_late_are_whole_before_the_exit() {
    for (encoding, name) in [(BINARY, "binary"), (Encoding::Compact, "compact")] {
        replies_read_late_are_whole(encoding, name);
    }
}

fn replies_read_late_are_whole(encoding: Encoding, name: &str) {
    let tally = Tally::start(encoding, |_| tally::ok(&"x".repeat(60_000)));
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(DEADLINE_MS, ""), 1024);
    let entries = [entry_of("t", "t-0", tally.address, "in_service")];
    let operator = tally::operator(name, "");
    let (mut node, _watch, _discovery) = serving_operator(&config, discovery, &operator, &entries);
    let mut caller = Caller::connect(node.thrift.expect("a Thrift listener"), encoding);
    const CALLS: usize = 400;
    for _ in 0..CALLS {
        let frame = caller.frame("Tally:read", &[origin("1f", "", DEADLINE_MS as i64)]);
        caller.write(&frame).expect("the node reads");
    }
    let mut ran = 0;
    until(
        || {
            std::mem::replace(&mut ran, tally.count()) == tally.count() && ran > 0 && {
                sleep(Duration::from_millis(300));
                ran == tally.count()
            }
        },
        "replies that nobody reads",
    );
    assert!(ran < CALLS, "the client's kernel holds them all");
    node.terminate();
    let exit = spawn(move || node.exit());
    sleep(LONG);
    let mut served = 0;
    let mut ended = 0;
    while let Some(answer) = caller.answer().expect("whole replies") {
        ended += 1;
        served += usize::from(answer.end() == End::Served);
    }
    assert_eq!(ended, CALLS, "each call has its reply");
    assert_eq!(served, tally.count(), "each call that ran is served");
    assert!(exit.join().expect("its end").success());
}
