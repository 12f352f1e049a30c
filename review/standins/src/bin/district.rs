//! Case: a node that is told to end while callers keep several Thrift calls open on a connection.

use review_standins::discovery::{Discovery, Entry};
use review_standins::node::{Node, Start, temp_folder};
use review_standins::{Record, free_address, sleep_ms, thrift, trouble, watchdog};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CALLERS: usize = 3;
/// Calls that a caller keeps open at a time.
const OPEN_CALLS: usize = 4;
const BOXES: usize = 4;
const CALM_MS: u64 = 3000;
const LONGEST_DEADLINE_MS: u64 = 2500;
/// After SIGTERM: the longest deadline and 0.7 s is the least; a second more is given.
const KILL_AFTER_MS: u64 = LONGEST_DEADLINE_MS + 700 + 1000;

/// The corrections whose calls have come whole to a box.
type Arrived = Arc<Mutex<BTreeSet<String>>>;

fn start_box(number: usize, arrived: &Arrived, record: &Record) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a box listens");
    let address = listener.local_addr().unwrap();
    let (arrived, record) = (arrived.clone(), record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (arrived, record) = (arrived.clone(), record.clone());
            std::thread::spawn(move || serve_box(number, stream, &arrived, &record));
        }
    });
    Entry {
        name: format!("box-{number}"),
        address,
        zone: "tembalang".to_owned(),
        kind: "std-4".to_owned(),
        status: "in_service",
    }
}

fn serve_box(number: usize, mut stream: TcpStream, arrived: &Arrived, record: &Record) {
    let _ = stream.set_nodelay(true);
    while let Ok(Some(call)) = thrift::read(&mut stream) {
        record.line(format!("box-{number}: runs {}", call.text));
        arrived.lock().unwrap().insert(call.text.clone());
        // 59 to 110 ms of work, the same for the same call.
        let work = 59 + call.text.bytes().map(u64::from).sum::<u64>() * 7 % 52;
        sleep_ms(work);
        let answer = thrift::reply(&call.name, call.seqid, &format!("corrected {}", call.text));
        let written = stream.write_all(&answer).is_ok();
        record.line(format!(
            "box-{number}: {} {}",
            call.text,
            if written {
                "answered"
            } else {
                "can't be answered: the connection has ended"
            }
        ));
        if !written {
            return;
        }
    }
}

/// What a caller knows of its calls.
#[derive(Default)]
struct Calls {
    open: BTreeMap<i32, String>,
    answered: usize,
    refused: usize,
}

/// Keeps calls open on one connection until told to stop, then waits for their answers. Returns the calls that the connection
/// left without one.
fn caller(number: usize, to: SocketAddr, stop: &AtomicBool, record: &Record) -> Option<Calls> {
    let mut stream = TcpStream::connect(to).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut writer = stream.try_clone().ok()?;
    let mut calls = Calls::default();
    let mut seqid = 0;
    let mut send = |calls: &mut Calls| {
        seqid += 1;
        let text = format!("caller-{number}/correction-{seqid}");
        let frame = thrift::call("correct", seqid, &text, LONGEST_DEADLINE_MS as i64);
        record.line(format!("caller-{number}: sends correction-{seqid}"));
        calls.open.insert(seqid, text);
        writer.write_all(&frame).is_ok()
    };
    for _ in 0..OPEN_CALLS {
        send(&mut calls);
        sleep_ms(25);
    }
    while !calls.open.is_empty() {
        match thrift::read(&mut stream) {
            Ok(Some(answer)) => {
                let known = calls.open.remove(&answer.seqid);
                record.line(format!(
                    "caller-{number}: correction-{} -> {}",
                    answer.seqid, answer.text
                ));
                if known.is_none() {
                    record.line(format!("caller-{number}: an answer to no call of its own"));
                }
                if answer.is_result() {
                    calls.answered += 1;
                } else {
                    calls.refused += 1;
                }
                if !stop.load(Ordering::SeqCst) {
                    send(&mut calls);
                }
            }
            ended => {
                let how = ended.err().map_or("closed".to_owned(), |e| e.to_string());
                record.line(format!(
                    "caller-{number}: the connection has ended ({how}) with {} calls open",
                    calls.open.len()
                ));
                break;
            }
        }
    }
    Some(calls)
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the case's folder");
    let record = Record::new(Path::new(&folder));
    let children = Arc::default();
    watchdog(60, Arc::clone(&children));
    let arrived = Arrived::default();
    let entries = (0..BOXES)
        .map(|number| start_box(number, &arrived, &record))
        .collect();
    let discovery = Discovery::start(entries, &record);
    let temp_dir = temp_folder("district");
    let (listen, thrift_listen) = (free_address(), free_address());
    let settings = r#"{"NInstances":1,"Ordinal":0,"Zone":0,"Localities":["tembalang"],"HostTypes":["std-4"],
        "Classes":[{"Name":"tally-submit","Target":400,"GiveUp":1000,"LateWorth":0,"Credit":10,"Idempotency":"guarded","Group":"zone","Window":600},
                   {"Name":"tally-correct","Target":500,"GiveUp":2500,"LateWorth":0,"Credit":2,"Idempotency":"single_shot"}],
        "RegistryMode":"push","LoadReport":{"Columns":[],"Via":"silent"},"Quantum":5,
        "Permissions":{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":200,"IdleClose":60000,"ParallelTries":true,
                       "Probes":false,"RetryAfter":true,"MaxRetryAfter":2000},
        "Rules":{"DrainGrace":2000,"ColdFrom":0.32,"OverloadFactor":4,"RampTime":7800,"TipAfter":1500}}"#;
    let config = temp_dir.join("config.json");
    let text = format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{settings}}}"#,
        discovery.address,
        discovery.list()
    );
    std::fs::write(&config, &text).expect("the configuration");
    record.line(format!("configuration: {text}"));
    let operator = format!(
        "[thrift]\nlisten = \"{thrift_listen}\"\n[[thrift.method]]\nname = \"correct\"\nclass = \"tally-correct\"\n\
         station_key = \"1\"\nbudget_ms = \"2\"\n[[thrift.backend]]\ntype = \"std-4\"\nencoding = \"binary\"\n\
         turned_away = [\"exception 10\"]\n"
    );
    let operator_file = temp_dir.join("operator.toml");
    std::fs::write(&operator_file, &operator).expect("the operator file");
    record.line(format!("operator file: {operator}"));
    let start = Start {
        label: "n0",
        config: &config,
        arguments: "--operator \"$TMPDIR/operator.toml\"",
        temp_dir: &temp_dir,
        listener: None,
        children: &children,
    };
    let mut node = Node::start(start, &record);
    if !node.wait_ready(listen, "/health/ready", Duration::from_secs(10)) {
        node.end();
        record.say("the node is not ready after 10 s");
        return ExitCode::from(2);
    }

    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (stop, record) = (stop.clone(), record.clone());
            std::thread::spawn(move || caller(number, thrift_listen, &stop, &record))
        })
        .collect();
    sleep_ms(CALM_MS);
    let told_at = Instant::now();
    if trouble() {
        node.signal("TERM");
        while node.ended().is_none() {
            if told_at.elapsed() > Duration::from_millis(KILL_AFTER_MS) {
                node.signal("KILL");
                break;
            }
            sleep_ms(10);
        }
        record.say(format!(
            "the node has ended {:.0} ms after SIGTERM",
            told_at.elapsed().as_secs_f64() * 1000.0
        ));
    } else {
        sleep_ms(KILL_AFTER_MS);
    }
    stop.store(true, Ordering::SeqCst);
    let ended: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().ok().flatten())
        .collect();
    sleep_ms(300);
    node.end();
    let _ = std::fs::remove_dir_all(&temp_dir);
    if ended.iter().any(Option::is_none) {
        record.say("a caller could not connect");
        return ExitCode::from(2);
    }

    let arrived = arrived.lock().unwrap();
    let (mut lost, mut answered, mut refused, mut unread) = (0, 0, 0, 0);
    for calls in ended.iter().flatten() {
        answered += calls.answered;
        refused += calls.refused;
        for text in calls.open.values() {
            if arrived.contains(text) {
                lost += 1;
                record.say(format!(
                    "{text}: the node sent it to a box, and its caller got no answer"
                ));
            } else {
                unread += 1;
            }
        }
    }
    record.say(format!(
        "{answered} calls answered with a result, {refused} with an exception; {lost} taken and sent on but never answered; \
         {unread} that crossed the end of the connection (not counted)"
    ));
    if answered == 0 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(lost > 0))
}
