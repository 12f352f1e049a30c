//! The roster says that a box drains; etcd lists it too. The node is restarted meanwhile.

use review_rig_2::boxes::{Received, TallyBox, answer};
use review_rig_2::discovery::{Discovery, Entry};
use review_rig_2::etcd::Etcd;
use review_rig_2::node::{self, Folder, Node};
use review_rig_2::record::Record;
use review_rig_2::traffic::Traffic;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BOXES: usize = 4;
/// What discovery has counts as told after 6 s at the latest; then 2 s of grace, and 50 ms on sockets.
const WINDOW_MS: u64 = 6000 + 2050;
/// How long requests to the draining box are looked for after that.
const WATCHED: Duration = Duration::from_secs(6);
/// All boxes started a day ago.
const AGE_MS: u64 = 24 * 3600 * 1000;

fn main() {
    review_rig_2::watchdog(Duration::from_secs(100));
    let trouble = review_rig_2::trouble();
    let record = Record::start();
    let folder = Folder::new();
    // When requests came to the box that drains, in milliseconds since the start.
    let came: Arc<Mutex<Vec<u64>>> = Arc::default();
    // At the end of its drain box-0 goes, as a drained box does, and answers nothing more.
    let gone = Arc::new(AtomicBool::new(false));
    let boxes: Vec<TallyBox> = (0..BOXES)
        .map(|number| {
            let name = format!("box-{number}");
            let (record, came, named) = (record.clone(), came.clone(), name.clone());
            let gone = gone.clone();
            let work = move |request: &Received, stream: &mut TcpStream| {
                if number == 0 {
                    let at = record.elapsed().as_millis() as u64;
                    came.lock().expect("the times").push(at);
                    let id = request.header("x-call-id").unwrap_or("?");
                    record.line(format_args!("{named} got {id}"));
                }
                std::thread::sleep(Duration::from_millis(20));
                if number == 0 && gone.load(Ordering::SeqCst) {
                    return false;
                }
                answer(
                    stream,
                    "200 OK",
                    "X-Load-Report: inflight=0,queue=0\r\n",
                    b"counted",
                )
            };
            TallyBox::start(&name, Arc::new(work), Arc::new(|_, _| {}))
        })
        .collect();
    let entry = |tally_box: &TallyBox, since_ms: u64| Entry {
        name: tally_box.name.clone(),
        address: tally_box.address,
        zone: "tembalang".to_owned(),
        machine_type: "std-4".to_owned(),
        group: 1,
        status: "in_service",
        since_ms,
    };
    // The roster words the start of all boxes as 0, for long ago; etcd's values name the time.
    let discovery = Discovery::start(boxes.iter().map(|tally_box| entry(tally_box, 0)).collect());
    let etcd = Etcd::start();
    let started_at = review_rig_2::unix_ms() - AGE_MS;
    for tally_box in &boxes {
        let value = entry(tally_box, started_at).json();
        etcd.put(&format!("/tally/{}", tally_box.name), &value);
    }
    let listen = node::free_address();
    let operator = format!(
        "[etcd]\nendpoints = [\"{}\"]\nprefix = \"/tally/\"\n",
        etcd.address
    );
    // The platform gives each process the list as the node last had it.
    let start = || {
        let known = format!(r#""known":{},"settings":"#, discovery.whole_list().1.trim());
        let config = node::config(listen, discovery.address).replace(r#""settings":"#, &known);
        let node = Node::start(&folder.0, listen, &config, Some(&operator));
        if !node.wait_ready() {
            record.cannot_run(format_args!("the node is not ready:\n{}", node.log()));
        }
        node
    };
    let count = |from: u64, to: u64| {
        let came = came.lock().expect("the times");
        came.iter().filter(|at| (from..to).contains(at)).count()
    };
    let now = || record.elapsed().as_millis() as u64;
    let mut node = start();
    std::thread::sleep(Duration::from_secs(1));
    let traffic = Traffic::start(listen, &record);
    std::thread::sleep(Duration::from_secs(3));
    let before = count(0, now());
    discovery.set_status("box-0", "terminating");
    let told = now();
    record.line("roster: box-0 is terminating");
    std::thread::sleep(Duration::from_millis(WINDOW_MS) + Duration::from_secs(2));
    let first = count(told + WINDOW_MS, now());
    record.line(format_args!(
        "box-0 got {before} requests before the roster said that it drains, {first} after the window"
    ));
    traffic.end(&record);
    let mut again = now();
    if trouble {
        record.line("SIGTERM to the node");
        node.signal("TERM");
        let until = Instant::now() + Duration::from_secs(10);
        while node.ended().is_none() {
            if Instant::now() > until {
                record.cannot_run("the node does not end");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        again = now();
        record.line("the node is started again; box-0 still drains");
        node = start();
    }
    let traffic = Traffic::start(listen, &record);
    std::thread::sleep(Duration::from_millis(WINDOW_MS) + WATCHED);
    let late = count(again + WINDOW_MS, now());
    record.line("box-0 goes");
    gone.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_secs(1));
    traffic.end(&record);
    if let Some(code) = node.ended() {
        record.cannot_run(format_args!(
            "the node ended with {code:?}:\n{}",
            node.log()
        ));
    }
    if before == 0 {
        record.cannot_run("box-0 got no requests before it drained");
    }
    record.line(format_args!("the node's log: {}", node.log_line()));
    let mut broken = Vec::new();
    if first > 0 {
        broken.push(format!(
            "box-0 got {first} requests after the window of its drain"
        ));
    }
    if late > 0 {
        broken.push(format!(
            "box-0 got {late} requests later than {WINDOW_MS} ms after the start of a process that the roster has told all the time"
        ));
    }
    drop(folder);
    record.finish(&broken);
}
