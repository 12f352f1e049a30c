//! What Thrift backends and callers get.

use super::support::{
    LONG, RawBackend, Transcript, budgeted, connect, exchange, find, listed, request,
};
use sillward_scenarios::peers::{Discovery, Node, Watch, config, entry, entry_of, settings};
use sillward_scenarios::tally::{self, BINARY, BOTH, Tally, Value, origin, read_frame};
use sillward_thrift::wire::{Encoding, Head, Kind};
use std::io::{Read, Write};
use std::net::SocketAddr;

fn encoding_name(encoding: Encoding) -> &'static str {
    match encoding {
        Encoding::Compact => "compact",
        Encoding::Binary { .. } => "binary",
    }
}

/// A node with an operator file that has a Thrift listener, and these in its list.
fn serving_thrift(operator: &str, entries: &[String]) -> (Node, Watch, Discovery) {
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(LONG, ""), 1024);
    listed(Node::start_with(&config, operator), discovery, entries)
}

fn box_reply(seen: &tally::Seen) -> tally::Reply {
    match seen.sheet.as_deref() {
        Some("declared") => {
            let closed = Value::Struct(vec![(1, Value::from("the station is closed"))]);
            tally::Reply::Result(vec![(1, closed)])
        }
        Some("rejected") => tally::Reply::Bytes(seen.exception(10)),
        Some("failed") => tally::Reply::Bytes(seen.exception(6)),
        Some("nonsense") => tally::Reply::Cut(vec![0, 0, 0, 3, 9, 9, 9]),
        _ => tally::ok("counted"),
    }
}

/// Sends one call on a connection of its own; the frame that answers it.
fn thrift_exchange(address: SocketAddr, frame: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    stream.write_all(frame).expect("the node reads");
    read_frame(&mut stream)
        .expect("the connection lasts")
        .unwrap_or_default()
}

#[test]
fn thrift_peers_get_the_same_frames() {
    let arguments = |sheet: &str| {
        let origin = origin("1f", "k-1", 20_000);
        [origin, (2, Value::from(sheet))]
    };
    let cases = [
        ("Tally:read", "served"),
        ("Tally:submit", "served"),
        ("Tally:correct", "declared"),
        ("Tally:correct", "rejected"),
        ("Tally:correct", "failed"),
        ("Tally:correct", "nonsense"),
    ];
    let mut transcript = Transcript::default();
    for (of_box, of_caller) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
        let (of_box, of_caller) = (BOTH[of_box], BOTH[of_caller]);
        for (name, sheet) in cases {
            // A node of its own, so that connections and sequence numbers are the first.
            let tally = Tally::start(of_box, box_reply);
            let entries = [entry_of("t", "t-0", tally.address, "in_service")];
            let operator = tally::operator(encoding_name(of_box), "");
            let (node, _watch, _discovery) = serving_thrift(&operator, &entries);
            let head = Head {
                kind: Kind::Call,
                name,
                seqid: 7,
            };
            let call = tally::message(of_caller, head, &arguments(sheet));
            let answer = thrift_exchange(node.thrift.expect("a listener"), &call);
            let case = format!(
                "{name} {sheet}, {} caller, {} backend",
                encoding_name(of_caller),
                encoding_name(of_box)
            );
            transcript.bytes(&format!("{case}: backend got"), &tally.next().bytes);
            transcript.bytes(&format!("{case}: caller got"), &answer);
        }
    }
    transcript.compare("thrift-frames.txt");
}

#[test]
fn thrift_callers_get_the_same_exceptions() {
    let tally = Tally::start(BINARY, box_reply);
    let entries = [entry_of("t", "t-0", tally.address, "in_service")];
    let (node, _watch, _discovery) = serving_thrift(&tally::operator("binary", ""), &entries);
    let address = node.thrift.expect("a listener");
    let mut transcript = Transcript::default();
    for encoding in BOTH {
        let stranger = Value::Struct(vec![(1, Value::from("1")), (3, Value::from("nobody"))]);
        let cases = [
            (
                "unknown method",
                Kind::Call,
                "Tally:erase",
                vec![origin("1", "", 1_000)],
            ),
            (
                "unknown service",
                Kind::Call,
                "Other:read",
                vec![origin("1", "", 1_000)],
            ),
            (
                "no service",
                Kind::Call,
                "read",
                vec![origin("1", "", 1_000)],
            ),
            (
                "no key",
                Kind::Call,
                "Tally:submit",
                vec![origin("1", "", 1_000)],
            ),
            (
                "no budget",
                Kind::Call,
                "Tally:read",
                vec![origin("1", "", 0)],
            ),
            (
                "unknown tenant",
                Kind::Call,
                "Tally:read",
                vec![(1, stranger)],
            ),
            ("no arguments", Kind::Call, "Tally:read", vec![]),
            ("no call", Kind::Reply, "Tally:read", vec![]),
        ];
        for (title, kind, name, arguments) in cases {
            let head = Head {
                kind,
                name,
                seqid: 7,
            };
            let call = tally::message(encoding, head, &arguments);
            let title = format!("{title}, {}", encoding_name(encoding));
            transcript.bytes(&title, &thrift_exchange(address, &call));
        }
    }
    let call = tally::message(
        BINARY,
        Head {
            kind: Kind::Call,
            name: "Tally:read",
            seqid: 7,
        },
        &[origin("1", "", 1_000)],
    );
    let cases: [(&str, &[u8]); 6] = [
        ("HTTP", b"GET / HTTP/1.1\r\nHost: tally\r\n\r\n"),
        ("a message without a frame", &call[4..]),
        ("a frame that is too long", &i32::MAX.to_be_bytes()),
        ("a frame of negative length", &[0xff; 4]),
        ("no message in a frame", &[0, 0, 0, 4, 9, 9, 9, 9]),
        ("TLS", &[0x16, 3, 1, 2, 0, 1, 0, 1]),
    ];
    for (title, bytes) in cases {
        let mut stream = connect(address);
        stream.write_all(bytes).expect("the node reads");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest); // what came before a reset counts too
        transcript.bytes(title, &rest);
    }
    transcript.compare("thrift-exceptions.txt");
}

/// A Thrift call at an HTTP backend, and an HTTP request at a Thrift backend.
#[test]
fn calls_between_protocols_have_the_same_bytes() {
    let mut transcript = Transcript::default();
    for encoding in BOTH {
        let backend =
            RawBackend::start(|_| b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".to_vec());
        let entries = [entry("m-0", backend.address, "in_service")];
        let operator = tally::operator(encoding_name(encoding), "");
        let (node, _watch, _discovery) = serving_thrift(&operator, &entries);
        let arguments = [
            origin("1 f/\u{e9}", "k-1", 20_000),
            (2, Value::from("sheet")),
        ];
        let head = Head {
            kind: Kind::Call,
            name: "Tally:submit",
            seqid: 7,
        };
        let answer = thrift_exchange(
            node.thrift.expect("a listener"),
            &tally::message(encoding, head, &arguments),
        );
        let title = encoding_name(encoding);
        // The node's own number for the call.
        let mut seen = backend.next();
        let id = b"x-call-id: ";
        let start = find(&seen, id).expect("an id") + id.len();
        let end = start + find(&seen[start..], b"\r\n").expect("its end");
        seen.splice(start..end, *b"#");
        transcript.bytes(&format!("{title} call: HTTP backend got"), &seen);
        transcript.bytes(&format!("{title} call: caller got"), &answer);

        let tally = Tally::start(encoding, box_reply);
        let entries = [entry_of("t", "t-0", tally.address, "in_service")];
        let call = "[[thrift.backend.http_call]]\nclass = \"correct\"\nmethod = \"Tally:correct\"\ntarget = 1\nbody = 2\n";
        let (node, _watch, _discovery) = serving_thrift(&(operator + call), &entries);
        let head = format!("{}Content-Length: 5\r\n", budgeted(LONG));
        let answer = exchange(
            node.address,
            &request("POST /correct/1f?x=1", &head, "sheet"),
        );
        transcript.bytes(
            &format!("HTTP request: {title} backend got"),
            &tally.next().bytes,
        );
        transcript.bytes(
            &format!("HTTP request at {title} backend: client got"),
            &answer,
        );
    }
    transcript.compare("between-protocols.txt");
}
