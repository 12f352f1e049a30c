//! The story of a broken rule, for a person: the call's whole life, in order, from all parties.

use crate::run::{Options, Outcome, play};
use crate::script::Script;
use std::collections::BTreeSet;
use std::fmt::Write;

/// Lines about the call's connections that are shown at most.
const LINES: usize = 200;

/// Plays a night and tells what broke; what it came to, and the story.
///
/// # Errors
/// The runtime could not be started.
pub fn story(script: &Script, options: &Options) -> std::io::Result<(Outcome, String)> {
    let outcome = play(
        script,
        &Options {
            lines: true,
            ..options.clone()
        },
    )?;
    let mut text = String::new();
    let Some(breach) = &outcome.breach else {
        return Ok((outcome, "No rule was broken.\n".to_owned()));
    };
    // Writes into a string can't fail.
    let _ = writeln!(text, "Broken: {breach}\n");
    for line in &outcome.life {
        let _ = writeln!(text, "{line}");
    }
    let _ = writeln!(text, "\nFaults until then:");
    for line in outcome.lines.iter().filter(|line| line.contains(" fault ")) {
        let _ = writeln!(text, "  {}", bare(line));
    }
    let _ = writeln!(text, "\nIn order, what all parties saw of it:");
    let words = words_of(breach.call.as_deref(), &breach.what);
    let told: Vec<&String> = outcome
        .lines
        .iter()
        .filter(|line| concerns(line, &words))
        .collect();
    let left_out = told.len().saturating_sub(LINES);
    if left_out > 0 {
        let _ = writeln!(text, "  ({left_out} lines before these)");
    }
    for line in told.iter().skip(left_out) {
        let _ = writeln!(text, "  {}", bare(line));
    }
    Ok((outcome, text))
}

/// What a line must name to be told: the call and its earlier tries, and the machines and connections of the breach.
fn words_of(call: Option<&str>, what: &str) -> BTreeSet<String> {
    let mut words = BTreeSet::new();
    if let Some(operation) = call.and_then(|call| call.split('.').next()) {
        words.extend((0..4).map(|number| format!("{operation}.{number}")));
    } else {
        let names = what.split(|c: char| !c.is_alphanumeric());
        let is_name = |word: &&str| {
            let mut letters = word.chars();
            matches!(letters.next(), Some('b' | 'c' | 'n'))
                && word.len() > 1
                && letters.all(|c| c.is_ascii_digit())
        };
        words.extend(names.filter(is_name).map(str::to_owned));
    }
    words
}

fn concerns(line: &str, words: &BTreeSet<String>) -> bool {
    line.contains(" fault ")
        || line.contains(" checker ")
        || line
            .split(|c: char| c.is_whitespace() || c == ':')
            .any(|word| words.contains(word))
}

fn bare(line: &str) -> &str {
    line.rsplit_once(" #").map_or(line, |(line, _)| line)
}
