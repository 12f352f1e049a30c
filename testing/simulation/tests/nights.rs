//! Whole nights: played again exactly, planted mistakes found, a time that stands still told, and made smaller.

use sillward_simulation::plants::Plant;
use sillward_simulation::run::{Options, Outcome, play};
use sillward_simulation::script::{Fault, Manner, Script, What, night};
use sillward_simulation::shrink::shrink;
use sillward_simulation::story::story;
use std::collections::BTreeSet;
use std::fmt::Write;

fn played(script: &Script, plant: Option<Plant>) -> Outcome {
    play(
        script,
        &Options {
            plant,
            ..Options::default()
        },
    )
    .expect("a runtime")
}

/// The first seed at which the plant is found, of so many.
fn found(plant: Plant, seeds: std::ops::Range<u64>) -> (u64, Outcome) {
    let mut all = seeds.map(|seed| (seed, played(&night(seed), Some(plant))));
    all.find(|(_, outcome)| outcome.breach.is_some())
        .expect("the plant is found")
}

/// Also left for who compares with a build of another kind (`rig night --expect`).
#[test]
fn a_seed_gives_the_same_steps_again_whatever_else_runs_beside_it() {
    let mut text = String::new();
    for seed in 0..12 {
        let (one, other) = std::thread::scope(|scope| {
            let other = scope.spawn(move || played(&night(seed), None));
            (played(&night(seed), None), other.join().expect("played"))
        });
        assert_eq!(
            (one.hash, one.steps),
            (other.hash, other.steps),
            "seed {seed}"
        );
        assert!(
            one.steps > 500 && one.checks > 100,
            "seed {seed}: {} steps, {} checks",
            one.steps,
            one.checks
        );
        assert_eq!(one.breach, None);
        writeln!(text, "{seed} {:016x}", one.hash).expect("a string");
    }
    assert_ne!(played(&night(0), None).hash, played(&night(1), None).hash);
    let to = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("night-hashes");
    std::fs::write(to, text).expect("the target folder");
}

#[test]
fn a_script_is_the_same_after_a_file() {
    for seed in 0..50 {
        let script = night(seed);
        let text = serde_json::to_string(&script).expect("a text");
        assert_eq!(
            serde_json::from_str::<Script>(&text).expect("a script"),
            script
        );
    }
}

#[test]
fn every_kind_of_trouble_comes_and_several_at_once() {
    let scripts: Vec<Script> = (0..200).map(night).collect();
    let kind = |fault: &Fault| {
        format!("{:?}", fault.what)
            .split(['(', ' '])
            .next()
            .map(str::to_owned)
    };
    let kinds: BTreeSet<_> = scripts
        .iter()
        .flat_map(|script| script.faults.iter().filter_map(kind))
        .collect();
    assert_eq!(kinds.len(), 26, "{kinds:?}");
    let together = scripts.iter().filter(|script| {
        script.faults.iter().any(|one| {
            let during =
                |other: &&Fault| (one.at_ms..one.at_ms + one.for_ms).contains(&other.at_ms);
            script.faults.iter().filter(during).count() >= 3
        })
    });
    assert!(together.count() > 50);
    assert!(scripts.iter().any(|script| script.thrift) && scripts.iter().any(|script| script.etcd));
    assert!(
        scripts
            .iter()
            .any(|script| script.requests.iter().any(|r| r.manner == Manner::Garbage))
    );
}

#[test]
fn an_answer_given_twice_is_found() {
    let (_, outcome) = found(Plant::AnswerTwice, 0..20);
    assert_eq!(
        outcome.breach.map(|breach| breach.checker),
        Some("answered-twice")
    );
}

#[test]
fn an_entry_that_leaks_is_found() {
    let (_, outcome) = found(Plant::Leak, 0..20);
    assert_eq!(outcome.breach.map(|breach| breach.checker), Some("leak"));
}

#[test]
fn a_connection_used_again_after_late_bytes_is_found() {
    let (_, outcome) = found(Plant::LateBytes, 0..120);
    assert_eq!(
        outcome.breach.map(|breach| breach.checker),
        Some("foreign-answer")
    );
}

#[test]
fn a_time_that_stands_still_is_told_and_does_not_hang() {
    let outcome = played(&night(0), Some(Plant::Busy));
    let breach = outcome.breach.expect("it is told");
    assert_eq!((breach.checker, breach.at.as_millis()), ("still", 900));
    assert!(breach.what.contains("time stands still"), "{breach}");
}

#[test]
fn a_failing_script_is_made_smaller_and_still_fails_alike() {
    let script = night(0);
    let options = Options {
        plant: Some(Plant::AnswerTwice),
        ..Options::default()
    };
    let (smallest, plays) = shrink(&script, &options).expect("it fails");
    assert!(
        plays > 1 && smallest.faults.len() < script.faults.len(),
        "{smallest:?}"
    );
    assert!(
        smallest.requests.len() * 10 < script.requests.len(),
        "{} requests left",
        smallest.requests.len()
    );
    let again = played(&smallest, Some(Plant::AnswerTwice));
    assert_eq!(
        again.breach.map(|breach| breach.checker),
        Some("answered-twice")
    );
    assert!(
        shrink(&night(0), &Options::default()).is_none(),
        "nothing fails there"
    );
}

#[test]
fn the_story_names_the_call_and_its_life() {
    let options = Options {
        plant: Some(Plant::AnswerTwice),
        ..Options::default()
    };
    let (outcome, text) = story(&night(0), &options).expect("a runtime");
    let call = outcome
        .breach
        .and_then(|breach| breach.call)
        .expect("a call");
    assert!(
        text.contains(&format!("call {call}")) && text.contains("may have run"),
        "{text}"
    );
}

/// What the virtual world itself must be able to break: a box that takes what drains, another call's answer.
#[test]
fn a_night_without_trouble_serves_nearly_all() {
    let mut script = night(3);
    script.faults.clear();
    script
        .requests
        .retain(|request| request.manner == Manner::Plain);
    let calm = played(&script, None);
    assert_eq!(calm.breach, None);
    assert!(
        calm.figures.served * 100 > calm.figures.calls * 97,
        "{:?}",
        calm.figures
    );
    let backends = script.backends.len();
    script.faults = (0..backends)
        .map(|backend| Fault {
            at_ms: 300,
            for_ms: 1500,
            what: What::Rejects {
                backend,
                permille: 1000,
            },
        })
        .collect();
    let troubled = played(&script, None);
    assert_eq!(troubled.breach, None);
    assert!(
        troubled.figures.refused > calm.figures.refused + 20,
        "{:?}",
        troubled.figures
    );
}

/// Whoever comes in next is not paid for by the one that has just come in, whose first request is on its way. Without
/// the door's care for first words, two in this night.
#[test]
fn a_full_node_gives_new_clients_time_for_their_first_words() {
    let outcome = played(&night(150), None);
    assert_eq!(
        (outcome.breach, outcome.figures.unread),
        (None, 0),
        "{:?}",
        outcome.figures
    );
}
