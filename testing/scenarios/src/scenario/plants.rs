//! Plays each plant of each short scenario once: a check that sees its plant no more has gone blind, and says so here.

use std::process::{Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// A plant: how it is played, and what the check that is meant for it must say.
struct Planted {
    arguments: &'static str,
    /// Any of these.
    says: &'static [&'static str],
}

const fn planted(arguments: &'static str, says: &'static [&'static str]) -> Planted {
    Planted { arguments, says }
}

/// The longest first, so that they run beside the others.
const ALL: &[Planted] = &[
    planted(
        "etcd --seed 1 --seconds 8 --plant empty-on-silence",
        &["nothing was sent to anybody"],
    ),
    planted(
        "etcd --seed 2 --seconds 12 --plant forget-compacted",
        &["sends past the grace"],
    ),
    planted(
        "thrift --seed 1 --seconds 6 --plant double-send",
        &["took effect 2 times"],
    ),
    planted(
        "fleet members --nodes 5 --seed 2 --seconds 12 --kinds pause,kill --plant no-incarnation",
        &["sent frames of life"],
    ),
    planted(
        "fleet members --nodes 6 --seed 2 --seconds 16 --kinds cut-one-way --plant one-way-blind",
        &["was called gone"],
    ),
    planted(
        "fleet members --nodes 5 --seed 1 --seconds 22 --kinds kill --plant never-forget",
        &["has not forgotten"],
    ),
    planted(
        "fleet members --seed 1 --faults testing/cluster/scripts/rolling.jsonl --plant unreadable",
        &["they do not agree"],
    ),
    planted(
        "fleet settings --nodes 9 --seed 1 --rounds restart,restart --plant forget-right --bound-ms 6000",
        &["was sent again"],
    ),
    planted(
        "fleet settings --nodes 9 --seed 1 --rounds late --plant from-arrival",
        &["was sent again"],
    ),
    planted(
        "fleet settings --nodes 9 --seed 1 --rounds cut-off --plant skip-wait",
        &["was sent again"],
    ),
    planted(
        "fleet settings --nodes 9 --seed 1 --rounds bounce,bounce --plant no-sync --disk-ms 700",
        &["was sent again", "and was", "is not in force"],
    ),
    planted("few --seed 1 --plant turn-away", &["ended as Refused"]),
    planted("few --seed 1 --plant late", &["ended as"]),
    planted(
        "night --jobs 1 --seeds 0..100 --often --plant double-correct",
        &["refused-and-ran", "effect-twice"],
    ),
    planted(
        "night --jobs 1 --seeds 0..100 --often --plant missed-drain",
        &["drain"],
    ),
    planted(
        "night --jobs 1 --seeds 0..10 --plant answer-twice",
        &["answered-twice"],
    ),
    planted(
        "night --jobs 1 --seeds 0..10 --plant late-bytes",
        &["foreign-answer"],
    ),
    planted("night --jobs 1 --seeds 0..10 --plant leak", &["leak"]),
    planted("night --jobs 1 --seeds 0..10 --plant busy", &["still"]),
    planted(
        "pages --plant stale docs/simulation.md",
        &["command not found"],
    ),
];

/// Runs them side by side, and returns the exit code.
pub fn run(jobs: usize) -> u8 {
    let (next, blind) = (AtomicUsize::new(0), Mutex::new(0usize));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some(plant) = ALL.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let begun = Instant::now();
                    let (seen, last) = play(plant);
                    let word = if seen { "found" } else { "BLIND" };
                    let took = begun.elapsed().as_secs_f64();
                    println!("{word} {} ({took:.0} s): {last}", plant.arguments);
                    *blind.lock().expect("the count") += usize::from(!seen);
                }
            });
        }
    });
    let blind = *blind.lock().expect("the count");
    println!(
        "{} plants {} played, {blind} not found",
        if blind == 0 { "ok" } else { "FAILED" },
        ALL.len()
    );
    u8::from(blind > 0)
}

/// Whether the scenario failed for the plant's own reason, and its last line.
fn play(plant: &Planted) -> (bool, String) {
    let own = std::env::current_exe().expect("its own path");
    // Built already by whoever started this.
    let mut command = Command::new(own);
    command
        .args(plant.arguments.split(' '))
        .env_remove("CARGO")
        .stdin(Stdio::null());
    let Ok(output) = command.output() else {
        return (false, "it did not start".to_owned());
    };
    let text = String::from_utf8_lossy(&output.stdout);
    // What broke off before its last line says why in its log.
    let log = String::from_utf8_lossy(&output.stderr);
    let last = text
        .lines()
        .last()
        .or_else(|| log.lines().last())
        .unwrap_or_default();
    let seen = output.status.code() == Some(1)
        && last.starts_with("FAILED")
        && plant.says.iter().any(|what| text.contains(what));
    (seen, last.to_owned())
}
