//! A new configuration moves discovery, and leaves out a key that may be absent. Then a box drains.

use review_rig_2::boxes::{Received, TallyBox, answer};
use review_rig_2::discovery::{Discovery, Entry};
use review_rig_2::node::{self, Folder, Node};
use review_rig_2::record::Record;
use review_rig_2::traffic::Traffic;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const BOXES: usize = 4;
/// What discovery has counts as told after 6 s at the latest; then 2 s of grace, and 50 ms on sockets.
const WINDOW_MS: u64 = 6000 + 2050;
/// How long requests to the draining box are looked for after that.
const WATCHED: Duration = Duration::from_secs(6);
/// The old discovery closes the open connections this long after SIGHUP.
const CLOSES_AFTER: Duration = Duration::from_millis(1500);

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
    let entry = |tally_box: &TallyBox| Entry {
        name: tally_box.name.clone(),
        address: tally_box.address,
        zone: "tembalang".to_owned(),
        machine_type: "std-4".to_owned(),
        group: 1,
        status: "in_service",
        since_ms: 0,
    };
    let list = || boxes.iter().map(entry).collect::<Vec<_>>();
    let (old, new) = (Discovery::start(list()), Discovery::start(list()));
    let listen = node::free_address();
    let family = r#""Family":"proxy","#;
    let specifics = |keys: &str| format!(r#"{family}"Specifics":{{{keys}}},"#);
    let before =
        node::config(listen, old.address).replace(family, &specifics(r#""WarmKeys":false"#));
    let after = node::config(listen, new.address).replace(family, &specifics(""));
    let count = |from: u64, to: u64| {
        let came = came.lock().expect("the times");
        came.iter().filter(|at| (from..to).contains(at)).count()
    };
    let now = || record.elapsed().as_millis() as u64;
    let mut node = Node::start(&folder.0, listen, &before, None);
    if !node.wait_ready() {
        record.cannot_run(format_args!("the node is not ready:\n{}", node.log()));
    }
    let traffic = Traffic::start(listen, &record);
    std::thread::sleep(Duration::from_secs(3));
    let early = count(0, now());
    if trouble {
        record.line(format_args!(
            "a new configuration: discovery moves from {} to {}, Specifics has no WarmKeys; SIGHUP",
            old.address, new.address
        ));
        let path = folder.0.join("config.new");
        std::fs::write(&path, &after).expect("the new configuration");
        std::fs::rename(&path, folder.0.join("config.json")).expect("it is in place");
        node.signal("HUP");
        std::thread::sleep(CLOSES_AFTER);
        old.close();
        record.line("the old discovery has closed its connections and takes no new one");
    }
    std::thread::sleep(Duration::from_secs(5));
    let discovery = if trouble { &new } else { &old };
    discovery.set_status("box-0", "terminating");
    let told = now();
    record.line("discovery: box-0 is terminating");
    std::thread::sleep(Duration::from_millis(WINDOW_MS) + WATCHED);
    let late = count(told + WINDOW_MS, now());
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
    if early == 0 {
        record.cannot_run("box-0 got no requests before it drained");
    }
    record.line(format_args!("the node's log: {}", node.log_line()));
    let mut broken = Vec::new();
    if late > 0 {
        broken.push(format!(
            "box-0 got {late} requests later than {WINDOW_MS} ms after discovery had its drain"
        ));
    }
    drop(folder);
    record.finish(&broken);
}
