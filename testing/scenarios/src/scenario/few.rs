//! A dozen callers at a list of one or two healthy boxes: each call would be answered in its budget, so none may be
//! refused, fail or go out a second time.

use super::{figure, last_line};
use crate::peers::{self, Discovery, config, entry_of, settings};
use crate::random::Random;
use crate::tally::{self, BINARY, BOTH, Caller, End, Reply, Tally, Value, origin};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub struct Options {
    pub seed: u64,
    /// Healthy boxes in the list.
    pub boxes: usize,
    /// Callers, each with one call open.
    pub callers: usize,
    /// Calls of each of them.
    pub calls: usize,
    /// A box answers within so many milliseconds.
    pub most_ms: u64,
    /// But one call in fifty within so many.
    pub tail_ms: u64,
    /// Each call's budget.
    pub budget_ms: u64,
    /// Second attempts beside a silent first one are allowed.
    pub parallel: bool,
    /// Plant: a box turns one call in two hundred away.
    pub turn_away: bool,
    /// Plant: a box answers one call in two hundred only after the budget.
    pub late: bool,
}

/// How often each sheet reached a box.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// Runs it, prints its figures, and returns the exit code.
pub fn run(options: &Options) -> u8 {
    let runs = Runs::default();
    let boxes: Vec<_> = (0..options.boxes)
        .map(|i| healthy(i, options, &runs))
        .collect();
    let line = |(i, tally): (usize, &Arc<Tally>)| {
        entry_of(
            ["t", "u"][i % 2],
            &format!("t-{i}"),
            tally.address,
            "in_service",
        )
    };
    let lines: Vec<String> = boxes.iter().enumerate().map(line).collect();
    let discovery = Discovery::start();
    let more = if options.parallel {
        r#","ParallelTries":true"#
    } else {
        ""
    };
    let config = config(discovery.address, &settings(options.budget_ms, more), 1024);
    let operator = tally::operator("compact", "") + &tally::operator_backend("u", "binary");
    let (node, _watch, _discovery) = peers::serving_operator(&config, discovery, &operator, &lines);
    let address = node.thrift.expect("a Thrift listener");
    let started = Instant::now();
    let callers: Vec<_> = (0..options.callers)
        .map(|i| {
            let (seed, calls, budget) = (options.seed, options.calls, options.budget_ms);
            spawn(move || call(i, seed, calls, budget, address))
        })
        .collect();
    let mut ends: BTreeMap<End, usize> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    for caller in callers {
        for (end, took) in caller.join().expect("a caller's checks") {
            *ends.entry(end).or_default() += 1;
            longest = longest.max(took);
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    let count = |end| ends.get(&end).copied().unwrap_or_default();
    let all: usize = ends.values().sum();
    let twice = runs
        .lock()
        .expect("runs")
        .values()
        .filter(|times| **times > 1)
        .count();
    figure("calls", all);
    figure("calls_per_second", format!("{:.0}", all as f64 / seconds));
    figure("served", count(End::Served));
    figure("refused", count(End::Refused));
    figure("failed", count(End::Failed));
    figure("timed_out", count(End::TimedOut));
    figure("sent_twice", twice);
    figure("longest_ms", longest.as_millis());
    let mut breaches = Vec::new();
    for end in [End::Refused, End::Failed, End::TimedOut, End::Wrong] {
        if count(end) > 0 {
            breaches.push(format!("{} of {all} calls ended as {end:?}", count(end)));
        }
    }
    // With one box, a second send can only be one that the box has had already.
    if options.boxes == 1 && twice > 0 {
        breaches.push(format!("{twice} calls reached the box twice"));
    }
    let more = format!(
        "boxes={} callers={} calls={all}",
        options.boxes, options.callers
    );
    last_line("few", options.seed, &breaches, &more)
}

fn healthy(number: usize, options: &Options, runs: &Runs) -> Arc<Tally> {
    let random = Mutex::new(Random::new(options.seed ^ (number as u64 + 1) << 40));
    let (runs, late) = (runs.clone(), options.budget_ms + 500);
    let (most, tail) = (options.most_ms as usize, options.tail_ms as usize);
    let (turns_away, is_late) = (options.turn_away, options.late);
    Tally::start(
        if number % 2 == 0 { BOTH[1] } else { BINARY },
        move |seen| {
            let sheet = seen.sheet.clone().unwrap_or_default();
            *runs.lock().expect("runs").entry(sheet.clone()).or_default() += 1;
            let (chance, pause) = {
                let mut random = random.lock().expect("its chance");
                let chance = random.below(200);
                let most = if chance % 50 == 1 { tail } else { most };
                (chance, random.millis(1..most.max(2)))
            };
            if turns_away && chance == 0 {
                return Reply::Bytes(seen.exception(10));
            }
            sleep(if is_late && chance == 0 {
                Duration::from_millis(late)
            } else {
                pause
            });
            tally::ok(&sheet)
        },
    )
}

fn call(
    number: usize,
    seed: u64,
    calls: usize,
    budget: u64,
    address: SocketAddr,
) -> Vec<(End, Duration)> {
    let mut random = Random::new(seed ^ (number as u64 + 1) << 20);
    let mut caller = Caller::connect(address, BOTH[number % 2]);
    let call = |i| {
        let method = ["Tally:read", "Tally:submit", "Tally:correct"][random.below(3)];
        let sheet = format!("{number}-{i}");
        let arguments = [
            origin("1f", &sheet, budget as i64),
            (2, Value::from(&*sheet)),
        ];
        let begun = Instant::now();
        let answer = caller.call(method, &arguments);
        let own = answer.end() != End::Served || answer.text.as_deref() == Some(&*sheet);
        assert!(own, "an answer of its own: {answer:?}");
        (answer.end(), begun.elapsed())
    };
    (0..calls).map(call).collect()
}
