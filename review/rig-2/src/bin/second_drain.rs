//! A box is marked draining in etcd, starts anew, and is marked draining there once more.

use review_rig_2::boxes::{Received, TallyBox, answer};
use review_rig_2::client::{self, Sent};
use review_rig_2::discovery::{Discovery, Entry};
use review_rig_2::etcd::Etcd;
use review_rig_2::node::{self, Folder, Node};
use review_rig_2::record::Record;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const BOXES: usize = 4;
const CLIENTS: usize = 4;
/// A new run of a box is warm after 7.8 s at the latest.
const WARM: Duration = Duration::from_secs(9);
/// What etcd has counts as told after 6 s at the latest; then 2 s of grace, and 50 ms on sockets.
const TOLD_MS: u64 = 6000;
const GRACE_MS: u64 = 2050;
/// How long requests to a draining box are looked for after that.
const WATCHED: Duration = Duration::from_secs(6);

fn main() {
    review_rig_2::watchdog(Duration::from_secs(100));
    let trouble = review_rig_2::trouble();
    let record = Record::start();
    let folder = Folder::new();
    // When requests came to the box that is drained, its second run included, in milliseconds since the start.
    let came: Arc<Mutex<Vec<u64>>> = Arc::default();
    let start = |name: &str, counted: bool| {
        let (record, came, named) = (record.clone(), came.clone(), name.to_owned());
        let work = move |request: &Received, stream: &mut TcpStream| {
            if counted {
                let at = record.elapsed().as_millis() as u64;
                came.lock().expect("the times").push(at);
                let id = request.header("x-call-id").unwrap_or("?");
                record.line(format_args!("{named} got {id}"));
            }
            std::thread::sleep(Duration::from_millis(20));
            answer(stream, "200 OK", "X-Load-Report: inflight=0,queue=0\r\n", b"counted")
        };
        TallyBox::start(name, Arc::new(work), Arc::new(|_, _| {}))
    };
    let entry = |name: &str, address: SocketAddr, status: &'static str, since_ms: u64| Entry {
        name: name.to_owned(),
        address,
        zone: "tembalang".to_owned(),
        machine_type: "std-4".to_owned(),
        group: 1,
        status,
        since_ms,
    };
    let boxes: Vec<TallyBox> = (0..BOXES)
        .map(|number| start(&format!("box-{number}"), number == 0))
        .collect();
    let etcd = Etcd::start();
    let put = |status: &'static str, address: SocketAddr| {
        let told = etcd.put("/tally/box-0", &entry("box-0", address, status, 0).json());
        record.line(format_args!("etcd: box-0 is {status}; {told} watches are told"));
        record.elapsed().as_millis() as u64
    };
    let discovery = Discovery::start(
        boxes
            .iter()
            .map(|tally_box| entry(&tally_box.name, tally_box.address, "in_service", 0))
            .collect(),
    );
    for tally_box in &boxes {
        let value = entry(&tally_box.name, tally_box.address, "in_service", 0).json();
        etcd.put(&format!("/tally/{}", tally_box.name), &value);
    }
    let listen = node::free_address();
    let operator = format!("[etcd]\nendpoints = [\"{}\"]\nprefix = \"/tally/\"\n", etcd.address);
    let config = node::config(listen, discovery.address);
    let mut node = Node::start(&folder.0, listen, &config, Some(&operator));
    if !node.wait_ready() {
        record.cannot_run(format_args!("the node is not ready:\n{}", node.log()));
    }
    std::thread::sleep(Duration::from_secs(1));
    let ended = Arc::new(AtomicBool::new(false));
    let (served, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (ended, served, other) = (ended.clone(), served.clone(), other.clone());
            std::thread::spawn(move || ask(listen, number, &ended, &served, &other))
        })
        .collect();
    let count = |from: u64, to: u64| {
        let came = came.lock().expect("the times");
        came.iter().filter(|at| (from..to).contains(at)).count()
    };
    let now = || record.elapsed().as_millis() as u64;

    std::thread::sleep(Duration::from_secs(3));
    let before = count(0, now());
    let first = put("terminating", boxes[0].address);
    std::thread::sleep(Duration::from_millis(TOLD_MS + GRACE_MS) + Duration::from_secs(2));
    let late_first = count(first + TOLD_MS + GRACE_MS, now());
    record.line(format_args!(
        "box-0 got {before} requests before its first drain, {late_first} after its window"
    ));
    let mut address = boxes[0].address;
    if trouble {
        // Its process ends, and starts anew: the roster says so.
        discovery.set_status("box-0", "terminated");
        record.line("roster: box-0 is terminated");
        std::thread::sleep(Duration::from_secs(1));
        address = start("box-0", true).address;
        discovery.set(entry("box-0", address, "in_service", review_rig_2::unix_ms()));
        record.line("roster: box-0 has started anew");
    }
    let anew = now();
    std::thread::sleep(WARM);
    let between = count(anew, now());
    record.line(format_args!("box-0 got {between} requests between its new start and its second drain"));
    let second = put("terminating", address);
    std::thread::sleep(Duration::from_millis(TOLD_MS + GRACE_MS) + WATCHED);
    let late = count(second + TOLD_MS + GRACE_MS, now());
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client");
    }
    record.line(format_args!(
        "{} requests were served, {} were not",
        served.load(Ordering::SeqCst),
        other.load(Ordering::SeqCst)
    ));
    if let Some(code) = node.ended() {
        record.cannot_run(format_args!("the node ended with {code:?}:\n{}", node.log()));
    }
    if trouble && (before == 0 || between == 0) {
        record.cannot_run("box-0 got no requests before it was drained");
    }
    record.line(format_args!("the node's log: {}", node.log().replace('\n', " | ")));
    let mut broken = Vec::new();
    if late_first > 0 {
        broken.push(format!("box-0 got {late_first} requests after the window of its first drain"));
    }
    if late > 0 {
        broken.push(format!("box-0 got {late} requests after the window of its second drain"));
    }
    drop(folder);
    record.finish(&broken);
}

/// Asks for something that is safe to repeat, again and again.
fn ask(listen: SocketAddr, number: usize, ended: &AtomicBool, served: &AtomicU64, other: &AtomicU64) {
    let mut stream = client::connect(listen).expect("a connection");
    for call in 0.. {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("read-{number}-{call}");
        let sent = Sent {
            method: "GET",
            target: "/tally-read/district-1",
            id: &id,
            budget_ms: 1000,
            key: None,
            body: b"",
        };
        let answer = client::ask(&mut stream, &sent, Duration::from_millis(1600));
        let counter = if answer.status == 200 { served } else { other };
        counter.fetch_add(1, Ordering::SeqCst);
        if !answer.whole {
            match client::connect(listen) {
                Ok(new) => stream = new,
                Err(_) => return,
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
