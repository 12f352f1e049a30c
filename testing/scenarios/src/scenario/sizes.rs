//! What membership costs and how fast it is, against the number of nodes: the shipped code on the virtual clock.

use sillward_simulation::fleet::{Measured, Size, measure};
use std::time::{Duration, Instant};

/// Within so long a death is known to 99 % of the living, and no node sends more bytes a second, headers among them.
const KNOWN: Duration = Duration::from_secs(3);
const BYTES: f64 = 4_000.0;
/// After a cut of a third all agree within so long, and no more is sent meanwhile.
const HEALED: Duration = Duration::from_secs(60);
const HEALING_BYTES: f64 = 8_000.0;
/// Of UDP and IPv4, a datagram.
const HEADERS: f64 = 28.0;

pub struct Options {
    pub nodes: Vec<usize>,
    pub seeds: Vec<u64>,
    pub rounds: usize,
    pub frame_bytes: usize,
}

fn ms(time: Option<Duration>) -> String {
    time.map_or("never".to_owned(), |time| format!("{}", time.as_millis()))
}

fn sorted(mut times: Vec<Option<Duration>>) -> Vec<Option<Duration>> {
    times.sort_by_key(|time| time.unwrap_or(Duration::MAX));
    times
}

/// Median and worst, in milliseconds.
fn spread(times: &[Option<Duration>]) -> String {
    let sorted = sorted(times.to_vec());
    let at = |place: usize| sorted.get(place).copied().flatten();
    format!(
        "{} / {}",
        ms(at(sorted.len() / 2)),
        ms(at(sorted.len().saturating_sub(1)))
    )
}

fn bytes((frames, bytes): (f64, f64)) -> f64 {
    bytes + frames * HEADERS
}

/// Measures each size with each seed, prints a table, and returns the exit code.
pub fn run(options: &Options) -> u8 {
    let mut breaches = Vec::new();
    println!(
        "| nodes | seed | all know all, ms | death known, ms (median / worst) | birth known, ms | calm: frames, bytes a node and s | while dying: bytes | healing: bytes | healed, ms | false alarms | wall s | hash |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for nodes in &options.nodes {
        for seed in &options.seeds {
            let begun = Instant::now();
            let size = Size {
                nodes: *nodes,
                seed: *seed,
                rounds: options.rounds,
                frame_bytes: options.frame_bytes,
            };
            let measured = match measure(&size) {
                Ok(measured) => measured,
                Err(e) => {
                    breaches.push(e.to_string());
                    continue;
                }
            };
            println!(
                "| {nodes} | {seed} | {} | {} | {} | {:.1}, {:.0} | {:.0} | {:.0} | {} | {} | {:.0} | {:016x} |",
                ms(measured.joined),
                spread(&measured.deaths),
                spread(&measured.births),
                measured.calm.0,
                bytes(measured.calm),
                bytes(measured.busy),
                bytes(measured.healing),
                ms(measured.healed),
                measured.alarms,
                begun.elapsed().as_secs_f64(),
                measured.hash,
            );
            breaches.extend(wrong(*nodes, *seed, &measured));
        }
    }
    let seed = options.seeds.first().copied().unwrap_or_default();
    super::last_line(
        "sizes",
        seed,
        &breaches,
        &format!("sizes={:?}", options.nodes),
    )
}

fn wrong(nodes: usize, seed: u64, measured: &Measured) -> Vec<String> {
    let mut breaches = Vec::new();
    let mut wrong = |what: String| breaches.push(format!("nodes={nodes} seed={seed}: {what}"));
    if measured.joined.is_none() {
        wrong("they never all knew each other".to_owned());
    }
    let median = |times: &[Option<Duration>]| {
        sorted(times.to_vec())
            .get(times.len() / 2)
            .copied()
            .flatten()
    };
    // A goal for the middle of the deaths; the worst are told in the table.
    if !measured.deaths.is_empty() && median(&measured.deaths).is_none_or(|time| time > KNOWN) {
        wrong(format!(
            "a death is known after {} ms",
            ms(median(&measured.deaths))
        ));
    }
    if measured
        .deaths
        .iter()
        .chain(&measured.births)
        .any(Option::is_none)
    {
        wrong("a death or a birth was never known".to_owned());
    }
    if bytes(measured.calm).max(bytes(measured.busy)) > BYTES {
        wrong(format!(
            "{:.0} bytes a node and second",
            bytes(measured.calm).max(bytes(measured.busy))
        ));
    }
    if measured.healed.is_none_or(|healed| healed > HEALED) {
        wrong(format!(
            "after the cut they agreed after {} ms",
            ms(measured.healed)
        ));
    }
    if bytes(measured.healing) > HEALING_BYTES {
        wrong(format!(
            "{:.0} bytes a node and second after the cut",
            bytes(measured.healing)
        ));
    }
    if measured.alarms > 0 {
        wrong(format!("{} false alarms without a fault", measured.alarms));
    }
    breaches
}
