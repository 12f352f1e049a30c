//! Callers that number all their calls alike, while other callers fill the node's memory. Some make a oneway call and then one
//! with a reply; some send two calls ahead on a connection.

use review_rig_2::discovery::{Discovery, Entry};
use review_rig_2::node::{self, Folder, Node};
use review_rig_2::record::Record;
use review_rig_2::thrift::{self, Said};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const BOXES: usize = 6;
/// What a call takes at its box.
const WORK: Duration = Duration::from_millis(200);
/// Callers that fill the memory: one call at a time each, with a sheet of 60 kB.
const LOADERS: usize = 150;
/// Whoever is refused calls again after this time, twice at most.
const PAUSE: Duration = Duration::from_millis(400);
/// Between a reply and a caller's next call.
const REST: Duration = Duration::from_millis(100);
const RETRIES: usize = 2;
/// Callers that make a oneway call and then wait for the reply of another, and callers that send two calls ahead.
const IN_TURN: usize = 8;
const AHEAD: usize = 8;
const SHEET: usize = 60_000;
const RUN: Duration = Duration::from_secs(20);
/// The type of an exception that says: refused, to call again is harmless.
const REFUSED: i32 = 10;

fn main() {
    review_rig_2::watchdog(Duration::from_secs(100));
    let trouble = review_rig_2::trouble();
    let record = Record::start();
    let folder = Folder::new();
    // How often each call ran, over all boxes.
    let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let entries: Vec<Entry> = (0..BOXES)
        .map(|number| {
            let (record, runs) = (record.clone(), runs.clone());
            let name = format!("box-{number}");
            let named = name.clone();
            let work = move |call: &str| {
                let count = {
                    let mut runs = runs.lock().expect("the runs");
                    let count = runs.entry(call.to_owned()).or_default();
                    *count += 1;
                    *count
                };
                if !call.starts_with("other") {
                    record.line(format_args!("{named} runs {call}, time {count}"));
                }
                std::thread::sleep(WORK);
                format!("counted {call}")
            };
            Entry {
                name,
                address: thrift::start_box(Arc::new(work)),
                zone: "tembalang".to_owned(),
                machine_type: "std-4".to_owned(),
                group: 1,
                status: "in_service",
                since_ms: 0,
            }
        })
        .collect();
    let discovery = Discovery::start(entries);
    let (listen, thrift_listen) = (node::free_address(), node::free_address());
    let operator = format!(
        "[thrift]\nlisten = \"{thrift_listen}\"\n\
         [[thrift.method]]\nname = \"correct\"\nclass = \"tally-correct\"\nstation_key = \"1\"\n\
         default_tenant = \"semarang\"\n\
         [[thrift.method]]\nname = \"note\"\nclass = \"tally-correct\"\nstation_key = \"1\"\n\
         default_tenant = \"semarang\"\n\
         [[thrift.backend]]\ntype = \"std-4\"\nencoding = \"binary\"\n"
    );
    let config =
        node::config(listen, discovery.address).replace(r#""memory_mb":192"#, r#""memory_mb":32"#);
    let mut node = Node::start(&folder.0, listen, &config, Some(&operator));
    if !node.wait_ready() {
        record.cannot_run(format_args!("the node is not ready:\n{}", node.log()));
    }
    let ended = Arc::new(AtomicBool::new(false));
    let loaded: Arc<[AtomicU64; 2]> = Arc::default();
    let loaders: Vec<_> = (0..if trouble { LOADERS } else { 0 })
        .map(|number| {
            let (ended, loaded) = (ended.clone(), loaded.clone());
            std::thread::spawn(move || load(thrift_listen, number, &ended, &loaded))
        })
        .collect();
    let callers: Vec<_> = (0..IN_TURN + AHEAD)
        .map(|number| {
            let (record, ended) = (record.clone(), ended.clone());
            std::thread::spawn(move || match number {
                0..IN_TURN => turns(&record, thrift_listen, number, &ended),
                _ => pairs(&record, thrift_listen, number, &ended),
            })
        })
        .collect();
    std::thread::sleep(RUN);
    ended.store(true, Ordering::SeqCst);
    let mut broken: Vec<String> = Vec::new();
    for caller in callers {
        broken.extend(caller.join().expect("a caller"));
    }
    for loader in loaders {
        loader.join().expect("a loader");
    }
    if let Some(code) = node.ended() {
        record.cannot_run(format_args!(
            "the node ended with {code:?}:\n{}",
            node.log()
        ));
    }
    record.line(format_args!(
        "{} calls of the others were served, {} were not",
        loaded[0].load(Ordering::SeqCst),
        loaded[1].load(Ordering::SeqCst)
    ));
    record.line(format_args!("the node's log: {}", node.log_line()));
    for (call, count) in runs.lock().expect("the runs").iter() {
        if *count > 1 {
            broken.push(format!("{call} ran {count} times"));
        }
    }
    drop(folder);
    record.finish(&broken);
}

fn sheet(call: &str) -> Vec<u8> {
    let mut sheet = format!("{call} ").into_bytes();
    sheet.resize(SHEET, b's');
    sheet
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("a connection");
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    stream
}

/// One call at a time, again and again.
fn load(to: SocketAddr, number: usize, ended: &AtomicBool, told: &[AtomicU64; 2]) {
    let mut stream = connect(to);
    for call in 0.. {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        let name = format!("other-{number}-{call}");
        let frame = thrift::call("correct", 0, "station-2", &sheet(&name));
        if stream.write_all(&frame).is_err() {
            stream = connect(to);
            continue;
        }
        let reply = thrift::read_frame(&mut stream).ok().flatten();
        match reply.and_then(|reply| thrift::read_reply(&reply)) {
            Some((_, Said::Result(_))) => {
                told[0].fetch_add(1, Ordering::SeqCst);
                std::thread::sleep(REST);
            }
            Some(_) => {
                told[1].fetch_add(1, Ordering::SeqCst);
                std::thread::sleep(PAUSE);
            }
            None => stream = connect(to),
        }
    }
}

/// Makes a oneway call, then one with a reply, and reads that, one after the other. All have the number 0. What is refused is
/// called again, as the reply says that this is harmless.
fn turns(record: &Record, to: SocketAddr, number: usize, ended: &AtomicBool) -> Vec<String> {
    let mut broken = Vec::new();
    let mut stream = connect(to);
    for turn in 0.. {
        if ended.load(Ordering::SeqCst) {
            return broken;
        }
        let (note, call) = (
            format!("note-{number}-{turn}"),
            format!("call-{number}-{turn}"),
        );
        let _ = stream.write_all(&thrift::oneway("note", 0, "station-1", &sheet(&note)));
        for _ in 0..=RETRIES {
            let frame = thrift::call("correct", 0, "station-1", &sheet(&call));
            if stream.write_all(&frame).is_err() {
                record.line(format_args!("{call}: could not be written"));
                stream = connect(to);
                break;
            }
            let reply = thrift::read_frame(&mut stream).ok().flatten();
            match reply.and_then(|reply| thrift::read_reply(&reply)) {
                Some((_, Said::Result(text))) if text == format!("counted {call}") => break,
                Some((_, Said::Result(text))) => {
                    let what = format!("the reply to {call} is {text:?}");
                    record.line(&what);
                    broken.push(what);
                    // The caller begins anew, so that a single slip counts once.
                    stream = connect(to);
                    break;
                }
                Some((_, Said::Exception(REFUSED, text, _))) => {
                    record.line(format_args!("{call}: {text}"));
                    std::thread::sleep(PAUSE);
                }
                other => {
                    record.line(format_args!("{call}: {other:?}"));
                    if other.is_none() {
                        stream = connect(to);
                    }
                    break;
                }
            }
        }
        std::thread::sleep(REST);
    }
    broken
}

/// Sends two calls ahead, reads two replies, and takes the first for the first call and the second for the second: both have
/// the number 0. What is refused is called again, as the reply says that this is harmless.
fn pairs(record: &Record, to: SocketAddr, number: usize, ended: &AtomicBool) -> Vec<String> {
    let mut broken = Vec::new();
    let mut stream = connect(to);
    for pair in 0.. {
        if ended.load(Ordering::SeqCst) {
            return broken;
        }
        let mut open = vec![
            format!("pair-{number}-{pair}-a"),
            format!("pair-{number}-{pair}-b"),
        ];
        let mut tries = 0;
        while !open.is_empty() && tries <= RETRIES {
            tries += 1;
            let frames: Vec<u8> = open
                .iter()
                .flat_map(|call| thrift::call("correct", 0, "station-1", &sheet(call)))
                .collect();
            if stream.write_all(&frames).is_err() {
                record.line(format_args!("{open:?}: could not be written"));
                stream = connect(to);
                break;
            }
            let mut refused = Vec::new();
            for call in &open {
                let reply = thrift::read_frame(&mut stream).ok().flatten();
                let said = reply.and_then(|reply| thrift::read_reply(&reply));
                match &said {
                    Some((_, Said::Result(text))) if *text == format!("counted {call}") => {}
                    Some((_, Said::Result(text))) => {
                        let what = format!("the reply to {call} is {text:?}");
                        record.line(&what);
                        broken.push(what);
                    }
                    Some((_, Said::Exception(REFUSED, text, _))) => {
                        record.line(format_args!("{call}: {text}"));
                        refused.push(call.clone());
                    }
                    other => record.line(format_args!("{call}: {other:?}")),
                }
                if said.is_none() {
                    stream = connect(to);
                    break;
                }
            }
            std::thread::sleep(if refused.is_empty() { REST } else { PAUSE });
            open = if ended.load(Ordering::SeqCst) {
                Vec::new()
            } else {
                refused
            };
        }
    }
    broken
}
