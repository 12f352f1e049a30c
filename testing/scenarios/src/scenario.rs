//! Whole scenarios: figures as `name value` lines, and a last line that says whether every check held.

pub mod demo;
pub mod etcd;
pub mod few;
pub mod fleet;
pub mod load;
pub mod night;
pub mod pages;
pub mod plain;
pub mod plants;
pub mod sizes;
pub mod thrift;

use std::fmt::Display;

/// A scenario, and the faults that can be planted in it.
pub struct Listed {
    pub name: &'static str,
    pub what: &'static str,
    pub plants: &'static [&'static str],
}

/// All scenarios with a verdict.
pub const ALL: [Listed; 6] = [
    Listed {
        name: "thrift",
        what: "callers of both encodings against tally boxes that are killed and restarted",
        plants: &["double-send"],
    },
    Listed {
        name: "etcd",
        what: "steady load while etcd compacts, restarts, stalls and drains backends",
        plants: &["forget-compacted", "empty-on-silence"],
    },
    Listed {
        name: "few",
        what: "a dozen callers at one or two healthy boxes: nothing refused, nothing sent twice",
        plants: &["turn-away", "late"],
    },
    Listed {
        name: "fleet",
        what: "processes of the program with faults between them and to them: members",
        plants: &["no-incarnation", "one-way-blind", "never-forget"],
    },
    Listed {
        name: "night",
        what: "whole nights on a virtual clock, several troubles at once, from a range of seeds",
        plants: &[
            "double-correct",
            "missed-drain",
            "answer-twice",
            "late-bytes",
            "leak",
            "busy",
        ],
    },
    Listed {
        name: "pages",
        what: "every command of the README and of the pages for operators, run as it stands",
        plants: &["stale"],
    },
];

/// Prints a figure.
pub fn figure(name: &str, value: impl Display) {
    println!("{name} {value}");
}

/// Prints the last line, and returns the exit code.
pub fn last_line(scenario: &str, seed: u64, breaches: &[String], more: &str) -> u8 {
    for breach in breaches.iter().take(10) {
        println!("breach {breach}");
    }
    if breaches.is_empty() {
        println!("ok {scenario} seed={seed} {more}");
        0
    } else {
        println!(
            "FAILED {scenario} seed={seed} {} breaches {more}",
            breaches.len()
        );
        1
    }
}
