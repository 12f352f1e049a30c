//! Callers of both encodings against stand-in tally boxes that are killed and restarted at random points.

use super::{figure, last_line};
use crate::ledger::{Ledger, Repeat};
use crate::peers::{self, Discovery, Node, config, entry_in, settings};
use crate::random::Random;
use crate::relay;
use crate::tally::{self, BINARY, BOTH, Caller, End, Reply, Tally, Value, origin};
use sillward_thrift::wire::{Encoding, Kind};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const BOXES: usize = 6;
const CALLERS: usize = 24;

pub struct Options {
    pub seed: u64,
    pub seconds: u64,
    /// Calls a second, of all callers together.
    pub rate: u64,
    pub double_send: bool,
}

/// Runs it, prints its figures, and returns the exit code.
pub fn run(options: &Options) -> u8 {
    let ledger = Arc::new(Ledger::default());
    let boxes: Vec<Arc<Tally>> = (0..BOXES)
        .map(|i| tally_box(i, options.seed, &ledger))
        .collect();
    let addresses: Vec<SocketAddr> = boxes
        .iter()
        .enumerate()
        .map(|(i, tally)| match options.double_send {
            // To a box of the same encoding: two further on.
            true => relay::start(
                tally.address,
                boxes[(i + 2) % BOXES].address,
                "Tally:correct",
            ),
            false => tally.address,
        })
        .collect();
    let lines: Vec<String> = addresses
        .iter()
        .enumerate()
        .map(|(i, address)| {
            entry_in(
                ["a", "b"][zone(i)],
                ["t", "u"][i % 2],
                &format!("tally-{i}"),
                *address,
                "in_service",
            )
        })
        .collect();
    let discovery = Discovery::start();
    let config = config(
        discovery.address,
        &settings(2_000, r#","ParallelTries":true"#),
        1024,
    );
    let operator = tally::operator("compact", "") + &tally::operator_backend("u", "binary");
    let (node, _watch, _discovery) = peers::serving_operator(&config, discovery, &operator, &lines);

    let over = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicUsize::new(0));
    let kills = spawn(kill(boxes.clone(), options.seed, over.clone()));
    let started = Instant::now();
    let end = started + Duration::from_secs(options.seconds);
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let (ledger, done) = (ledger.clone(), done.clone());
            let address = node.thrift.expect("a Thrift listener");
            let (seed, pause) = (
                options.seed,
                Duration::from_secs(CALLERS as u64) / options.rate.max(1) as u32,
            );
            spawn(move || call_until(end, i, seed, pause, address, &ledger, &done))
        })
        .collect();
    while Instant::now() < end {
        sleep(Duration::from_secs(2).min(end.saturating_duration_since(Instant::now())));
        let (calls, seconds) = (done.load(Ordering::SeqCst), started.elapsed().as_secs());
        eprintln!("{seconds} s: {calls} calls");
    }
    let strays: usize = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller's checks"))
        .sum();
    let seconds = started.elapsed().as_secs_f64();
    over.store(true, Ordering::SeqCst);
    let killed = kills.join().expect("the killer");
    report(options, &ledger, strays, killed, seconds, &node)
}

fn report(
    options: &Options,
    ledger: &Ledger,
    strays: usize,
    killed: usize,
    seconds: f64,
    node: &Node,
) -> u8 {
    // What is on its way to a box still lands: oneway calls have nobody who waits for them.
    sleep(Duration::from_millis(300));
    let mut verdict = ledger.verdict();
    if strays > 0 {
        verdict.breaches.push(format!("{strays} answers to nobody"));
    }
    let rate = (verdict.calls + verdict.oneway) as f64 / seconds;
    if rate < options.rate as f64 * 0.8 {
        verdict
            .breaches
            .push(format!("only {rate:.0} calls a second of {}", options.rate));
    }
    if killed == 0 {
        verdict
            .breaches
            .push("no box was killed: that is no test".to_owned());
    }
    let ends = |end| verdict.ends.get(&end).copied().unwrap_or_default();
    figure("calls", verdict.calls);
    figure("calls_per_second", format!("{rate:.1}"));
    figure("served", ends(End::Served));
    figure("refused", ends(End::Refused));
    figure("failed", ends(End::Failed));
    figure("timed_out", ends(End::TimedOut));
    figure("oneway", verdict.oneway);
    figure("oneway_ran", verdict.oneway_ran);
    figure("kills", killed);
    figure("latest_after_deadline_ms", verdict.latest.as_millis());
    figure("node_memory_kb", node.memory_kb());
    if ends(End::Wrong) > 0 {
        verdict.breaches.push(format!(
            "{} calls were turned down as wrong",
            ends(End::Wrong)
        ));
    }
    let more = format!("calls={} kills={killed}", verdict.calls);
    last_line("thrift", options.seed, &verdict.breaches, &more)
}

fn zone(tally: usize) -> usize {
    tally / (BOXES / 2)
}

/// A box lets a call take effect and then answers, or turns it away, or breaks on it.
fn tally_box(number: usize, seed: u64, ledger: &Arc<Ledger>) -> Arc<Tally> {
    let random = Mutex::new(Random::new(seed ^ (number as u64 + 1) << 40));
    let ledger = ledger.clone();
    let encoding = if number % 2 == 0 {
        Encoding::Compact
    } else {
        BINARY
    };
    Tally::start(encoding, move |seen| {
        let Some(sheet) = seen.sheet.as_deref().or(seen.key.as_deref()) else {
            return Reply::Cut(Vec::new());
        };
        let (chance, pause) = {
            let mut random = random.lock().expect("its chance");
            (random.below(100), random.millis(0..12))
        };
        if chance < 3 && seen.kind != Kind::Oneway {
            return Reply::Bytes(seen.exception(10));
        }
        sleep(pause / 2);
        ledger.runs(sheet, zone(number));
        sleep(pause / 2);
        let reply = seen.reply(&[(0, Value::from(sheet))]);
        match chance {
            3 => Reply::Cut(reply[..pause.as_millis() as usize % reply.len()].to_vec()),
            4 => Reply::Bytes(seen.reply_as(
                seen.told(),
                seen.seqid ^ 1,
                &[(0, Value::from("stray"))],
            )),
            5 => Reply::Bytes([&reply[..], &reply[..]].concat()),
            // As a box answers that looks whole names up.
            6..16 => {
                Reply::Bytes(seen.reply_as(&seen.name, seen.seqid, &[(0, Value::from(sheet))]))
            }
            _ => Reply::Bytes(reply),
        }
    })
}

/// Kills boxes and starts them again, two at once at most; returns how often.
fn kill(boxes: Vec<Arc<Tally>>, seed: u64, over: Arc<AtomicBool>) -> impl FnOnce() -> usize + Send {
    move || {
        let mut random = Random::new(seed ^ 0x4b11);
        let mut kills = 0;
        while !over.load(Ordering::SeqCst) {
            sleep(random.millis(100..600));
            let first = random.below(BOXES);
            let mut down = vec![first];
            if random.percent(40) {
                down.push((first + 1 + random.below(BOXES - 1)) % BOXES);
            }
            down.iter().for_each(|i| boxes[*i].kill());
            kills += down.len();
            sleep(random.millis(50..500));
            down.iter().for_each(|i| boxes[*i].restart());
        }
        kills
    }
}

/// Calls until the end of the run; returns how many answers came that nobody waited for.
fn call_until(
    end: Instant,
    number: usize,
    seed: u64,
    pause: Duration,
    address: SocketAddr,
    ledger: &Ledger,
    done: &AtomicUsize,
) -> usize {
    let mut random = Random::new(seed ^ (number as u64 + 1) << 20);
    let encoding = BOTH[number % 2];
    let (mut caller, mut calls, mut strays) = (None, 0, 0);
    let mut next = Instant::now() + pause.mul_f64(number as f64 / CALLERS as f64);
    while next < end {
        sleep(next.saturating_duration_since(Instant::now()));
        next += pause;
        calls += 1;
        let sheet = format!("{number}-{calls}");
        let (method, repeat) = match random.below(100) {
            0..35 => ("Tally:read", Repeat::Safe),
            35..60 => ("Tally:submit", Repeat::Keyed),
            60..95 => ("Tally:correct", Repeat::Unsafe),
            _ => ("Tally:note", Repeat::Oneway),
        };
        let budget = random.millis(300..2000);
        let station = format!("{:x}", random.below(64) + 1);
        let arguments = [
            origin(&station, &sheet, budget.as_millis() as i64),
            (2, Value::from(&*sheet)),
        ];
        ledger.begins(&sheet, repeat);
        let mut open = match caller.take() {
            Some(open) => open,
            None => Caller::connect(address, encoding),
        };
        let begun = Instant::now();
        if repeat == Repeat::Oneway {
            let frame = open.frame_as(Kind::Oneway, method, 0, &arguments);
            if open.write(&frame).is_err() {
                continue;
            }
        } else {
            match answer(&mut open, method, &arguments) {
                Ok((end, own)) => {
                    let late = begun.elapsed().saturating_sub(budget);
                    let text = own.as_deref();
                    ledger.ends(
                        &sheet,
                        end,
                        late,
                        end != End::Served || text == Some(&*sheet),
                    );
                }
                Err(_) => continue, // without an answer: the ledger knows
            }
        }
        done.fetch_add(1, Ordering::SeqCst);
        if random.percent(5) {
            strays += open.leave();
        } else {
            caller = Some(open);
        }
    }
    strays + caller.map_or(0, Caller::leave)
}

fn answer(
    caller: &mut Caller,
    method: &str,
    arguments: &[(i16, Value)],
) -> io::Result<(End, Option<String>)> {
    let frame = caller.frame(method, arguments);
    caller.write(&frame)?;
    let answer = caller.answer()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if !caller.is_last(&answer, method) {
        return Ok((answer.end(), None)); // another call's: no sheet is `None`
    }
    Ok((answer.end(), answer.text))
}
