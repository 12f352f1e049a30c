//! Case: a process takes another's place while discovery is silent, and sends to a backend whose drain the node was told of.

use review_standins::discovery::{Discovery, Entry};
use review_standins::http::{Answer, Client, read_body, read_head, response};
use review_standins::node::{Node, Start, temp_folder};
use review_standins::{Record, free_address, sleep_ms, trouble, watchdog};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const GRACE_MS: f64 = 2000.0;
/// 50 ms on sockets, and 150 ms for a node that is held up.
const SLACK_MS: f64 = 200.0;
const DRAIN_AT_MS: f64 = 2000.0;
/// A box that drains ends after this time, by the brief's figures.
const DRAIN_TIME_MS: f64 = 5800.0;
const SILENT_AT_MS: f64 = 2500.0;
const SILENT_FOR_MS: f64 = 8000.0;
const UPGRADE_AT_MS: f64 = 3200.0;
const KILL_AFTER_MS: f64 = 2500.0 + 700.0 + 500.0;
const END_AT_MS: f64 = 12_000.0;
const CLIENTS: usize = 4;

struct TallyBox {
    name: &'static str,
    /// When the first byte of each request came.
    sends: Mutex<Vec<(f64, String)>>,
    open: Mutex<Vec<TcpStream>>,
    down: AtomicBool,
    record: Record,
}

impl TallyBox {
    fn start(name: &'static str, record: &Record) -> (Arc<Self>, Entry) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a box listens");
        let entry = Entry {
            name: format!("box-{name}"),
            address: listener.local_addr().unwrap(),
            zone: "tembalang".to_owned(),
            kind: "std-4".to_owned(),
            status: "in_service",
        };
        let tally_box = Arc::new(TallyBox {
            name,
            sends: Mutex::default(),
            open: Mutex::default(),
            down: AtomicBool::new(false),
            record: record.clone(),
        });
        let shared = tally_box.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.down.load(Ordering::SeqCst) {
                    continue; // a process that has ended: the connection is closed at once
                }
                shared.open.lock().unwrap().extend(stream.try_clone());
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        (tally_box, entry)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(head)) = read_head(&mut stream) {
            let at = self.record.now();
            if head.path().starts_with("/health") || head.path().starts_with("/stats") {
                let _ = stream.write_all(&response(200, "", ""));
                continue;
            }
            let id = head.header("x-call-id").unwrap_or("").to_owned();
            if read_body(&mut stream, head.content_length()).is_err() {
                return;
            }
            self.record
                .line(format!("box-{}: {id} has come", self.name));
            self.sends.lock().unwrap().push((at, id.clone()));
            sleep_ms(80);
            if self.down.load(Ordering::SeqCst) {
                self.record
                    .line(format!("box-{}: {id} was cut off", self.name));
                return;
            }
            let _ = stream.write_all(&response(200, "", &format!("corrected {id}")));
        }
    }

    /// The process ends: its connections end, and it takes no new ones.
    fn end(&self) {
        self.record
            .line(format!("box-{}: the process ends", self.name));
        self.down.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

type Answers = Arc<Mutex<BTreeMap<String, usize>>>;

fn client(number: usize, to: SocketAddr, stop: &AtomicBool, answers: &Answers, record: &Record) {
    let mut client = Client::new(to);
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("c{number}-{count}");
        let request = format!(
            "POST /tally-correct/station-{number} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\n\
             X-Budget-Ms: 2500\r\nContent-Length: 4\r\n\r\nbody"
        );
        let answer = client.send(request.as_bytes());
        let kind = match &answer {
            Answer::Whole(status, _) => status.to_string(),
            Answer::NotConnected => "not connected".to_owned(),
            Answer::None(_) => "no answer".to_owned(),
        };
        record.line(format!("client {number}: {id} -> {answer:?}"));
        *answers.lock().unwrap().entry(kind).or_default() += 1;
        sleep_ms(30);
    }
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the case's folder");
    let record = Record::new(Path::new(&folder));
    let children = Arc::default();
    watchdog(60, Arc::clone(&children));
    // Both by default; TROUBLE=0 leaves both out. ONLY=upgrade or ONLY=silence plays one, to tell which is needed.
    let only = std::env::var("ONLY").unwrap_or_default();
    let upgrades = trouble() && only != "silence";
    let falls_silent = trouble() && only != "upgrade";

    let (box_a, entry_a) = TallyBox::start("a", &record);
    let (_, entry_b) = TallyBox::start("b", &record);
    let (_, entry_c) = TallyBox::start("c", &record);
    let discovery = Discovery::start(vec![entry_a, entry_b, entry_c], &record);
    let known = discovery.list();
    let temp_dir = temp_folder("upgrade");
    // The platform holds the clients' listening socket, which every process inherits.
    let listener = TcpListener::bind("127.0.0.1:0").expect("the clients' address");
    let listen = listener.local_addr().unwrap();
    let inherited = || Some(OwnedFd::from(listener.try_clone().expect("a descriptor")));
    let settings = r#"{"NInstances":1,"Ordinal":0,"Zone":0,"Localities":["tembalang"],"HostTypes":["std-4"],
        "Classes":[{"Name":"tally-submit","Target":400,"GiveUp":1000,"LateWorth":0,"Credit":10,"Idempotency":"guarded","Group":"zone","Window":600},
                   {"Name":"tally-correct","Target":500,"GiveUp":2500,"LateWorth":0,"Credit":2,"Idempotency":"single_shot"}],
        "RegistryMode":"push","LoadReport":{"Columns":[],"Via":"silent"},"Quantum":5,
        "Permissions":{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":200,"IdleClose":60000,"ParallelTries":true,
                       "Probes":true,"RetryAfter":true,"MaxRetryAfter":2000},
        "Rules":{"DrainGrace":2000,"ColdFrom":0.32,"OverloadFactor":4,"RampTime":7800,"TipAfter":1500}}"#;
    let write_config = |name: &str, admin: SocketAddr, seed: &str| {
        let text = format!(
            r#"{{"name":"n0","listen":"{listen}","admin":"{admin}","discovery":"{}","seed":"{seed}",
                "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#,
            discovery.address
        );
        record.line(format!("{name}: {text}"));
        let path = temp_dir.join(name);
        std::fs::write(&path, text).expect("the configuration");
        path
    };
    let (admin_old, admin_new) = (free_address(), free_address());
    let config_old = write_config("old.json", admin_old, "8c1f30d27a5be964");
    let config_new = write_config("new.json", admin_new, "1e0b52c99d4f7a33");
    let start = |label: &'static str, config: &Path| {
        let start = Start {
            label,
            config,
            arguments: "",
            temp_dir: &temp_dir,
            listener: inherited(),
            children: &children,
        };
        Node::start(start, &record)
    };
    let mut old = start("old", &config_old);
    if !old.wait_ready(admin_old, "/control/ready", Duration::from_secs(10)) {
        old.end();
        record.say("the node is not ready after 10 s");
        return ExitCode::from(2);
    }
    let begin = record.now();
    let until = |at: f64| {
        let left = begin + at - record.now();
        if left > 0.0 {
            sleep_ms(left as u64);
        }
    };

    let stop = Arc::new(AtomicBool::new(false));
    let answers = Answers::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, answers, record) = (stop.clone(), answers.clone(), record.clone());
            std::thread::spawn(move || client(number, listen, &stop, &answers, &record))
        })
        .collect();

    until(DRAIN_AT_MS);
    discovery.set_status("box-a", "terminating");
    let told_at = record.now();
    let a = box_a.clone();
    std::thread::spawn(move || {
        sleep_ms(DRAIN_TIME_MS as u64);
        a.end();
    });
    until(SILENT_AT_MS);
    if falls_silent {
        record.line("disruption: discovery is down, its agent is silent");
        discovery.set_silent(true);
        let (discovery, record) = (discovery.clone(), record.clone());
        std::thread::spawn(move || {
            sleep_ms(SILENT_FOR_MS as u64);
            record.line("discovery is back");
            discovery.set_silent(false);
        });
    }
    let mut new = None;
    if upgrades {
        until(UPGRADE_AT_MS);
        record.line("disruption: the platform replaces the process");
        let mut process = start("new", &config_new);
        if !process.wait_ready(admin_new, "/control/ready", Duration::from_secs(6)) {
            process.end();
            old.end();
            record.say("the new process did not say yes within 6 s");
            return ExitCode::from(2);
        }
        let yes_at = record.now();
        old.signal("TERM");
        while old.ended().is_none() && record.now() - yes_at < KILL_AFTER_MS {
            sleep_ms(10);
        }
        old.end();
        new = Some(process);
    }
    until(END_AT_MS);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    old.end();
    if let Some(mut new) = new {
        new.end();
    }
    let _ = std::fs::remove_dir_all(&temp_dir);

    let sends = box_a.sends.lock().unwrap();
    let before = sends.iter().filter(|(at, _)| *at < told_at).count();
    let late: Vec<_> = sends
        .iter()
        .filter(|(at, _)| *at > told_at + GRACE_MS + SLACK_MS)
        .collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.say(format!(
            "sent to box-a after the grace: the first ({}) {:.0} ms and the last ({}) {:.0} ms after the node was told",
            first.1,
            first.0 - told_at,
            last.1,
            last.0 - told_at
        ));
    }
    record.say(format!("answers to clients: {:?}", answers.lock().unwrap()));
    record.say(format!(
        "box-a got {before} requests before its drain was told, and {} later than {GRACE_MS} + {SLACK_MS} ms after",
        late.len()
    ));
    if before == 0 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(!late.is_empty()))
}
