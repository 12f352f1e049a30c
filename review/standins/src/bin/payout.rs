//! Case: a keyed repeat whose last byte is written after the window of its key.
//!
//! Two backends of one zone drop a repeat of a key for 600 ms, together. In the disruption one of them ends its connection
//! under each request that it has run, and the other takes a second or so to read a long request.

use review_standins::discovery::{Discovery, Entry};
use review_standins::http::{Answer, Client, read_body, read_head, response};
use review_standins::node::{Node, Start, temp_folder};
use review_standins::{Record, free_address, sleep_ms, trouble, watchdog};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long backends of a zone remember a key.
const WINDOW_MS: f64 = 600.0;
/// What the pages add to a time limit: 50 ms on sockets, and 150 ms for a node that is held up.
const SLACK_MS: f64 = 200.0;
const WORK_MS: u64 = 40;
const LONG_BODY: usize = 250_000;
const REQUESTS: usize = 8;
/// The slow reader takes this much, then rests for this long: about 140 kB/s.
const PIECE: usize = 4096;
const PIECE_REST_MS: u64 = 20;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// What a listener's connections get: a receive buffer of 3 kB, and segments as on an Ethernet.
fn like_a_small_machine(listener: &TcpListener) {
    let (level_socket, receive_buffer, level_tcp, max_segment) = (1, 8, 6, 2);
    for (level, name, value) in [
        (level_socket, receive_buffer, 3072),
        (level_tcp, max_segment, 1460),
    ] {
        // SAFETY: the descriptor is open, and the value an int, as these options have it.
        unsafe { setsockopt(listener.as_raw_fd(), level, name, &value, 4) };
    }
}

/// A run of a key at a backend.
#[derive(Clone)]
struct Run {
    backend: &'static str,
    last_byte_at: f64,
}

#[derive(Default)]
struct Zone {
    /// When each key was last run, as the backends of the zone remember it.
    memory: HashMap<String, f64>,
    runs: HashMap<String, Vec<Run>>,
}

struct Backend {
    name: &'static str,
    zone: Arc<Mutex<Zone>>,
    resets: AtomicBool,
    reads_slowly: AtomicBool,
    record: Record,
}

impl Backend {
    fn start(name: &'static str, zone: &Arc<Mutex<Zone>>, record: &Record) -> (Arc<Self>, Entry) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a backend listens");
        like_a_small_machine(&listener);
        let backend = Arc::new(Backend {
            name,
            zone: zone.clone(),
            resets: AtomicBool::new(false),
            reads_slowly: AtomicBool::new(false),
            record: record.clone(),
        });
        let entry = Entry {
            name: format!("s-{name}"),
            address: listener.local_addr().unwrap(),
            zone: "nyarugenge".to_owned(),
            kind: "std-1".to_owned(),
            status: "in_service",
        };
        let shared = backend.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        (backend, entry)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(head)) = read_head(&mut stream) {
            if head.path().starts_with("/health") || head.path().starts_with("/stats") {
                let _ = stream.write_all(&response(200, "", ""));
                continue;
            }
            let id = head.header("x-call-id").unwrap_or("").to_owned();
            let key = head.header("idempotency-key").unwrap_or("").to_owned();
            self.record
                .line(format!("{}: {id} begins to come, key {key}", self.name));
            if self
                .read_request(&mut stream, head.content_length())
                .is_err()
            {
                self.record.line(format!(
                    "{}: {id} broke off before its last byte",
                    self.name
                ));
                return;
            }
            let last_byte_at = self.record.now();
            let runs = {
                let mut zone = self.zone.lock().unwrap();
                let known = zone
                    .memory
                    .get(&key)
                    .is_some_and(|at| last_byte_at - at < WINDOW_MS);
                if !known {
                    zone.memory.insert(key.clone(), last_byte_at);
                    let run = Run {
                        backend: self.name,
                        last_byte_at,
                    };
                    zone.runs.entry(key.clone()).or_default().push(run);
                }
                !known
            };
            let what = if runs {
                "APPLIED"
            } else {
                "dropped as a repeat"
            };
            self.record
                .line(format!("{}: {id} is whole: {what}", self.name));
            sleep_ms(WORK_MS);
            if self.resets.load(Ordering::SeqCst) {
                self.record
                    .line(format!("{}: the connection ends under {id}", self.name));
                return;
            }
            let _ = stream.write_all(&response(200, "", &format!("paid {id}")));
            self.record
                .line(format!("{}: {id} answered 200", self.name));
        }
    }

    fn read_request(&self, stream: &mut TcpStream, length: usize) -> std::io::Result<()> {
        if !self.reads_slowly.load(Ordering::SeqCst) {
            return read_body(stream, length).map(drop);
        }
        let mut left = length;
        let mut piece = [0; PIECE];
        while left > 0 {
            let most = left.min(PIECE);
            let count = stream.read(&mut piece[..most])?;
            if count == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            left -= count;
            sleep_ms(PIECE_REST_MS);
        }
        Ok(())
    }
}

fn request(id: &str, length: usize) -> Vec<u8> {
    let mut bytes = format!(
        "POST /driver-payout/d1 HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 2000\r\n\
         Idempotency-Key: key-{id}\r\nContent-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    bytes
}

/// For the record only: when the node itself counts an attempt as written whole.
fn follow_attempts(admin: SocketAddr, record: &Record) {
    let record = record.clone();
    std::thread::spawn(move || {
        let mut last = String::new();
        loop {
            let call = b"GET /control/counters HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            if let Answer::Whole(200, figures) = Client::new(admin).send(call) {
                let written = figures.lines().find(|line| line.contains("upstream_tries"));
                let written = written.unwrap_or("").to_owned();
                if written != last {
                    record.line(format!("counters: {written}"));
                    last = written;
                }
            }
            sleep_ms(20);
        }
    });
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the case's folder");
    let record = Record::new(Path::new(&folder));
    let children = Arc::default();
    watchdog(100, Arc::clone(&children));
    let zone = Arc::<Mutex<Zone>>::default();
    let (first, first_entry) = Backend::start("A", &zone, &record);
    let (second, second_entry) = Backend::start("B", &zone, &record);
    let discovery = Discovery::start(vec![first_entry, second_entry], &record);
    let temp_dir = temp_folder("payout");
    let (listen, admin) = (free_address(), free_address());
    let settings = r#"{"NInstances":1,"Ordinal":0,"Zone":0,"Localities":["nyarugenge","kacyiru"],"HostTypes":["std-1"],
        "Classes":[{"Name":"driver-payout","Target":500,"GiveUp":2000,"LateWorth":0.25,"Credit":10,
                    "Idempotency":"guarded","Group":"zone","Window":600}],
        "RegistryMode":"push","LoadReport":{"Columns":[],"Via":"silent"},"Quantum":2,
        "Permissions":{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":200,"IdleClose":60000,"ParallelTries":true,
                       "Probes":true,"RetryAfter":true,"MaxRetryAfter":1000},
        "Rules":{"DrainGrace":500,"ColdFrom":0.3,"OverloadFactor":3,"RampTime":8000,"TipAfter":1000}}"#;
    let config = temp_dir.join("config.json");
    let text = format!(
        r#"{{"name":"n0","listen":"{listen}","admin":"{admin}","discovery":"{}","seed":"8c1f30d27a5be964",
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

    // Calm first: the node learns how long an answer takes.
    let mut client = Client::new(listen);
    let send = |client: &mut Client, id: &str, length: usize| {
        record.line(format!("client: sends {id}, {length} bytes"));
        let answer = client.send(&request(id, length));
        record.line(format!("client: {id} -> {answer:?}"));
        answer
    };
    let mut whole = true;
    for number in 0..30 {
        let answer = send(&mut client, &format!("calm-{number}"), 500);
        whole &= matches!(answer, Answer::Whole(200, _));
    }
    if !whole {
        node.end();
        record.say("requests failed before the disruption");
        return ExitCode::from(2);
    }
    if trouble() {
        record.line(
            "disruption: A ends its connection under each request that it has run, B reads slowly",
        );
        first.resets.store(true, Ordering::SeqCst);
        second.reads_slowly.store(true, Ordering::SeqCst);
    }
    follow_attempts(admin, &record);
    for number in 0..REQUESTS {
        send(&mut client, &format!("long-{number}"), LONG_BODY);
        sleep_ms(300);
    }
    sleep_ms(2500);
    node.end();
    let _ = std::fs::remove_dir_all(&temp_dir);

    let zone = zone.lock().unwrap();
    let mut broken = 0;
    let mut keys: Vec<_> = zone
        .runs
        .iter()
        .filter(|(_, runs)| runs.len() > 1)
        .collect();
    keys.sort_by_key(|(key, _)| (*key).clone());
    for (key, runs) in keys {
        let apart = runs[1].last_byte_at - runs[0].last_byte_at;
        let late = apart > WINDOW_MS + SLACK_MS;
        broken += usize::from(late);
        record.say(format!(
            "{key}: applied {} times, at {} and {:.0} ms later at {}; the last byte of the repeat came {}",
            runs.len(),
            runs[0].backend,
            apart,
            runs[1].backend,
            if late { "after the window" } else { "within the slack" }
        ));
    }
    record.say(format!("{broken} of {REQUESTS} payouts were applied twice, the repeat later than {WINDOW_MS} + {SLACK_MS} ms"));
    ExitCode::from(u8::from(broken > 0))
}
