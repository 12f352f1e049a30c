//! The node is told to end while it passes on a long answer. The box goes on giving it, and the client goes on reading it.

use review_rig_2::boxes::{Received, TallyBox, answer};
use review_rig_2::client::{self, Sent};
use review_rig_2::discovery::{Discovery, Entry};
use review_rig_2::node::{self, Folder, Node};
use review_rig_2::record::Record;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

const BOXES: usize = 2;
/// A long answer: pieces of a quarter of a megabyte, four in a second, as by a box that takes seconds to write.
const PIECE: usize = 250_000;
const PIECES: usize = 24;
const PAUSE: Duration = Duration::from_millis(250);
const CLIENTS: usize = 4;
/// SIGTERM comes when the answers have been under way for this long.
const TERM_AFTER: Duration = Duration::from_millis(1500);
/// SIGKILL comes this long after SIGTERM: no sooner than the longest deadline (2.5 s) and 0.7 s more.
const KILL_AFTER: Duration = Duration::from_secs(15);

fn main() {
    review_rig_2::watchdog(Duration::from_secs(60));
    let trouble = review_rig_2::trouble();
    let record = Record::start();
    let folder = Folder::new();
    let boxes: Vec<TallyBox> = (0..BOXES)
        .map(|number| {
            let name = format!("box-{number}");
            let (record, named) = (record.clone(), name.clone());
            let work = move |request: &Received, stream: &mut TcpStream| {
                work(&record, &named, request, stream)
            };
            TallyBox::start(&name, Arc::new(work), Arc::new(|_, _| {}))
        })
        .collect();
    let entries = boxes.iter().map(|tally_box| Entry {
        name: tally_box.name.clone(),
        address: tally_box.address,
        zone: "tembalang".to_owned(),
        machine_type: "std-4".to_owned(),
        group: 1,
        status: "in_service",
        since_ms: 0,
    });
    let discovery = Discovery::start(entries.collect());
    let listen = node::free_address();
    let mut node = Node::start(
        &folder.0,
        listen,
        &node::config(listen, discovery.address),
        None,
    );
    if !node.wait_ready() {
        record.cannot_run(format_args!("the node is not ready:\n{}", node.log()));
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || read(&record, listen, number))
        })
        .collect();
    std::thread::sleep(TERM_AFTER);
    if trouble {
        record.line("SIGTERM to the node");
        node.signal("TERM");
        let told = Instant::now();
        let mut ended = false;
        while !ended && told.elapsed() < KILL_AFTER {
            if let Some(code) = node.ended() {
                record.line(format_args!(
                    "the node ended by itself with {code:?}, {} ms after SIGTERM; no SIGKILL was sent",
                    told.elapsed().as_millis()
                ));
                ended = true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        if !ended {
            record.line("SIGKILL to the node");
            node.signal("KILL");
        }
    }
    let broken: Vec<String> = clients
        .into_iter()
        .filter_map(|client| client.join().expect("a client"))
        .collect();
    record.line(format_args!("the node's log: {}", node.log_line()));
    drop(folder);
    record.finish(&broken);
}

/// Answers with a length at once, and the body in pieces.
fn work(record: &Record, name: &str, request: &Received, stream: &mut TcpStream) -> bool {
    let id = request.header("x-call-id").unwrap_or("?").to_owned();
    if !id.starts_with("long") {
        return answer(
            stream,
            "200 OK",
            "X-Load-Report: inflight=0,queue=0\r\n",
            b"counted",
        );
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        PIECE * PIECES
    );
    let mut written = stream.write_all(head.as_bytes());
    for piece in 0..PIECES {
        if let Err(error) = &written {
            record.line(format_args!(
                "{name}: {id} broke off at piece {piece} of {PIECES}: {error}"
            ));
            return false;
        }
        written = stream.write_all(&vec![b'a' + (piece % 26) as u8; PIECE]);
        std::thread::sleep(PAUSE);
    }
    record.line(format_args!("{name}: {id} was answered whole"));
    written.is_ok()
}

/// Reads a long answer as fast as it comes. What was broken, if anything was.
fn read(record: &Record, listen: std::net::SocketAddr, number: usize) -> Option<String> {
    let id = format!("long-{number}");
    let sent = Sent {
        method: "GET",
        target: "/tally-read/district-1",
        id: &id,
        budget_ms: 1000,
        key: None,
        body: b"",
    };
    let mut stream = client::connect(listen).expect("a connection");
    stream
        .write_all(client::head(&sent).as_bytes())
        .expect("the request is written");
    record.line(format_args!("{id}: sent"));
    let asked = Instant::now();
    let answer = client::read_answer(
        &mut stream,
        asked + Duration::from_secs(40),
        16 * 1024,
        |_| {},
    );
    let text = format!(
        "{id}: status {}, {} of {:?} bytes, whole {}, end {:?}, after {} ms",
        answer.status,
        answer.body.len(),
        answer.length,
        answer.whole,
        answer.end,
        asked.elapsed().as_millis()
    );
    record.line(&text);
    (!answer.whole).then_some(text)
}
