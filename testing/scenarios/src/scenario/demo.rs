//! Something to look at: stand-in backends of both protocols, their roster and a node, calls of both protocols, and
//! backends that are killed, drained and added as it goes.

use crate::ledger::{Ledger, Repeat};
use crate::peers::{self, Backend, Client, Discovery, Watch, config, entry_of, list, settings};
use crate::random::Random;
use crate::tally::{self, BINARY, BOTH, Caller, End, Reply, Tally, Value, origin};
use sillward_thrift::wire::{self, Encoding, Head, MessageLimits, read_head};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const CALLERS: usize = 6;
/// Between two calls of a caller.
const PAUSE: Duration = Duration::from_millis(60);
/// Between two things that happen to the backends.
const EVENT: Duration = Duration::from_millis(1500);

/// What is shown once a second.
#[derive(Default)]
struct Shown {
    ends: BTreeMap<(&'static str, End), usize>,
    by: BTreeMap<String, usize>,
    events: Vec<String>,
}

type Board = Arc<Mutex<Shown>>;

/// Runs it for that long, or for good; returns the exit code.
pub fn run(seed: u64, seconds: Option<u64>) -> u8 {
    let (board, ledger) = (Board::default(), Arc::new(Ledger::default()));
    let mut fleet = Fleet::new(board.clone(), ledger.clone());
    (0..2).for_each(|_| fleet.add("m"));
    (0..2).for_each(|_| fleet.add("t"));
    (0..2).for_each(|_| fleet.add("u"));
    let discovery = Discovery::start();
    let config = config(discovery.address, &settings(1_000, ""), 1024);
    let call = |class: &str, more: &str| {
        format!(
            "[[thrift.backend.http_call]]\nclass = \"{class}\"\nmethod = \"Tally:{class}\"\ntarget = 4\n\
             body = 2\n{more}"
        )
    };
    let calls = [
        call("read", ""),
        call("submit", "key = 3\n"),
        call("correct", ""),
    ]
    .concat();
    let compact = tally::operator("compact", "");
    let operator = format!(
        "{compact}{calls}{}{calls}",
        tally::operator_backend("u", "binary")
    );
    let lines = fleet.lines();
    let (mut node, watch, _discovery) =
        peers::serving_operator(&config, discovery, &operator, &lines);
    let thrift = node.thrift.expect("a Thrift listener");
    println!(
        "a node listens for HTTP on {} and for Thrift on {thrift}",
        node.address
    );
    println!("calls a second, by how they ended, and by whom they were served; Ctrl-C ends it");

    let over = Arc::new(AtomicBool::new(false));
    let mut workers = Vec::new();
    for i in 0..CALLERS {
        let (board, ledger, over, http) =
            (board.clone(), ledger.clone(), over.clone(), node.address);
        let random = Random::new(seed ^ (i as u64 + 1) << 32);
        workers.push(if i % 2 == 0 {
            spawn(move || call_http(i, random, http, &board, &ledger, &over))
        } else {
            spawn(move || call_thrift(i, random, thrift, &board, &ledger, &over))
        });
    }
    let events = {
        let (over, random) = (over.clone(), Random::new(seed));
        spawn(move || happen(fleet, watch, random, &over))
    };
    let started = Instant::now();
    for second in 1.. {
        sleep((started + Duration::from_secs(second)).saturating_duration_since(Instant::now()));
        show(second, &board);
        if seconds.is_some_and(|seconds| second >= seconds) {
            break;
        }
    }
    over.store(true, Ordering::SeqCst);
    workers
        .into_iter()
        .for_each(|worker| worker.join().expect("a caller"));
    events.join().expect("the events");
    node.terminate();
    let ended = node.exit();
    let mut breaches = ledger.verdict().breaches;
    if !ended.success() {
        breaches.push(format!("the node ended with {ended}"));
    }
    super::last_line(
        "demo",
        seed,
        &breaches,
        &format!("calls={}", ledger.verdict().calls),
    )
}

fn show(second: u64, board: &Board) {
    let shown = std::mem::take(&mut *board.lock().expect("the board"));
    shown
        .events
        .iter()
        .for_each(|event| println!("      {event}"));
    let ends = |protocol: &'static str| {
        let count = |end| {
            shown
                .ends
                .get(&(protocol, end))
                .copied()
                .unwrap_or_default()
        };
        format!(
            "{protocol} served {:3} refused {:2} failed {:2}",
            count(End::Served),
            count(End::Refused),
            count(End::Failed) + count(End::TimedOut) + count(End::Wrong)
        )
    };
    let by: Vec<String> = shown
        .by
        .iter()
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    println!(
        "{second:4}s {} | {} | {}",
        ends("http"),
        ends("thrift"),
        by.join(", ")
    );
}

enum Kind {
    Http(#[expect(dead_code, reason = "it serves as long as it is held")] Backend),
    Thrift(Arc<Tally>),
}

struct Member {
    name: String,
    kind: &'static str,
    address: SocketAddr,
    status: &'static str,
    backend: Kind,
}

/// The backends, in all their states.
struct Fleet {
    board: Board,
    ledger: Arc<Ledger>,
    members: Vec<Member>,
    added: usize,
    index: u64,
}

impl Fleet {
    fn new(board: Board, ledger: Arc<Ledger>) -> Self {
        Fleet {
            board,
            ledger,
            members: Vec::new(),
            added: 0,
            index: 8,
        }
    }

    fn add(&mut self, kind: &'static str) {
        let name = format!("{kind}-{}", self.added);
        self.added += 1;
        let (own, ledger) = (name.clone(), self.ledger.clone());
        let (address, backend) = if kind == "m" {
            let backend = Backend::start(move |message| {
                sleep(Duration::from_millis(3));
                // Thrift calls reach it as messages in bodies.
                let Some(_) = message.header("content-type") else {
                    ledger.runs(message.header("x-call-id").unwrap_or_default(), 0);
                    return peers::ok(&own);
                };
                let bounds = MessageLimits::default();
                let call = read_head(&message.body, &bounds).expect("a message");
                ledger.runs(&tally::sheet_of(&call).unwrap_or_default(), 0);
                let head = Head {
                    kind: wire::Kind::Reply,
                    ..call.head
                };
                let reply = tally::message(call.encoding, head, &[(0, Value::from(&*own))]);
                peers::Reply::Answer("200 OK", "", reply[4..].to_vec())
            });
            (backend.address, Kind::Http(backend))
        } else {
            let encoding = if kind == "t" {
                Encoding::Compact
            } else {
                BINARY
            };
            let tally = Tally::start(encoding, move |seen| {
                sleep(Duration::from_millis(3));
                // A call that came as a GET has no body, and its name in the query.
                let query = seen
                    .target
                    .as_deref()
                    .and_then(|target| target.split_once('?'));
                let sheet = seen.sheet.as_deref().filter(|sheet| !sheet.is_empty());
                ledger.runs(sheet.or(query.map(|(_, name)| name)).unwrap_or_default(), 0);
                Reply::Result(vec![(0, Value::from(&*own))])
            });
            (tally.address, Kind::Thrift(tally))
        };
        self.members.push(Member {
            name,
            kind,
            address,
            status: "in_service",
            backend,
        });
    }

    fn lines(&self) -> Vec<String> {
        let lines = self
            .members
            .iter()
            .map(|m| entry_of(m.kind, &m.name, m.address, m.status));
        lines.collect()
    }

    fn tell(&mut self, watch: &mut Watch, what: String) {
        self.index += 1;
        watch.line(&list(self.index, true, &self.lines()));
        self.say(what);
    }

    fn say(&self, what: String) {
        self.board.lock().expect("the board").events.push(what);
    }
}

/// Kills, drains and adds backends, until it is over.
fn happen(mut fleet: Fleet, mut watch: Watch, mut random: Random, over: &AtomicBool) {
    let wait = |over: &AtomicBool| {
        let end = Instant::now() + EVENT;
        while Instant::now() < end && !over.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(50));
        }
        !over.load(Ordering::SeqCst)
    };
    while wait(over) {
        match random.below(3) {
            0 => {
                let tallies: Vec<_> = fleet
                    .members
                    .iter()
                    .filter_map(|m| match &m.backend {
                        Kind::Thrift(tally) => Some((m.name.clone(), tally.clone())),
                        Kind::Http(_) => None,
                    })
                    .collect();
                let (name, tally) = &tallies[random.below(tallies.len())];
                tally.kill();
                fleet.say(format!("{name} was killed"));
                let go_on = wait(over);
                tally.restart();
                fleet.say(format!("{name} is up again"));
                if !go_on {
                    return;
                }
            }
            1 => {
                let place = random.below(fleet.members.len());
                let (name, kind) = (fleet.members[place].name.clone(), fleet.members[place].kind);
                fleet.add(kind);
                let new = fleet
                    .members
                    .last()
                    .map(|m| m.name.clone())
                    .unwrap_or_default();
                fleet.members[place].status = "terminating";
                fleet.tell(&mut watch, format!("{name} drains, {new} takes its place"));
                // It stays for as long as the grace and the longest call.
                if !wait(over) || !wait(over) || !wait(over) {
                    return;
                }
                fleet.members.remove(place);
                fleet.tell(&mut watch, format!("{name} is gone"));
            }
            _ if fleet.members.len() < 10 => {
                fleet.add(["m", "t", "u"][random.below(3)]);
                let new = fleet
                    .members
                    .last()
                    .map(|m| m.name.clone())
                    .unwrap_or_default();
                fleet.tell(&mut watch, format!("{new} was added"));
            }
            _ => {}
        }
    }
}

fn kind_of(random: &mut Random) -> (&'static str, Repeat) {
    match random.below(10) {
        0..5 => ("read", Repeat::Safe),
        5..8 => ("submit", Repeat::Keyed),
        _ => ("correct", Repeat::Unsafe),
    }
}

fn count(board: &Board, protocol: &'static str, end: End, by: Option<String>) {
    let mut board = board.lock().expect("the board");
    *board.ends.entry((protocol, end)).or_default() += 1;
    if let Some(by) = by.filter(|_| end == End::Served) {
        *board.by.entry(by).or_default() += 1;
    }
}

/// The sheet is the call's id: HTTP backends see no other name of it, and Thrift boxes find it in the body.
fn call_http(
    number: usize,
    mut random: Random,
    address: SocketAddr,
    board: &Board,
    ledger: &Ledger,
    over: &AtomicBool,
) {
    let mut client = Client::connect(address);
    for call in 0.. {
        if over.load(Ordering::SeqCst) {
            return;
        }
        sleep(PAUSE);
        let sheet = format!("http-{number}-{call}");
        let (class, repeat) = kind_of(&mut random);
        let (method, body) = if repeat == Repeat::Safe {
            ("GET", "")
        } else {
            ("POST", &*sheet)
        };
        let headers = format!(
            "X-Call-Id: {sheet}\r\nX-Caller: acme\r\nX-Budget-Ms: 1000\r\nIdempotency-Key: {sheet}\r\n"
        );
        ledger.begins(&sheet, repeat);
        client.send(
            &format!("{method} /{class}/1f?{sheet}"),
            &headers,
            body.as_bytes(),
        );
        let begun = Instant::now();
        let Some(answer) = client.answer() else {
            client = Client::connect(address);
            continue;
        };
        let late = begun.elapsed().saturating_sub(Duration::from_secs(1));
        let end = match answer.status() {
            200 => End::Served,
            503 => End::Refused,
            504 => End::TimedOut,
            502 => End::Failed,
            _ => End::Wrong,
        };
        ledger.ends(&sheet, end, late, true);
        count(board, "http", end, String::from_utf8(answer.body).ok());
    }
}

fn call_thrift(
    number: usize,
    mut random: Random,
    address: SocketAddr,
    board: &Board,
    ledger: &Ledger,
    over: &AtomicBool,
) {
    let mut caller = Caller::connect(address, BOTH[number / 2 % 2]);
    for call in 0.. {
        if over.load(Ordering::SeqCst) {
            return;
        }
        sleep(PAUSE);
        let sheet = format!("thrift-{number}-{call}");
        let (class, repeat) = kind_of(&mut random);
        ledger.begins(&sheet, repeat);
        let arguments = [origin("1f", &sheet, 1000), (2, Value::from(&*sheet))];
        let method = format!("Tally:{class}");
        let frame = caller.frame(&method, &arguments);
        let begun = Instant::now();
        let answer = caller.write(&frame).and_then(|()| caller.answer());
        let Ok(Some(answer)) = answer else {
            caller = Caller::connect(address, caller.encoding);
            continue; // without an answer: the ledger knows
        };
        let late = begun.elapsed().saturating_sub(Duration::from_secs(1));
        ledger.ends(&sheet, answer.end(), late, caller.is_last(&answer, &method));
        let end = answer.end();
        count(board, "thrift", end, answer.text);
    }
}
