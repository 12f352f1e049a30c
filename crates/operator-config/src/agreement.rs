//! The table `[agreement]`, and the file of a change: the settings on which the fleet agrees.

use crate::Fault;
use crate::reader::{Reader, Section};
use sillward_fleet_settings::{FleetSettings, Idempotency, Key, SettingsError, Value};
use std::path::PathBuf;
use std::time::Duration;

/// What the operator file says of the agreement.
#[derive(Clone, Debug)]
pub struct AgreementTerms {
    /// The log's name: another one is another log.
    pub log: String,
    /// The voters, by their nodes' names, in the order in which all name them.
    pub voters: Vec<String>,
    /// Where this node, if it is a voter, keeps what it must not forget.
    pub folder: Option<PathBuf>,
    /// W.
    pub bound: Duration,
}

pub fn read(section: &Section<'_>) -> Option<AgreementTerms> {
    let log = section.needed("log").map(str::to_owned);
    if log.as_ref().is_some_and(|log| log.len() > 64) {
        section.fault("log", "is longer than 64 bytes");
    }
    let voters: Vec<String> = section
        .texts("voters")
        .into_iter()
        .map(str::to_owned)
        .collect();
    if !matches!(voters.len(), 3 | 5 | 7) {
        section.fault(
            "voters",
            format!("must name 3, 5 or 7 nodes, names {}", voters.len()),
        );
    }
    let mut once = voters.clone();
    once.sort();
    once.dedup();
    if once.len() < voters.len() || voters.iter().any(String::is_empty) {
        section.fault("voters", "each voter has a name, and is named once");
    }
    let folder = section.text("folder").map(PathBuf::from);
    let bound = section.number("bound_ms", 500, 60_000).unwrap_or(2_000);
    Some(AgreementTerms {
        log: log?,
        voters,
        folder,
        bound: Duration::from_millis(bound as u64),
    })
}

/// Reads the file of a change: all that a version is to hold, not what it is to differ by.
///
/// # Errors
/// Everything that is wrong, in the order of lines.
pub fn rules(name: &str, text: &str) -> Result<FleetSettings, Vec<Fault>> {
    let reader = Reader::new(name, text);
    let mut rules = FleetSettings::default();
    reader.root(|root| {
        for class in root.tables("classes") {
            read_class(&class, &mut rules);
            class.end();
        }
        if let Some(limits) = root.table("limits") {
            if let Some(attempts) = limits.number("attempts", 1, 16) {
                put(
                    &limits,
                    "attempts",
                    &mut rules,
                    Key::MaxAttempts,
                    Value::Count(attempts as u32),
                );
            }
            if let Some(word) = limits.word("hedges", &["never", "allowed"]) {
                put(
                    &limits,
                    "hedges",
                    &mut rules,
                    Key::Hedging,
                    Value::Flag(word == 1),
                );
            }
            limits.end();
        }
    });
    let faults = rules.validate();
    let mut told = reader.finish(rules)?;
    if !faults.is_empty() {
        let fault = |error: SettingsError| Fault {
            line: 1,
            file: name.to_owned(),
            key: String::new(),
            what: error.to_string(),
        };
        return Err(faults.into_iter().map(fault).collect());
    }
    Ok(std::mem::take(&mut told))
}

fn put(
    section: &Section<'_>,
    name: &'static str,
    rules: &mut FleetSettings,
    key: Key,
    value: Value,
) {
    if let Err(error) = rules.insert(key, value) {
        section.fault(name, error.to_string());
    }
}

fn read_class(class: &Section<'_>, rules: &mut FleetSettings) {
    let Some(name) = class.needed("name").map(str::to_owned) else {
        return;
    };
    let window = class.number("window_ms", 1, 86_400_000);
    let repeat = match class.word("repeat", &["safe", "keyed", "unsafe"]) {
        Some(0) => Some(Idempotency::Idempotent),
        Some(1) if window.is_none() => {
            class.fault(
                "window_ms",
                "is missing: a class that repeats by its key does so within a window",
            );
            None
        }
        Some(1) => window.map(|ms| Idempotency::Keyed(ms as u64)),
        Some(_) => Some(Idempotency::NonIdempotent),
        None => None,
    };
    if window.is_some() && !matches!(repeat, Some(Idempotency::Keyed(_)) | None) {
        class.fault(
            "window_ms",
            "only a class that repeats by its key has a window",
        );
    }
    if let Some(repeat) = repeat {
        put(
            class,
            "repeat",
            rules,
            Key::Idempotency(name.clone()),
            Value::Idempotency(repeat),
        );
    }
    if let Some(ms) = class.number("aim_ms", 1, 86_400_000) {
        put(
            class,
            "aim_ms",
            rules,
            Key::LatencyObjective(name.clone()),
            Value::Milliseconds(ms as u64),
        );
    }
    if let Some(ms) = class.number("deadline_ms", 1, 86_400_000) {
        put(
            class,
            "deadline_ms",
            rules,
            Key::Deadline(name),
            Value::Milliseconds(ms as u64),
        );
    }
}
