//! One process replaces another at addresses that the operator file names: Thrift callers and operators go over to it.

use sillward_scenarios::peers::*;
use sillward_scenarios::platform::Platform;
use sillward_scenarios::reserved_port::ReservedPort;
use sillward_scenarios::tally::{self, BINARY, Caller, End, Tally, origin};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

const BUDGET_MS: u64 = 5_000;
/// How long the backend runs a call.
const REPLY_TIME: Duration = Duration::from_millis(20);
const CALLERS: usize = 4;
/// How long callers call before and after the replacement.
const CALM: Duration = Duration::from_millis(300);
const WAITS: &str = "where another process listens";

/// Two addresses of an operator file, and the backend behind them.
struct Site {
    platform: Platform,
    thrift: ReservedPort,
    operators: ReservedPort,
    tally: Arc<Tally>,
}

impl Site {
    fn start() -> Self {
        Site {
            platform: Platform::with_settings(settings(BUDGET_MS, "")),
            thrift: ReservedPort::new(),
            operators: ReservedPort::new(),
            tally: Tally::start(BINARY, |_| {
                sleep(REPLY_TIME);
                tally::ok("done")
            }),
        }
    }

    /// Starts a process, and waits until it serves HTTP.
    fn process(&mut self) -> Node {
        let thrift = format!("[thrift]\nlisten = \"{}\"", self.thrift.address());
        let operator = tally::operator("binary", "")
            .replace("[thrift]\nlisten = \"127.0.0.1:0\"", &thrift)
            + &format!("\n[admin]\nlisten = \"{}\"\n", self.operators.address());
        let node = self.platform.operated_process(&operator);
        let entry = entry_of("t", "t-0", self.tally.address, "in_service");
        self.platform.tell_entries(&node, &[entry]);
        node
    }

    fn page_is_served(&self) -> bool {
        let client = Client::try_connect(self.operators.address(), PATIENCE);
        client
            .is_some_and(|mut client| client.ask("GET /admin/membership", "", b"").status() == 200)
    }
}

/// What became of a call on a connection of its own.
#[derive(Debug, PartialEq)]
enum Outcome {
    Served,
    ConnectionRefused,
    Lost,
}

fn call(to: SocketAddr) -> Outcome {
    let Ok(mut caller) = Caller::try_connect(to, BINARY) else {
        return Outcome::ConnectionRefused;
    };
    let frame = caller.frame("Tally:correct", &[origin("1f", "", BUDGET_MS as i64)]);
    let answer = caller.write(&frame).and_then(|()| caller.answer());
    match answer {
        Ok(Some(answer)) if answer.end() == End::Served => Outcome::Served,
        _ => Outcome::Lost,
    }
}

/// Calls one after the other, and counts those that were served and those that were lost.
fn calls_until(stop: &AtomicBool, address: SocketAddr) -> (usize, usize) {
    let (mut served, mut lost) = (0, 0);
    while !stop.load(Ordering::SeqCst) {
        match call(address) {
            Outcome::Served => served += 1,
            Outcome::ConnectionRefused => {}
            Outcome::Lost => lost += 1,
        }
    }
    (served, lost)
}

/// Guards against a process that can't replace another, since that one still listens at the addresses of the operator file:
/// it ended at once.
#[test]
fn thrift_callers_and_operators_go_over_to_the_process_that_replaces_another() {
    let mut site = Site::start();
    let address = site.thrift.address();
    let mut older = site.process();
    until(|| call(address) == Outcome::Served, "the older process");
    let newer = site.process();
    newer.logged(WAITS);
    older.terminate();
    assert!(older.exit().success());
    until(|| call(address) == Outcome::Served, "the newer process");
    until(|| site.page_is_served(), "its page");
}

/// Guards against calls that fail, or are refused, at a process that is replaced: with no HTTP client it gave all memory for
/// calls and replies to the newer process.
#[test]
fn no_thrift_call_is_lost_while_one_process_replaces_another() {
    let mut site = Site::start();
    let address = site.thrift.address();
    let mut older = site.process();
    let newer = site.process();
    newer.logged(WAITS);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let stop = stop.clone();
            spawn(move || calls_until(&stop, address))
        })
        .collect();
    sleep(CALM);
    older.terminate();
    assert!(older.exit().success());
    until(|| call(address) == Outcome::Served, "the newer process");
    sleep(CALM);
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let (served, lost) = caller.join().expect("a caller");
        assert_eq!(lost, 0, "lost calls, beside {served} that were served");
    }
}

/// The counterpart: a process that still waits for the addresses ends when it is told to, and the older one goes on.
#[test]
fn a_process_that_waits_for_the_addresses_of_another_ends_when_it_is_told_to() {
    let mut site = Site::start();
    let _older = site.process();
    let mut newer = site.process();
    newer.logged(WAITS);
    newer.terminate();
    assert!(newer.exit().success());
    assert_eq!(call(site.thrift.address()), Outcome::Served);
    assert!(site.page_is_served());
}
