//! Case: a node that is told to end while clients are still writing long bodies, at the pace that they are allowed.

use review_standins::discovery::{Discovery, Entry};
use review_standins::http::{Answer, Client, read_body, read_head, response};
use review_standins::node::{Node, Start, temp_folder};
use review_standins::{Record, free_address, sleep_ms, trouble, watchdog};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BOXES: usize = 4;
/// 110 ms of work on a machine of the slower kind, at a speed of 0.6.
const WORK_MS: u64 = 183;
const CLIENTS: u64 = 60;
/// Between the beginnings of two clients' uploads.
const STAGGER_MS: u64 = 20;
/// A body at 66 kB/s: clients may take 64 kB a second.
const BODY: usize = 198_000;
const PIECES: usize = 30;
const PIECE_REST_MS: u64 = 100;
/// SIGTERM comes this long after the first upload has begun.
const TERM_AFTER_MS: u64 = 900;
const LONGEST_DEADLINE_MS: u64 = 2500;
/// After SIGTERM: the longest deadline and 0.7 s is the least; a second more is given.
const KILL_AFTER_MS: u64 = LONGEST_DEADLINE_MS + 700 + 1000;

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
    while let Ok(Some(head)) = read_head(&mut stream) {
        let id = head.header("x-call-id").unwrap_or("").to_owned();
        if read_body(&mut stream, head.content_length()).is_err() {
            return;
        }
        if !id.is_empty() {
            record.line(format!("box-{number}: runs {id}"));
            arrived.lock().unwrap().insert(id.clone());
            sleep_ms(WORK_MS);
        }
        let written = stream
            .write_all(&response(200, "", &format!("corrected {id}")))
            .is_ok();
        if !written {
            record.line(format!(
                "box-{number}: {id} can't be answered: the connection has ended"
            ));
            return;
        }
    }
}

/// What became of an upload.
enum End {
    Answered(u16),
    /// The body was written whole, and no whole answer came.
    NoAnswer(String),
    /// The connection ended before the body was written whole.
    NotWhole,
}

fn upload(to: SocketAddr, id: &str, record: &Record) -> End {
    let Ok(mut stream) = TcpStream::connect(to) else {
        return End::NotWhole;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let head = format!(
        "POST /tally-correct/station HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Budget-Ms: {LONGEST_DEADLINE_MS}\r\n\
         Content-Length: {BODY}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return End::NotWhole;
    }
    for sent in 0..PIECES {
        if sent > 0 {
            sleep_ms(PIECE_REST_MS);
        }
        if stream.write_all(&[b'x'; BODY / PIECES]).is_err() {
            return End::NotWhole;
        }
    }
    record.line(format!("client: {id} is written whole"));
    match read_head(&mut stream) {
        Ok(Some(head)) => match read_body(&mut stream, head.content_length()) {
            Ok(_) => End::Answered(head.status()),
            Err(error) => End::NoAnswer(error.to_string()),
        },
        Ok(None) => End::NoAnswer("closed".to_owned()),
        Err(error) => End::NoAnswer(error.to_string()),
    }
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
    let temp_dir = temp_folder("upload");
    let listen = free_address();
    let settings = r#"{"NInstances":1,"Ordinal":0,"Zone":0,"Localities":["tembalang"],"HostTypes":["std-4"],
        "Classes":[{"Name":"tally-submit","Target":400,"GiveUp":1000,"LateWorth":0,"Credit":10,"Idempotency":"guarded","Group":"zone","Window":600},
                   {"Name":"tally-correct","Target":500,"GiveUp":2500,"LateWorth":0,"Credit":2,"Idempotency":"single_shot"}],
        "RegistryMode":"push","LoadReport":{"Columns":[],"Via":"silent"},"Quantum":5,
        "Permissions":{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":200,"IdleClose":60000,"ParallelTries":true,
                       "Probes":true,"RetryAfter":true,"MaxRetryAfter":2000},
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
    let start = Start {
        label: "n0",
        config: &config,
        arguments: "",
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
    let mut client = Client::new(listen);
    for number in 0..12 {
        let request = format!(
            "POST /tally-correct/s HTTP/1.1\r\nHost: h\r\nX-Call-Id: calm-{number}\r\nX-Budget-Ms: 2500\r\nContent-Length: 0\r\n\r\n"
        );
        if !matches!(client.send(request.as_bytes()), Answer::Whole(200, _)) {
            node.end();
            record.say("requests failed before the disruption");
            return ExitCode::from(2);
        }
    }

    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || {
                sleep_ms(number * STAGGER_MS);
                let id = format!("correction-{number}");
                let end = upload(listen, &id, &record);
                let text = match &end {
                    End::Answered(status) => status.to_string(),
                    End::NoAnswer(how) => format!("no answer: {how}"),
                    End::NotWhole => "the connection ended before the body was whole".to_owned(),
                };
                record.line(format!("client: {id} -> {text}"));
                (id, end)
            })
        })
        .collect();
    sleep_ms(TERM_AFTER_MS);
    let told_at = Instant::now();
    if trouble() {
        node.signal("TERM");
        while node.ended().is_none() {
            if told_at.elapsed() > Duration::from_millis(KILL_AFTER_MS) {
                node.signal("KILL");
                break;
            }
            sleep_ms(5);
        }
        record.say(format!(
            "the node has ended {:.0} ms after SIGTERM",
            told_at.elapsed().as_secs_f64() * 1000.0
        ));
    }
    let ends: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    node.end();
    let _ = std::fs::remove_dir_all(&temp_dir);

    let arrived = arrived.lock().unwrap();
    let (mut answered, mut lost, mut other) = (0, 0, 0);
    for (id, end) in &ends {
        match end {
            End::Answered(_) => answered += 1,
            End::NoAnswer(how) if arrived.contains(id) => {
                lost += 1;
                record.say(format!(
                    "{id}: taken and sent to a box, and its client got no answer ({how})"
                ));
            }
            End::NoAnswer(_) | End::NotWhole => other += 1,
        }
    }
    record.say(format!(
        "{answered} uploads answered; {lost} taken and sent on but never answered; {other} cut off before they were whole, or \
         crossing the end (not counted)"
    ));
    if answered == 0 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(lost > 0))
}
