//! Case: some callers send hundreds of oneway calls at once and go; the node then answers nobody any more.

use review_standins::discovery::{Discovery, Entry};
use review_standins::http::{read_body, read_head};
use review_standins::node::{Node, Start, temp_folder};
use review_standins::{Record, free_address, sleep_ms, thrift, trouble, watchdog};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BOXES: usize = 8;
const WORK_MS: u64 = 80;
/// The usual clients, each with one request at a time and a new connection for each.
const CLIENTS: usize = 6;
const PAUSE_MS: u64 = 150;
const BUDGET_MS: u64 = 2500;
/// A final answer may come up to half a second after its time; 50 ms more on sockets, and 150 ms for a node that is held up.
const LOST_AFTER_MS: u64 = BUDGET_MS + 500 + 50 + 150;
const CALM_MS: u64 = 3000;
/// The callers that send much at once.
const BAD_CALLERS: usize = 40;
const CALLS_AT_ONCE: i32 = 500;
const BAD_STAY_MS: u64 = 1000;
/// From the flood to the last request of a usual client.
const AFTERWARDS_MS: u64 = 12_000;

fn start_box(number: usize, runs: &Arc<AtomicUsize>) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a box listens");
    let address = listener.local_addr().unwrap();
    let runs = runs.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = runs.clone();
            std::thread::spawn(move || serve_box(stream, &runs));
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

fn serve_box(mut stream: TcpStream, runs: &AtomicUsize) {
    let _ = stream.set_nodelay(true);
    while let Ok(Some(call)) = thrift::read(&mut stream) {
        runs.fetch_add(1, Ordering::SeqCst);
        sleep_ms(WORK_MS);
        if call.is_oneway() {
            continue;
        }
        let answer = thrift::reply(&call.name, call.seqid, "corrected");
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}

/// Sends hundreds of oneway calls at once, reads nothing, and goes.
fn bad_caller(number: usize, to: SocketAddr, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(to) else {
        return;
    };
    let mut all = Vec::new();
    for seqid in 1..=CALLS_AT_ONCE {
        all.extend(thrift::oneway("note", seqid, "s", BUDGET_MS as i64));
    }
    let sent = stream.write_all(&all);
    record.line(format!(
        "bad caller {number}: {CALLS_AT_ONCE} oneway calls, {} bytes: {sent:?}",
        all.len()
    ));
    sleep_ms(BAD_STAY_MS);
}

/// One request of a usual client: the status, or why there is none.
fn request(to: SocketAddr, id: &str, patience_ms: u64) -> Result<u16, String> {
    let mut stream = TcpStream::connect(to).map_err(|e| e.to_string())?;
    let text = |e: std::io::Error| e.to_string();
    stream.set_nodelay(true).map_err(text)?;
    stream
        .set_read_timeout(Some(Duration::from_millis(patience_ms)))
        .map_err(text)?;
    let request = format!(
        "POST /tally-correct/station HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Budget-Ms: {BUDGET_MS}\r\nContent-Length: 5\r\n\r\nsheet"
    );
    stream.write_all(request.as_bytes()).map_err(text)?;
    let head = read_head(&mut stream).map_err(text)?.ok_or("closed")?;
    read_body(&mut stream, head.content_length()).map_err(text)?;
    Ok(head.status())
}

/// A call to the operators' address, which is answered within 1 s.
fn operators_call(to: SocketAddr, path: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(to) else {
        return "not connected".to_owned();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes());
    match read_head(&mut stream) {
        Ok(Some(head)) => head.status().to_string(),
        Ok(None) => "closed".to_owned(),
        Err(error) => format!("no answer within 1 s ({error})"),
    }
}

/// A request of a usual client: when it was sent, after the start of the case, and what came.
type Asked = (f64, String, Result<u16, String>);

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the case's folder");
    let record = Record::new(Path::new(&folder));
    let children = Arc::default();
    watchdog(90, Arc::clone(&children));
    let runs = Arc::<AtomicUsize>::default();
    let entries = (0..BOXES).map(|number| start_box(number, &runs)).collect();
    let discovery = Discovery::start(entries, &record);
    let temp_dir = temp_folder("flood");
    let (listen, thrift_listen, admin) = (free_address(), free_address(), free_address());
    let settings = r#"{"NInstances":1,"Ordinal":0,"Zone":0,"Localities":["tembalang"],"HostTypes":["std-4"],
        "Classes":[{"Name":"tally-submit","Target":400,"GiveUp":1000,"LateWorth":0,"Credit":10,"Idempotency":"guarded","Group":"zone","Window":600},
                   {"Name":"tally-correct","Target":500,"GiveUp":2500,"LateWorth":0,"Credit":2,"Idempotency":"single_shot"}],
        "RegistryMode":"push","LoadReport":{"Columns":[],"Via":"silent"},"Quantum":5,
        "Permissions":{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":200,"IdleClose":60000,"ParallelTries":true,
                       "Probes":true,"RetryAfter":true,"MaxRetryAfter":2000},
        "Rules":{"DrainGrace":2000,"ColdFrom":0.32,"OverloadFactor":4,"RampTime":7800,"TipAfter":1500}}"#;
    let config = temp_dir.join("config.json");
    let text = format!(
        r#"{{"name":"n0","listen":"{listen}","admin":"{admin}","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{settings}}}"#,
        discovery.address,
        discovery.list()
    );
    std::fs::write(&config, &text).expect("the configuration");
    record.line(format!("configuration: {text}"));
    let operator = format!(
        "[thrift]\nlisten = \"{thrift_listen}\"\n[[thrift.method]]\nname = \"note\"\nclass = \"tally-correct\"\n\
         station_key = \"1\"\nbudget_ms = \"2\"\n[[thrift.backend]]\ntype = \"std-4\"\nencoding = \"binary\"\n\
         turned_away = [\"exception 10\"]\n[[thrift.backend.http_call]]\nclass = \"tally-correct\"\nmethod = \"correct\"\n\
         target = 1\nbody = 2\n"
    );
    std::fs::write(temp_dir.join("operator.toml"), &operator).expect("the operator file");
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
    let asked = Arc::<Mutex<Vec<Asked>>>::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, asked, record) = (stop.clone(), asked.clone(), record.clone());
            std::thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("c{number}-{count}");
                    let (sent_at, began) = (record.now(), Instant::now());
                    let answer = request(listen, &id, LOST_AFTER_MS);
                    let took = began.elapsed().as_millis();
                    record.line(format!(
                        "client {number}: {id} -> {answer:?} after {took} ms"
                    ));
                    asked.lock().unwrap().push((sent_at, id, answer));
                    sleep_ms(PAUSE_MS);
                }
            })
        })
        .collect();
    sleep_ms(CALM_MS);
    let flood_at = record.now();
    if trouble() {
        record.line("disruption: callers send hundreds of oneway calls at once, and go");
        let bad: Vec<_> = (0..BAD_CALLERS)
            .map(|number| {
                let record = record.clone();
                std::thread::spawn(move || bad_caller(number, thrift_listen, &record))
            })
            .collect();
        for caller in bad {
            let _ = caller.join();
        }
        record.line("the bad callers have gone");
    }
    let left = AFTERWARDS_MS as f64 - (record.now() - flood_at);
    sleep_ms(left.max(0.0) as u64);
    for path in ["/control/ready", "/control/counters"] {
        record.say(format!(
            "operators' call {path}: {}",
            operators_call(admin, path)
        ));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let ended = node.ended();
    node.end();
    let _ = std::fs::remove_dir_all(&temp_dir);

    let asked = asked.lock().unwrap();
    let calm = asked
        .iter()
        .filter(|(at, _, answer)| *at < flood_at && answer.is_ok())
        .count();
    let lost: Vec<_> = asked
        .iter()
        .filter(|(_, _, answer)| answer.is_err())
        .collect();
    let answered = asked
        .iter()
        .filter(|(at, _, answer)| *at >= flood_at && answer.is_ok())
        .count();
    let last_answer = asked
        .iter()
        .filter(|(_, _, a)| a.is_ok())
        .map(|(at, _, _)| at - flood_at)
        .fold(f64::MIN, f64::max);
    if let Some(how) = ended {
        record.say(format!("the node had ended: {how}"));
    }
    record.say(format!(
        "usual clients: {calm} answered before the disruption; afterwards {answered} answered, {} with no answer {} ms after they \
         were sent; the last that was answered was sent {last_answer:.0} ms after the disruption began",
        lost.len(),
        LOST_AFTER_MS
    ));
    record.line(format!("boxes ran {} calls", runs.load(Ordering::SeqCst)));
    if calm == 0 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(!lost.is_empty()))
}
