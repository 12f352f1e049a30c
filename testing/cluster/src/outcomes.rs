//! What nodes tell each other of what they see, among processes: what each reads is held against what callers asked, by the
//! ground's own clock.

use crate::fleet::{Fleet, Options, get};
use crate::members::Verdict;
use crate::script::{Fault, text};
use serde_json::Value;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The table that turns it on: short windows, so that a run is long against them.
const MORE: &str = "\n[outcomes]\nwindow_ms = 500\nwindows = 5\noldest_ms = 10000\n";
/// What callers ask is counted over so long before a reading: a word's windows and its way.
const BEFORE_US: u64 = 4_000_000;
const LOOK: Duration = Duration::from_millis(500);
/// After the start, and after the last fault: by then all have heard all.
const SETTLED: Duration = Duration::from_secs(8);
/// Readings before the first fault and after all has been well again, in which nothing excuses a wrong one.
const CALM: Duration = Duration::from_secs(4);
/// While faults last a node's words and what callers ask of it are not of the same time: most readings are right all the same.
const IN_FAULTS: f64 = 0.7;
/// The most bytes a second that a node sends for this, by the operator file's usual.
const BYTES: f64 = 10_000.0;

/// What a node read at some time.
struct Read {
    t_us: u64,
    node: usize,
    heard: u64,
    weight: f64,
    asked: f64,
    error: f64,
    age_ms: f64,
    bytes: f64,
}

fn read(fleet: &Fleet, node: usize) -> Option<Read> {
    let (admin, _) = fleet.at(node)?;
    let t_us = fleet.history.now_us();
    let page: Value = serde_json::from_str(&get(admin, "/admin/outcomes")?).ok()?;
    let number = |value: &Value| value.as_f64().unwrap_or_default();
    let demand = &page["demand"]["read"];
    Some(Read {
        t_us,
        node,
        heard: page["heard"].as_u64().unwrap_or_default(),
        weight: number(&page["weight"]),
        asked: number(&demand["first"]) + number(&demand["again"]),
        error: number(&demand["error"]),
        age_ms: number(&page["age_ms"]),
        bytes: number(&page["bytes"]),
    })
}

/// Plays a script, with readings all the time.
///
/// # Errors
/// The ground can't be laid, or a process did not start.
pub fn play(options: Options, faults: &[Fault]) -> Result<Verdict, String> {
    let nodes = options.places.nodes;
    let fleet = Fleet::new(Options {
        more: MORE.to_owned(),
        ..options
    })?;
    let played = run(&fleet, faults);
    fleet.end();
    let (reads, begun, mended) = played?;
    Ok(verdict(&fleet, &reads, (begun, mended), nodes, faults))
}

fn run(fleet: &Arc<Fleet>, faults: &[Fault]) -> Result<(Vec<Read>, u64, u64), String> {
    fleet.start()?;
    sleep(SETTLED);
    let begun = fleet.history.now_us() + CALM.as_micros() as u64;
    let striking = {
        let (fleet, faults) = (fleet.clone(), faults.to_vec());
        spawn(move || {
            sleep(CALM);
            fleet.play(&faults)
        })
    };
    let mut reads = Vec::new();
    let mut mended = None;
    loop {
        let next = Instant::now() + LOOK;
        reads.extend((0..fleet.places.len()).filter_map(|node| read(fleet, node)));
        if striking.is_finished() && mended.is_none() {
            mended = Some(fleet.history.now_us());
        }
        let over = |at: u64| fleet.history.now_us() > at + (SETTLED + CALM).as_micros() as u64;
        if mended.is_some_and(over) {
            break;
        }
        sleep(next.saturating_duration_since(Instant::now()));
    }
    striking
        .join()
        .map_err(|_| "the script panicked".to_owned())??;
    Ok((reads, begun, mended.unwrap_or_default()))
}

fn verdict(
    fleet: &Fleet,
    reads: &[Read],
    (begun, mended): (u64, u64),
    nodes: usize,
    faults: &[Fault],
) -> Verdict {
    let mut breaches = Vec::new();
    // Calls that some node took, by when they were asked.
    let mut asked: Vec<u64> = Vec::new();
    for of_node in &fleet.asked {
        let of_node = of_node.lock().expect("calls");
        asked.extend(
            of_node
                .iter()
                .filter(|call| call.status != 0)
                .map(|call| call.t_us),
        );
    }
    asked.sort_unstable();
    let truth = |t_us: u64| {
        let from = asked.partition_point(|at| *at < t_us.saturating_sub(BEFORE_US));
        let to = asked.partition_point(|at| *at < t_us);
        (to - from) as f64 * 1e6 / BEFORE_US as f64
    };
    let settled = mended + SETTLED.as_micros() as u64;
    let (mut within, mut off, mut ages) = ([(0usize, 0usize); 2], 0.0, Vec::new());
    for read in reads {
        let truth = truth(read.t_us);
        let (good, all) = &mut within[usize::from(read.t_us >= begun && read.t_us < settled)];
        *good += usize::from((read.asked - truth).abs() <= read.error);
        *all += 1;
        off += (read.asked - truth).abs() / truth.max(1.0);
        ages.push(read.age_ms);
        // Whatever happens: no more than what the heard and the unheard alike could ask, and never twice.
        if read.asked > 2.0 * truth + read.error {
            breaches.push(format!(
                "n{} read {:.0} calls a second of {truth:.0}, and that it is {:.0} off at most",
                read.node, read.asked, read.error
            ));
        }
    }
    let shares = within.map(|(good, all)| good as f64 / all.max(1) as f64);
    for (share, least, when) in [
        (shares[0], 0.95, "in calm"),
        (shares[1], IN_FAULTS, "among faults"),
    ] {
        if share < least {
            breaches.push(format!(
                "{share:.3} of the readings {when} are within what they say they may be off"
            ));
        }
    }
    for read in reads.iter().filter(|read| read.t_us > settled) {
        if read.heard != nodes as u64 || read.weight < 0.9 {
            breaches.push(format!(
                "n{} hears {} of {nodes}, of weight {}, though all has been well for 8 s",
                read.node, read.heard, read.weight
            ));
        }
    }
    let mut most = 0.0f64;
    for node in 0..nodes {
        let of_node: Vec<&Read> = reads.iter().filter(|read| read.node == node).collect();
        for pair in of_node.windows(9) {
            let (first, last) = (pair[0], pair[8]);
            let rate = (last.bytes - first.bytes) * 1e6 / (last.t_us - first.t_us).max(1) as f64;
            most = most.max(rate);
        }
    }
    if most > BYTES {
        breaches.push(format!("a node sent {most:.0} bytes a second"));
    }
    ages.sort_by(f64::total_cmp);
    let figures = vec![
        ("readings", reads.len().to_string()),
        ("within_stated_error_in_calm", format!("{:.3}", shares[0])),
        (
            "within_stated_error_among_faults",
            format!("{:.3}", shares[1]),
        ),
        ("off_by", format!("{:.3}", off / reads.len().max(1) as f64)),
        (
            "age_ms_middle",
            format!(
                "{:.0}",
                ages.get(ages.len() / 2).copied().unwrap_or_default()
            ),
        ),
        ("bytes_a_second_most", format!("{most:.0}")),
        (
            "seconds",
            format!("{:.0}", (mended.saturating_sub(begun)) as f64 / 1e6),
        ),
    ];
    Verdict {
        figures,
        breaches,
        script: text(faults),
    }
}
