//! A new configuration is short of a key. The old settings have to stay, whole.

use review_rig_2::boxes::{Received, TallyBox, answer};
use review_rig_2::client::{self, Sent};
use review_rig_2::discovery::{Discovery, Entry};
use review_rig_2::node::{self, Folder, Node};
use review_rig_2::record::Record;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONES: [&str; 2] = ["tembalang", "srondol"];
const BOXES_A_ZONE: usize = 2;
const CLIENTS: usize = 4;
/// What each client sends after the new configuration.
const REQUESTS: usize = 100;
const WORK: Duration = Duration::from_millis(60);
/// The first run of every eighth key is in a box that is crowded: 110 ms of work, two to three times slower.
const SLOW_WORK: Duration = Duration::from_millis(300);
const EACH: usize = 8;
/// How long the boxes of a zone know a key.
const WINDOW: Duration = Duration::from_millis(600);

/// Where and when a key was applied, and how often it came.
#[derive(Default)]
struct Key {
    came: usize,
    applied: Vec<(&'static str, Instant)>,
}

type Keys = Arc<Mutex<BTreeMap<String, Key>>>;

fn main() {
    review_rig_2::watchdog(Duration::from_secs(100));
    let trouble = review_rig_2::trouble();
    let record = Record::start();
    let folder = Folder::new();
    let keys = Keys::default();
    let mut boxes = Vec::new();
    let mut entries = Vec::new();
    for zone in ZONES {
        for number in 0..BOXES_A_ZONE {
            let name = format!("{zone}-{number}");
            let (record, keys, named) = (record.clone(), keys.clone(), name.clone());
            let work = move |request: &Received, stream: &mut TcpStream| {
                work(&record, &keys, &named, zone, request, stream)
            };
            let tally_box = TallyBox::start(&name, Arc::new(work), Arc::new(|_, _| {}));
            entries.push(Entry {
                name,
                address: tally_box.address,
                zone: zone.to_owned(),
                machine_type: "lite-4".to_owned(),
                group: 1,
                status: "in_service",
                since_ms: 0,
            });
            boxes.push(tally_box);
        }
    }
    let discovery = Discovery::start(entries);
    let listen = node::free_address();
    let whole = node::config(listen, discovery.address);
    let short = whole.replacen(r#""Group":"zone","#, "", 1);
    let mut node = Node::start(&folder.0, listen, &whole, None);
    if !node.wait_ready() {
        record.cannot_run(format_args!("the node is not ready:\n{}", node.log()));
    }
    submit_all(&record, listen, "before", 20);
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        record.line("a new configuration: tally-submit, which is guarded, has no Group any more");
        std::fs::write(folder.0.join("config.new"), &short).expect("the new configuration");
        std::fs::rename(folder.0.join("config.new"), folder.0.join("config.json")).expect("it is in place");
        node.signal("HUP");
    }
    std::thread::sleep(Duration::from_millis(1200));
    submit_all(&record, listen, "after", REQUESTS);
    std::thread::sleep(Duration::from_millis(500));
    if let Some(code) = node.ended() {
        record.cannot_run(format_args!("the node ended with {code:?}:\n{}", node.log()));
    }
    record.line(format_args!("the node's log: {}", node.log().replace('\n', " | ")));
    let keys = keys.lock().expect("the keys");
    let twice = keys.iter().filter(|(_, key)| key.applied.len() > 1);
    let broken: Vec<String> = twice
        .map(|(name, key)| {
            let zones: Vec<&str> = key.applied.iter().map(|(zone, _)| *zone).collect();
            format!("{name} was applied {} times, in {}", zones.len(), zones.join(" and "))
        })
        .collect();
    let repeated = keys.values().filter(|key| key.came > 1).count();
    record.line(format_args!("{} keys, {repeated} of them sent to more than one box", keys.len()));
    drop(folder);
    record.finish(&broken);
}

/// A box drops a repeat that any box of its zone has run in the window, and knows nothing of other zones.
fn work(
    record: &Record,
    keys: &Keys,
    name: &str,
    zone: &'static str,
    request: &Received,
    stream: &mut TcpStream,
) -> bool {
    let id = request.header("idempotency-key").unwrap_or("?").to_owned();
    let first = {
        let mut keys = keys.lock().expect("the keys");
        let key = keys.entry(id.clone()).or_default();
        key.came += 1;
        let known = |(at_zone, at): &(&str, Instant)| *at_zone == zone && at.elapsed() < WINDOW;
        let repeat = key.applied.iter().any(known);
        record.line(format_args!(
            "{name} {} {id}",
            if repeat { "drops the repeat" } else { "applies" }
        ));
        if !repeat {
            key.applied.push((zone, Instant::now()));
        }
        key.came == 1
    };
    let number: usize = id.rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(1);
    std::thread::sleep(if first && number % EACH == 0 { SLOW_WORK } else { WORK });
    answer(stream, "200 OK", "X-Load-Report: inflight=0,queue=0\r\n", b"counted")
}

/// Each client sends so many tally sheets, one after the other, each with a key of its own.
fn submit_all(record: &Record, listen: SocketAddr, when: &'static str, requests: usize) {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut stream = client::connect(listen).expect("a connection");
                for number in 0..requests {
                    let id = format!("{when}-{client}-{number}");
                    let sent = Sent {
                        method: "POST",
                        target: "/tally-submit/station-1",
                        id: &id,
                        budget_ms: 1000,
                        key: Some(&id),
                        body: b"sheet",
                    };
                    let answer = client::ask(&mut stream, &sent, Duration::from_millis(1600));
                    if answer.status != 200 {
                        record.line(format_args!("{id} was answered {}", answer.status));
                    }
                    if !answer.whole {
                        stream = client::connect(listen).expect("a connection");
                    }
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("a client");
    }
}
