//! Characterization test of the decisions: compares digests of all actions for generated event sequences with digests
//! recorded before a refactoring. A digest that differs means that a decision changed.
//!
//! `CHARACTERIZATION_WRITE=1` prints the fixture instead of comparing with it.

#![allow(unreachable_pub)]

#[path = "characterization/conditions.rs"]
mod conditions;
#[path = "characterization/encoding.rs"]
mod encoding;
#[path = "characterization/random.rs"]
mod random;
#[path = "characterization/sequence.rs"]
mod sequence;

use sillward_balancer::{FinishReason, HoldReason, SendBlocked};
use std::collections::BTreeSet;

const FIXTURE: &str = include_str!("fixtures/decision-digests.txt");
const SEEDS: u64 = 256;
const EVENTS: u64 = 4000;
const THREADS: u64 = 4;

/// The fixture line of a seed: the seed, number of events, number of actions, digest.
fn fixture_line(seed: u64) -> String {
    let sequence = sequence::run(seed, EVENTS);
    format!(
        "{seed} {} {} {}",
        sequence.events,
        sequence.digest.actions,
        sequence.digest.finish()
    )
}

/// The fixture lines of all seeds, ordered by seed.
fn fixture_lines() -> Vec<String> {
    let mut lines: Vec<(u64, String)> = std::thread::scope(|scope| {
        let run_part = |part: u64| {
            move || {
                (part..SEEDS)
                    .step_by(THREADS as usize)
                    .map(|s| (s, fixture_line(s)))
                    .collect()
            }
        };
        let parts: Vec<_> = (0..THREADS)
            .map(|part| scope.spawn(run_part(part)))
            .collect();
        parts
            .into_iter()
            .flat_map(|part| -> Vec<_> { part.join().expect("a sequence runs without panicking") })
            .collect()
    });
    lines.sort();
    lines.into_iter().map(|(_, line)| line).collect()
}

/// The digests cover a finish or hold reason only if some sequence reaches it.
#[test]
fn generated_sequences_reach_every_reason() {
    let mut finished = BTreeSet::new();
    let mut held = BTreeSet::new();
    for seed in 0..SEEDS {
        let sequence = sequence::run(seed, EVENTS / 4);
        finished.extend(sequence.balancer().finish_counts().keys().copied());
        held.extend(sequence.balancer().hold_counts().keys().copied());
    }
    let expected_holds = [
        HoldReason::NoEligibleServer,
        HoldReason::ConcurrencyUnexplored,
        HoldReason::HealthChecks,
    ];
    assert_eq!(held, expected_holds.into());
    let expected = [
        FinishReason::ExpectedWorkTooLong,
        FinishReason::DeadlinePassed,
        FinishReason::NoServerDuringBody,
        FinishReason::RetryBudgetExhausted,
        FinishReason::NoServerForRetry,
        FinishReason::ServersOverloaded,
        FinishReason::SendBlocked(SendBlocked::NoAttemptsLeft),
    ];
    assert_eq!(finished, expected.into());
}

#[test]
fn generated_sequences_keep_their_decision_digests() {
    let lines = fixture_lines();
    if std::env::var_os("CHARACTERIZATION_WRITE").is_some() {
        println!("{}", lines.join("\n"));
        return;
    }
    let expected: Vec<_> = FIXTURE.lines().collect();
    assert_eq!(lines.len(), expected.len());
    let differing: Vec<_> = lines
        .iter()
        .zip(expected)
        .filter(|(line, expected)| line != expected)
        .collect();
    assert!(
        differing.is_empty(),
        "{} sequences differ, the first is {:?}",
        differing.len(),
        differing[0]
    );
}
