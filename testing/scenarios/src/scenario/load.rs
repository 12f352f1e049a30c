//! What a call costs the node: processor time for Thrift calls and for HTTP calls of the same body, in one run.

use super::figure;
use crate::peers::{self, Backend, Client, Discovery, Node, config, entry_of, settings};
use crate::tally::{self, BINARY, Caller, End, Tally, Value, ok, origin};
use sillward_thrift::wire::Encoding;
use std::sync::Arc;
use std::thread::spawn;

/// A tally sheet's size.
const BODY: usize = 2048;
const CLIENTS: usize = 8;
/// Rounds in turn, so that both protocols meet the same machine.
const ROUNDS: usize = 6;

/// Runs it and prints `name value` lines; the exit code says whether Thrift is within its bound.
pub fn run(calls: usize) -> u8 {
    let body = "0123456789abcdef".repeat(BODY / 16);
    let answer = "counted".to_owned();
    let http = Backend::start({
        let answer = answer.clone();
        move |_| peers::ok(&answer)
    });
    let tallies =
        [BINARY, Encoding::Compact].map(|encoding| Tally::start(encoding, |_| ok("counted")));
    let node = |kind: &str, address| {
        let discovery = Discovery::start();
        let config = config(discovery.address, &settings(5_000, ""), 1024);
        let operator = tally::operator("binary", "") + &tally::operator_backend("u", "compact");
        let line = entry_of(kind, "one", address, "in_service");
        peers::serving_operator(&config, discovery, &operator, &[line])
    };
    let (by_http, ..) = &node("m", http.address);
    let (by_binary, ..) = &node("t", tallies[0].address);
    let (by_compact, ..) = &node("u", tallies[1].address);
    let each = calls / CLIENTS / ROUNDS;
    let mut cpu = [0.0; 3];
    let mut served = [0; 3];
    for round in 0..=ROUNDS {
        for (i, node) in [by_http, by_binary, by_compact].into_iter().enumerate() {
            let before = node.cpu_seconds();
            let count = if i == 0 {
                http_calls(node, &body, each)
            } else {
                thrift_calls(node, &body, each)
            };
            // The first round warms up.
            if round > 0 {
                cpu[i] += node.cpu_seconds() - before;
                served[i] += count;
            }
        }
        eprintln!("round {round} of {ROUNDS}");
    }
    let each = |i: usize| cpu[i] * 1e6 / served[i].max(1) as f64;
    figure("body_bytes", BODY);
    figure("http_calls", served[0]);
    figure("http_cpu_us", format!("{:.1}", each(0)));
    figure("thrift_cpu_us", format!("{:.1}", each(1)));
    figure("thrift_transcoded_cpu_us", format!("{:.1}", each(2)));
    figure("thrift_to_http", format!("{:.3}", each(1) / each(0)));
    figure("transcoded_to_http", format!("{:.3}", each(2) / each(0)));
    let good = served.iter().all(|count| *count > 0) && each(1).max(each(2)) <= 1.3 * each(0);
    println!(
        "{} load calls={}",
        if good { "ok" } else { "FAILED" },
        served.iter().sum::<usize>()
    );
    u8::from(!good)
}

fn http_calls(node: &Node, body: &str, each: usize) -> usize {
    clients(|| {
        let (address, body) = (node.address, body.to_owned());
        move || {
            let mut client = Client::connect(address);
            let ask = |_| {
                let answer = client.ask("POST /correct/1f", &peers::common(5_000), body.as_bytes());
                usize::from(answer.status() == 200)
            };
            (0..each).map(ask).sum()
        }
    })
}

/// Callers speak binary.
fn thrift_calls(node: &Node, body: &str, each: usize) -> usize {
    clients(|| {
        let (address, body) = (node.thrift.expect("a listener"), body.to_owned());
        move || {
            let mut caller = Caller::connect(address, BINARY);
            let arguments = [origin("1f", "", 5_000), (2, Value::from(&*body))];
            let call =
                |_| usize::from(caller.call("Tally:correct", &arguments).end() == End::Served);
            (0..each).map(call).sum()
        }
    })
}

fn clients<C: FnOnce() -> usize + Send + 'static>(client: impl Fn() -> C) -> usize {
    let all: Vec<_> = (0..CLIENTS).map(|_| spawn(client())).collect();
    all.into_iter()
        .map(|client| client.join().expect("a client"))
        .sum()
}

/// Keeps a tally box alone for others to call, until it is ended.
pub fn serve(encoding: Encoding, listen: std::net::SocketAddr) -> Arc<Tally> {
    Tally::start_on(listen, encoding, |seen| {
        println!(
            "{} seqid={} station={:?} key={:?}",
            seen.name, seen.seqid, seen.station, seen.key
        );
        ok("counted")
    })
}
