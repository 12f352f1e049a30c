//! Clients read a long answer slowly, and never stop reading. The box gives all of it.

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
const CLIENTS: usize = 3;
const SIZE: usize = 12_000_000;
/// A client reads this much, then waits for this long: 65 kB a second.
const PIECE: usize = 65_536;
const PAUSE: Duration = Duration::from_secs(1);
/// What has not been cut off by then counts as held.
const WATCHED: Duration = Duration::from_secs(100);

fn main() {
    review_rig_2::watchdog(Duration::from_secs(115));
    let trouble = review_rig_2::trouble();
    let record = Record::start();
    let folder = Folder::new();
    let boxes: Vec<TallyBox> = (0..BOXES)
        .map(|number| {
            let name = format!("box-{number}");
            let (record, named) = (record.clone(), name.clone());
            let work = move |request: &Received, stream: &mut TcpStream| {
                let id = request.header("x-call-id").unwrap_or("?");
                let whole = answer(
                    stream,
                    "200 OK",
                    "X-Load-Report: inflight=0,queue=0\r\n",
                    &vec![b'y'; SIZE],
                );
                record.line(format_args!(
                    "{named}: the answer to {id} {}",
                    if whole {
                        "is written whole"
                    } else {
                        "was broken off by the node"
                    }
                ));
                whole
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
            std::thread::spawn(move || read(&record, listen, number, trouble))
        })
        .collect();
    let broken: Vec<String> = clients
        .into_iter()
        .filter_map(|client| client.join().expect("a client"))
        .collect();
    if let Some(code) = node.ended() {
        record.cannot_run(format_args!(
            "the node ended with {code:?}:\n{}",
            node.log()
        ));
    }
    record.line(format_args!(
        "the node's log: {}",
        node.log().replace('\n', " | ")
    ));
    drop(folder);
    record.finish(&broken);
}

/// Reads a long answer. What was broken, if anything was.
fn read(
    record: &Record,
    listen: std::net::SocketAddr,
    number: usize,
    slowly: bool,
) -> Option<String> {
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
    let asked = Instant::now();
    let (mut got, mut next, mut longest, mut last) = (0, PIECE, Duration::ZERO, Instant::now());
    let answer = client::read_answer(&mut stream, asked + WATCHED, 8 * 1024, |count| {
        longest = longest.max(last.elapsed());
        got += count;
        if slowly && got >= next {
            next += PIECE;
            std::thread::sleep(PAUSE);
        }
        last = Instant::now();
    });
    let text = format!(
        "{id}: status {}, {} of {:?} bytes, whole {}, end {:?}, after {} ms; the node kept it waiting for {} ms at most",
        answer.status,
        answer.body.len(),
        answer.length,
        answer.whole,
        answer.end,
        asked.elapsed().as_millis(),
        longest.as_millis()
    );
    record.line(&text);
    (!answer.whole && answer.end.is_some()).then_some(text)
}
