//! Nights on a virtual clock: many seeds side by side, or one looked at closely.

use super::{figure, last_line};
use clap::{Args, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use sillward_simulation::ledger::Figures;
use sillward_simulation::plants;
use sillward_simulation::run::{Options as Play, Outcome, play};
use sillward_simulation::script::{Script, VERSION, night};
use sillward_simulation::shrink::shrink;
use sillward_simulation::story::story;
use std::fmt::Write as _;
use std::fs;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A night whose steps stand still for so long by the wall's clock hangs within one turn: nothing can end it from
/// within.
const HANGS: Duration = Duration::from_secs(20);

/// What `rig night` is told.
#[derive(Args)]
pub struct Options {
    /// Seeds, the first included and the last not
    #[arg(long, value_parser = range, default_value = "0..200")]
    seeds: Range<u64>,
    /// This seed alone
    #[arg(long, conflicts_with = "seeds")]
    seed: Option<u64>,
    /// Nights side by side; one for each core without it
    #[arg(long)]
    jobs: Option<usize>,
    /// A mistake in the node that the checkers must find
    #[arg(long)]
    plant: Option<Plant>,
    /// Rare plants strike often: shows in few nights that their checkers see
    #[arg(long, requires = "plant")]
    often: bool,
    /// Plays this seed, or this script's file, again
    #[arg(long, value_name = "SEED|FILE")]
    replay: Option<String>,
    /// Plays it so many times, and compares the hashes
    #[arg(long, default_value_t = 1, requires = "replay")]
    times: u32,
    /// Writes a line a step
    #[arg(long, value_name = "FILE", requires = "replay")]
    trace: Option<PathBuf>,
    /// Tells the story of the rule that this seed, or this script's file, breaks
    #[arg(long, value_name = "SEED|FILE")]
    explain: Option<String>,
    /// Makes the script of this seed smaller for as long as the same checker fails
    #[arg(long, value_name = "SEED|FILE")]
    shrink: Option<String>,
    /// Where the smallest script goes
    #[arg(long, value_name = "FILE", default_value = "smallest.json")]
    to: PathBuf,
    /// Plays the seeds of this file too: a seed a line, and why
    #[arg(long, value_name = "FILE")]
    kept: Option<PathBuf>,
    /// Writes each seed's hash
    #[arg(long, value_name = "FILE")]
    hashes: Option<PathBuf>,
    /// Compares each seed's hash with those of this file
    #[arg(long, value_name = "FILE")]
    expect: Option<PathBuf>,
    /// Goes on after a failure, and counts them by checker
    #[arg(long)]
    all: bool,
}

/// See [`plants::Plant`].
#[derive(Clone, Copy, ValueEnum)]
pub enum Plant {
    /// a reset is taken for "never ran", during a reload while keyed work waits for its second attempt
    DoubleCorrect,
    /// one news of a drain in a thousand is not taken in
    MissedDrain,
    /// an answer goes out a second time, once in 60
    AnswerTwice,
    /// a connection is used again although something came behind its answer
    LateBytes,
    /// an attempt in a thousand never ends
    Leak,
    /// a task wakes itself for ever
    Busy,
}

impl From<Plant> for plants::Plant {
    fn from(plant: Plant) -> Self {
        match plant {
            Plant::DoubleCorrect => plants::Plant::DoubleCorrect,
            Plant::MissedDrain => plants::Plant::MissedDrain,
            Plant::AnswerTwice => plants::Plant::AnswerTwice,
            Plant::LateBytes => plants::Plant::LateBytes,
            Plant::Leak => plants::Plant::Leak,
            Plant::Busy => plants::Plant::Busy,
        }
    }
}

fn range(text: &str) -> Result<Range<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("a range is FROM..TO")?;
    let number = |text: &str| text.parse::<u64>().map_err(|e| format!("{text}: {e}"));
    let (from, to) = (number(from)?, number(to)?);
    if from < to {
        Ok(from..to)
    } else {
        Err(format!("{from}..{to} is empty"))
    }
}

/// Runs what was asked for; the exit code.
pub fn run(options: &Options) -> u8 {
    let plant = options.plant.map(plants::Plant::from);
    let play = Play {
        plant,
        often: options.often,
        ..Play::default()
    };
    let done = if let Some(what) = &options.replay {
        replay(options, &play, what)
    } else if let Some(what) = &options.explain {
        script_of(what).and_then(|script| explain(&script, &play))
    } else if let Some(what) = &options.shrink {
        script_of(what).and_then(|script| make_smaller(options, &play, &script))
    } else {
        search(options, &play)
    };
    done.unwrap_or_else(|what| {
        eprintln!("{what}");
        1
    })
}

/// The night of a seed, or the one in a file.
fn script_of(what: &str) -> Result<Script, String> {
    if let Ok(seed) = what.parse() {
        return Ok(night(seed));
    }
    let text = fs::read_to_string(what).map_err(|e| format!("cannot read {what}: {e}"))?;
    let script: Script = serde_json::from_str(&text).map_err(|e| format!("{what}: {e}"))?;
    if script.version == VERSION {
        Ok(script)
    } else {
        Err(format!(
            "{what}: version {}, and this program plays version {VERSION}",
            script.version
        ))
    }
}

fn broken(outcome: &Outcome) -> Vec<String> {
    outcome.breach.iter().map(ToString::to_string).collect()
}

fn replay(options: &Options, play_: &Play, what: &str) -> Result<u8, String> {
    let script = script_of(what)?;
    let lines = options.trace.is_some();
    let first = play(
        &script,
        &Play {
            lines,
            ..play_.clone()
        },
    )
    .map_err(|e| e.to_string())?;
    if let Some(path) = &options.trace {
        let text = first.lines.join("\n") + "\n";
        fs::write(path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))?;
    }
    let mut breaches = broken(&first);
    let mut same = 1;
    for _ in 1..options.times {
        let again = play(&script, play_).map_err(|e| e.to_string())?;
        if (again.hash, again.steps) == (first.hash, first.steps) {
            same += 1;
        } else {
            breaches.push(format!(
                "hash {:016x} and then {:016x}",
                first.hash, again.hash
            ));
        }
    }
    figure("hash", format_args!("{:016x}", first.hash));
    figure("steps", first.steps);
    figure("virtual_ms", first.virtual_time.as_millis());
    figure("same_hash", same);
    Ok(last_line(
        "night",
        script.seed,
        &breaches,
        &format!("replayed {} times", options.times),
    ))
}

fn explain(script: &Script, play: &Play) -> Result<u8, String> {
    let (outcome, text) = story(script, play).map_err(|e| e.to_string())?;
    print!("{text}");
    Ok(last_line(
        "night",
        script.seed,
        &broken(&outcome),
        "explained",
    ))
}

fn make_smaller(options: &Options, play: &Play, script: &Script) -> Result<u8, String> {
    let Some((smallest, plays)) = shrink(script, play) else {
        println!(
            "ok night seed={} nothing to make smaller: no rule was broken",
            script.seed
        );
        return Ok(0);
    };
    let text = serde_json::to_string_pretty(&smallest).map_err(|e| e.to_string())?;
    fs::write(&options.to, text)
        .map_err(|e| format!("cannot write {}: {e}", options.to.display()))?;
    figure("nights_played", plays);
    for (name, before, after) in [
        ("faults", script.faults.len(), smallest.faults.len()),
        ("requests", script.requests.len(), smallest.requests.len()),
        ("nodes", script.nodes.len(), smallest.nodes.len()),
    ] {
        figure(name, format_args!("{before} -> {after}"));
    }
    println!("smallest {}", options.to.display());
    explain(&smallest, play)
}

/// What several threads find together.
#[derive(Default)]
struct Found {
    breaches: Vec<(u64, String, &'static str)>,
    hashes: Vec<(u64, u64)>,
    figures: Figures,
    checks: u64,
    steps: u64,
    virtual_time: Duration,
    nights: u64,
}

/// What a thread is at: the seed, and its steps.
struct AtWork {
    seed: AtomicU64,
    beat: Arc<AtomicU64>,
}

fn seeds(options: &Options) -> Result<Vec<u64>, String> {
    let mut all: Vec<u64> = match options.seed {
        Some(seed) => vec![seed],
        None => options.seeds.clone().collect(),
    };
    if let Some(path) = &options.kept {
        all.splice(0..0, kept(path)?);
    }
    Ok(all)
}

/// The seeds of a file: one a line, with why behind it; `#` begins a comment.
fn kept(path: &Path) -> Result<Vec<u64>, String> {
    let text =
        fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let lines = text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    let seed = |(number, line): (usize, &str)| {
        let first = line.split_whitespace().next().unwrap_or_default();
        first
            .parse()
            .map_err(|e| format!("{}:{}: {first}: {e}", path.display(), number + 1))
    };
    lines.map(seed).collect()
}

fn search(options: &Options, play_: &Play) -> Result<u8, String> {
    let seeds = seeds(options)?;
    let jobs = options
        .jobs
        .unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from));
    let style =
        ProgressStyle::with_template("{wide_bar} {pos}/{len} nights, {per_sec}, {eta} left {msg}");
    let bar = ProgressBar::new(seeds.len() as u64);
    bar.set_style(style.map_err(|e| e.to_string())?);
    let (next, over) = (AtomicU64::new(0), AtomicBool::new(false));
    let found = Mutex::new(Found::default());
    let at_work: Vec<AtWork> = (0..jobs)
        .map(|_| AtWork {
            seed: AtomicU64::new(u64::MAX),
            beat: Arc::default(),
        })
        .collect();
    let began = Instant::now();
    std::thread::scope(|scope| {
        for own in &at_work {
            let (seeds, next, over, found, bar) = (&seeds, &next, &over, &found, &bar);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let place = next.fetch_add(1, Ordering::Relaxed) as usize;
                    let Some(&seed) = seeds.get(place) else { break };
                    own.beat.store(0, Ordering::Relaxed);
                    own.seed.store(seed, Ordering::Relaxed);
                    let beat = Some(own.beat.clone());
                    let outcome = play(
                        &night(seed),
                        &Play {
                            beat,
                            ..play_.clone()
                        },
                    );
                    own.seed.store(u64::MAX, Ordering::Relaxed);
                    let mut found = found.lock().expect("no thread panics with it");
                    match outcome {
                        Ok(outcome) => found.take(seed, &outcome),
                        Err(e) => found.breaches.push((seed, e.to_string(), "runtime")),
                    }
                    if !found.breaches.is_empty() && !options.all {
                        over.store(true, Ordering::Relaxed);
                    }
                    bar.inc(1);
                }
            });
        }
        watch(&at_work, &over, &next, seeds.len() as u64);
    });
    bar.finish_and_clear();
    let wall = began.elapsed();
    let mut found = found.into_inner().expect("no thread panics with it");
    found.report(wall, jobs);
    let mut breaches: Vec<String> = Vec::new();
    found.breaches.sort();
    breaches.extend(
        found
            .breaches
            .iter()
            .map(|(seed, what, _)| format!("seed {seed}: {what}")),
    );
    found.hashes.sort_unstable();
    if let Some(path) = &options.hashes {
        let mut text = String::new();
        for (seed, hash) in &found.hashes {
            let _ = writeln!(text, "{seed} {hash:016x}"); // into a string
        }
        fs::write(path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))?;
    }
    if let Some(path) = &options.expect {
        breaches.extend(differ(path, &found.hashes)?);
    }
    let first = found
        .breaches
        .first()
        .map_or(options.seeds.start, |(seed, ..)| *seed);
    Ok(last_line(
        "night",
        first,
        &breaches,
        &format!("{} nights", found.nights),
    ))
}

fn differ(path: &Path, hashes: &[(u64, u64)]) -> Result<Vec<String>, String> {
    let text =
        fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let mut breaches = Vec::new();
    let mut compared = 0;
    for line in text.lines() {
        let Some((seed, hash)) = line.split_once(' ') else {
            continue;
        };
        let own = hashes.iter().find(|(own, _)| seed.parse() == Ok(*own));
        let Some((seed, own)) = own else { continue };
        compared += 1;
        if format!("{own:016x}") != hash {
            breaches.push(format!("seed {seed}: hash {own:016x} here, {hash} there"));
        }
    }
    figure("hashes_compared", compared);
    if compared == 0 {
        breaches.push(format!("{} has no hash of these seeds", path.display()));
    }
    Ok(breaches)
}

/// Waits until all seeds are taken or a night has failed. A night that hangs within a turn ends the program: its
/// thread can't be.
fn watch(at_work: &[AtWork], over: &AtomicBool, next: &AtomicU64, all: u64) {
    let mut last: Vec<(u64, u64, Instant)> =
        at_work.iter().map(|_| (0, 0, Instant::now())).collect();
    loop {
        std::thread::sleep(Duration::from_millis(20));
        let idle = at_work
            .iter()
            .all(|own| own.seed.load(Ordering::Relaxed) == u64::MAX);
        if idle && (over.load(Ordering::Relaxed) || next.load(Ordering::Relaxed) >= all) {
            return;
        }
        for (own, last) in at_work.iter().zip(&mut last) {
            let now = (
                own.seed.load(Ordering::Relaxed),
                own.beat.load(Ordering::Relaxed),
            );
            if (last.0, last.1) != now {
                *last = (now.0, now.1, Instant::now());
            } else if now.0 != u64::MAX && last.2.elapsed() > HANGS {
                println!(
                    "breach seed {}: no step in {HANGS:?}: the program hangs within a turn",
                    now.0
                );
                println!("FAILED night seed={} 1 breaches hangs", now.0);
                std::process::exit(1);
            }
        }
    }
}

impl Found {
    fn take(&mut self, seed: u64, outcome: &Outcome) {
        self.nights += 1;
        self.hashes.push((seed, outcome.hash));
        self.steps += outcome.steps;
        self.checks += outcome.checks;
        self.virtual_time += outcome.virtual_time;
        let (all, own) = (&mut self.figures, &outcome.figures);
        all.calls += own.calls;
        all.served += own.served;
        all.refused += own.refused;
        all.failed += own.failed;
        all.excused += own.excused;
        all.unread += own.unread;
        all.attempts += own.attempts;
        all.repeats += own.repeats;
        all.resent += own.resent;
        if let Some(breach) = &outcome.breach {
            self.breaches
                .push((seed, breach.to_string(), breach.checker));
        }
    }

    fn report(&self, wall: Duration, jobs: usize) {
        let seconds = wall.as_secs_f64().max(1e-6);
        figure("nights", self.nights);
        figure(
            "nights_a_second",
            format_args!("{:.1}", self.nights as f64 / seconds),
        );
        let faster = self.virtual_time.as_secs_f64() / seconds / jobs as f64;
        figure("virtual_over_wall_each_core", format_args!("{faster:.0}"));
        figure("steps", self.steps);
        figure("checks", self.checks);
        let Figures {
            calls,
            served,
            refused,
            failed,
            excused,
            unread,
            attempts,
            repeats,
            resent,
        } = self.figures;
        let all = [
            ("calls", calls),
            ("served", served),
            ("refused", refused),
            ("failed", failed),
            ("excused", excused),
            ("closed_unread", unread),
            ("attempts", attempts),
            ("resent", resent),
            ("repeats_dropped", repeats),
        ];
        all.iter().for_each(|(name, value)| figure(name, value));
        let mut by_checker = std::collections::BTreeMap::new();
        self.breaches
            .iter()
            .for_each(|(_, _, checker)| *by_checker.entry(*checker).or_insert(0) += 1);
        by_checker
            .iter()
            .for_each(|(checker, count)| figure(&format!("breaches_{checker}"), count));
    }
}
