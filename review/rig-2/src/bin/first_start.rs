//! A node that has never had a list starts where discovery is asked. It has to be ready within 30 s.

use review_rig_2::boxes::{Received, TallyBox, answer};
use review_rig_2::client::{self, Sent};
use review_rig_2::discovery::{Discovery, Entry};
use review_rig_2::node::{self, Folder, Node};
use review_rig_2::record::Record;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A node has to be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// The front asks this often, and for this long.
const ASKED_EVERY: Duration = Duration::from_millis(100);
const ASKED_FOR: Duration = Duration::from_secs(36);

fn main() {
    review_rig_2::watchdog(Duration::from_secs(110));
    let trouble = review_rig_2::trouble();
    let record = Record::start();
    let folder = Folder::new();
    let boxes: Vec<TallyBox> = (0..3)
        .map(|number| {
            let work = |_: &Received, stream: &mut TcpStream| answer(stream, "200 OK", "", b"counted");
            TallyBox::start(&format!("box-{number}"), Arc::new(work), Arc::new(|_, _| {}))
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
    let mut config =
        node::config(listen, discovery.address).replace(r#""RegistryMode":"push""#, r#""RegistryMode":"ask""#);
    if !trouble {
        let (_, list) = discovery.whole_list();
        config = config.replace(r#""settings":"#, &format!(r#""known":{},"settings":"#, list.trim()));
    }
    record.line(format_args!(
        "the node starts, {} a list from before",
        if trouble { "without" } else { "with" }
    ));
    let mut node = Node::start(&folder.0, listen, &config, None);
    let started = Instant::now();
    let mut ready = None;
    while ready.is_none() && started.elapsed() < ASKED_FOR {
        if node::is_ready(listen) {
            ready = Some(started.elapsed());
        }
        std::thread::sleep(ASKED_EVERY);
    }
    if let Some(code) = node.ended() {
        record.cannot_run(format_args!("the node ended with {code:?}:\n{}", node.log()));
    }
    record.line(format_args!("discovery was asked {} times", discovery.calls.load(Ordering::SeqCst)));
    let mut broken = Vec::new();
    match ready {
        Some(after) => record.line(format_args!("the node is ready after {} ms", after.as_millis())),
        None => record.line(format_args!("the node is not ready after {} s", ASKED_FOR.as_secs())),
    }
    if ready.is_none_or(|after| after > READY_WITHIN) {
        broken.push(format!("the node was not ready within {} s", READY_WITHIN.as_secs()));
    } else {
        // It has asked discovery by now, or does so in its first seconds.
        std::thread::sleep(Duration::from_secs(4));
        let mut stream = client::connect(listen).expect("a connection");
        let sent = Sent {
            method: "POST",
            target: "/tally-correct/station-1",
            id: "first",
            budget_ms: 2500,
            key: None,
            body: b"one more",
        };
        let answer = client::ask(&mut stream, &sent, Duration::from_secs(4));
        record.line(format_args!("the first request was answered {}", answer.status));
    }
    record.line(format_args!("the node's log: {}", node.log().replace('\n', " | ")));
    drop(folder);
    record.finish(&broken);
}
