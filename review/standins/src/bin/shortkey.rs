//! Case: a new configuration that is short of a key is taken, and keyed work is then repeated in another zone.

use review_standins::discovery::{Discovery, Entry};
use review_standins::http::{Answer, Client, read_body, read_head, response};
use review_standins::node::{Node, Start, temp_folder};
use review_standins::{Record, free_address, sleep_ms, trouble, watchdog};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The work of a request is 59 to 110 ms on a standard core; a box turns 2 to 3 times slower on some days: 110 ms at a speed of
/// 0.6, twice slower.
const WORK_MS: u64 = 60;
const SLOW_WORK_MS: u64 = 366;
const WINDOW_MS: f64 = 600.0;
const CALM: usize = 40;
const REQUESTS: usize = 16;
/// Between the beginnings of two requests.
const PAUSE_MS: u64 = 150;

/// Where and when each key was applied.
type Applied = Arc<Mutex<BTreeMap<String, Vec<(&'static str, f64)>>>>;

/// A box of a zone of its own: it drops a repeat of a key that it has run in the last 600 ms, and knows nothing of other zones.
struct TallyBox {
    zone: &'static str,
    applied: Applied,
    slow: AtomicBool,
    record: Record,
}

impl TallyBox {
    fn start(zone: &'static str, applied: &Applied, record: &Record) -> (Arc<Self>, Entry) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a box listens");
        let entry = Entry {
            name: format!("box-{zone}"),
            address: listener.local_addr().unwrap(),
            zone: zone.to_owned(),
            kind: "lite-4".to_owned(),
            status: "in_service",
        };
        let tally_box = Arc::new(TallyBox {
            zone,
            applied: applied.clone(),
            slow: AtomicBool::new(false),
            record: record.clone(),
        });
        let shared = tally_box.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        (tally_box, entry)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(head)) = read_head(&mut stream) {
            let key = head.header("idempotency-key").unwrap_or("").to_owned();
            if read_body(&mut stream, head.content_length()).is_err() {
                return;
            }
            if !key.is_empty() {
                let now = self.record.now();
                let mut applied = self.applied.lock().unwrap();
                let runs = applied.entry(key.clone()).or_default();
                let repeat = runs
                    .iter()
                    .any(|(zone, at)| *zone == self.zone && now - at < WINDOW_MS);
                if !repeat {
                    runs.push((self.zone, now));
                }
                drop(applied);
                let what = if repeat {
                    "dropped as a repeat"
                } else {
                    "APPLIED"
                };
                self.record
                    .line(format!("box of {}: {key} is whole: {what}", self.zone));
                let slow = self.slow.load(Ordering::SeqCst);
                sleep_ms(if slow { SLOW_WORK_MS } else { WORK_MS });
            }
            let _ = stream.write_all(&response(200, "", &format!("counted {key}")));
        }
    }
}

fn submit(client: &mut Client, id: &str, record: &Record) -> Answer {
    let request = format!(
        "POST /tally-submit/station HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 1000\r\n\
         Idempotency-Key: key-{id}\r\nContent-Length: 5\r\n\r\nsheet"
    );
    let answer = client.send(request.as_bytes());
    record.line(format!("client: {id} -> {answer:?}"));
    answer
}

fn counters(admin: SocketAddr) -> String {
    let call = b"GET /control/counters HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    match Client::new(admin).send(call) {
        Answer::Whole(200, figures) => {
            let loads: Vec<&str> = figures
                .lines()
                .filter(|line| line.contains(".load"))
                .collect();
            loads.join(" ")
        }
        other => format!("{other:?}"),
    }
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the case's folder");
    let record = Record::new(Path::new(&folder));
    let children = Arc::default();
    watchdog(60, Arc::clone(&children));
    let applied = Applied::default();
    let (near, near_entry) = TallyBox::start("tembalang", &applied, &record);
    let (_, far_entry) = TallyBox::start("srondol", &applied, &record);
    let discovery = Discovery::start(vec![near_entry, far_entry], &record);
    let known = discovery.list();
    let temp_dir = temp_folder("shortkey");
    let (listen, admin) = (free_address(), free_address());
    let config = temp_dir.join("config.json");
    let write_config = |keyed: &str| {
        let settings = format!(
            r#"{{"NInstances":1,"Ordinal":0,"Zone":0,"Localities":["tembalang","srondol"],"HostTypes":["lite-4"],
            "Classes":[{{"Name":"tally-submit","Target":400,"GiveUp":1000,"LateWorth":0,"Credit":10,{keyed}}},
                       {{"Name":"tally-correct","Target":500,"GiveUp":2500,"LateWorth":0,"Credit":2,"Idempotency":"single_shot"}}],
            "RegistryMode":"push","LoadReport":{{"Columns":[],"Via":"silent"}},"Quantum":5,
            "Permissions":{{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":200,"IdleClose":60000,"ParallelTries":true,
                           "Probes":true,"RetryAfter":true,"MaxRetryAfter":2000}},
            "Rules":{{"DrainGrace":2000,"ColdFrom":0.32,"OverloadFactor":4,"RampTime":7800,"TipAfter":1500}}}}"#
        );
        let text = format!(
            r#"{{"name":"n0","listen":"{listen}","admin":"{admin}","discovery":"{}","seed":"8c1f30d27a5be964",
                "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#,
            discovery.address
        );
        record.line(format!("platform: puts a configuration in place: {text}"));
        let new = config.with_extension("new");
        std::fs::write(&new, text).expect("the configuration");
        std::fs::rename(&new, &config).expect("the configuration in place");
    };
    write_config(r#""Idempotency":"guarded","Group":"zone","Window":600"#);
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
    for number in 0..CALM {
        if !matches!(
            submit(&mut client, &format!("calm-{number}"), &record),
            Answer::Whole(200, _)
        ) {
            node.end();
            record.say("requests failed before the disruption");
            return ExitCode::from(2);
        }
    }
    if trouble() {
        record.line("disruption: the new file is short of the class's Group");
        write_config(r#""Idempotency":"guarded","Window":600"#);
        node.signal("HUP");
        sleep_ms(1500);
    }
    record.say(format!("counters: {}", counters(admin)));
    // With and without the disruption.
    record.line("the box of tembalang turns slower");
    near.slow.store(true, Ordering::SeqCst);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || {
                sleep_ms(number as u64 * PAUSE_MS);
                submit(
                    &mut Client::new(listen),
                    &format!("sheet-{number}"),
                    &record,
                );
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(700);
    node.end();
    let _ = std::fs::remove_dir_all(&temp_dir);

    let applied = applied.lock().unwrap();
    let mut twice = 0;
    for (key, runs) in applied.iter().filter(|(_, runs)| runs.len() > 1) {
        twice += 1;
        record.say(format!(
            "{key}: applied in {} and {:.0} ms later in {}",
            runs[0].0,
            runs[1].1 - runs[0].1,
            runs[1].0
        ));
    }
    record.say(format!(
        "{twice} of {REQUESTS} tally sheets were applied in two zones"
    ));
    ExitCode::from(u8::from(twice > 0))
}
