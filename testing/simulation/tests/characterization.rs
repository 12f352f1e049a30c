//! Characterization of the whole program in the simulation: for each seed, a digest of the numbers of all steps (times,
//! hosts, connections, bytes, requests), as they were before the code was put into other words. Words are left out, so that
//! names may change.
//!
//! `CHARACTERIZATION_WRITE=1` prints the fixture instead of comparing with it.

use sillward_simulation::run::{Options, play};
use sillward_simulation::script::night;
use xxhash_rust::xxh3::Xxh3;

const FIXTURE: &str = include_str!("fixtures/run-digests.txt");
/// Beside these, the seeds that once broke a rule.
const SEEDS: std::ops::Range<u64> = 0..60;
const THREADS: usize = 4;

fn seeds() -> Vec<u64> {
    let kept = include_str!("../seeds.txt")
        .lines()
        .filter_map(|line| line.split(' ').next()?.parse().ok());
    SEEDS.chain(kept).collect()
}

/// Adds the runs of digits in a line, each ended by a space.
fn add_numbers(hash: &mut Xxh3, line: &str) {
    let numbers = line
        .split(|c: char| !c.is_ascii_digit())
        .filter(|digits| !digits.is_empty());
    numbers.for_each(|digits| {
        hash.update(digits.as_bytes());
        hash.update(b" ");
    });
}

/// A seed's line of the fixture: the seed, its steps, digest of their numbers.
fn line(seed: u64) -> String {
    let options = Options {
        lines: true,
        ..Options::default()
    };
    let outcome = play(&night(seed), &options).expect("a runtime");
    assert!(
        outcome.breach.is_none(),
        "seed {seed}: {:?}",
        outcome.breach
    );
    let mut hash = Xxh3::new();
    for line in &outcome.lines {
        // Behind the step stands the digest of the steps so far, which covers words.
        let (step, _) = line.rsplit_once(" #").expect("a step with its digest");
        add_numbers(&mut hash, step);
    }
    format!("{seed} {} {:016x}", outcome.steps, hash.digest())
}

#[test]
fn plays_every_seed_as_before() {
    let seeds = seeds();
    let parts: Vec<Vec<(usize, String)>> = std::thread::scope(|scope| {
        let play_part = |part: usize| {
            let seeds = &seeds;
            move || {
                (part..seeds.len())
                    .step_by(THREADS)
                    .map(|at| (at, line(seeds[at])))
                    .collect()
            }
        };
        let parts: Vec<_> = (0..THREADS)
            .map(|part| scope.spawn(play_part(part)))
            .collect();
        parts
            .into_iter()
            .map(|part| part.join().expect("a run that ends"))
            .collect()
    });
    let mut lines: Vec<_> = parts.into_iter().flatten().collect();
    lines.sort();
    let lines: Vec<_> = lines.into_iter().map(|(_, line)| line).collect();
    if std::env::var_os("CHARACTERIZATION_WRITE").is_some() {
        println!("{}", lines.join("\n"));
        return;
    }
    assert_eq!(lines, FIXTURE.lines().collect::<Vec<_>>());
}
