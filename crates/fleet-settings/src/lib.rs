//! What a version of the fleet's settings holds, key by key; which values of a key contradict each other; and what a node
//! reads of a key that knows several versions, or does not know whether there is a newer one.
//!
//! A reading is *plain*, a value that a version has, or *careful*, one that contradicts no other. No I/O, no time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod history;
mod reading;

pub use history::{Difference, History, MOST_KEPT, Taken, Version, differences};
pub use reading::{Reading, Standing};

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What a build must speak to read these rules. A key that it does not know needs a word of its own.
pub const SPEAKS: &str = "rules1";

/// Bounds of a version.
pub const MOST_KEYS: usize = 4096;
/// The longest name, in bytes.
pub const MOST_NAME: usize = 64;
/// The longest line why, in bytes.
pub const MOST_WHY: usize = 200;

/// A key, and of what it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Key {
    /// How calls of a class may be sent again.
    Repeat(String),
    /// What a class aims at, in milliseconds.
    Aim(String),
    /// After what time a class is given up, in milliseconds.
    Deadline(String),
    /// The most attempts of a call.
    Attempts,
    /// Whether second copies may be sent beside a first.
    Hedges,
    /// A backend that nobody sends to, by its identity.
    Out(String),
    /// A tenant that is turned away.
    Away(String),
    /// Zones in the order in which calls may go over to them.
    Zones,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Key::Repeat(class) => write!(f, "classes.{class}.repeat"),
            Key::Aim(class) => write!(f, "classes.{class}.aim_ms"),
            Key::Deadline(class) => write!(f, "classes.{class}.deadline_ms"),
            Key::Attempts => f.write_str("limits.attempts"),
            Key::Hedges => f.write_str("limits.hedges"),
            Key::Out(backend) => write!(f, "out.backends.{backend}"),
            Key::Away(tenant) => write!(f, "away.tenants.{tenant}"),
            Key::Zones => f.write_str("zones.order"),
        }
    }
}

/// How calls of a class may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Whenever that helps.
    Safe,
    /// With their key, to their group, within so many milliseconds.
    Keyed(u64),
    /// Only when every attempt is known never to have run.
    Unsafe,
}

/// A value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// Of [`Key::Repeat`].
    Repeat(Repeat),
    /// Milliseconds.
    Ms(u64),
    /// A count.
    Count(u32),
    /// Yes or no.
    Is(bool),
    /// Names in order.
    Names(Vec<String>),
    /// What a version leaves to each node's own file.
    Own,
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Repeat(Repeat::Safe) => f.write_str("safe"),
            Value::Repeat(Repeat::Keyed(window)) => write!(f, "keyed for {window} ms"),
            Value::Repeat(Repeat::Unsafe) => f.write_str("unsafe"),
            Value::Ms(ms) => write!(f, "{ms} ms"),
            Value::Count(count) => write!(f, "{count}"),
            Value::Is(is) => write!(f, "{is}"),
            Value::Names(names) => f.write_str(&names.join(", ")),
            Value::Own => f.write_str("as each node's file says"),
        }
    }
}

/// What a key that is not there stands for, and what may be read of it where values differ.
impl Key {
    /// The value of a version that does not name the key.
    pub fn absent(&self) -> Value {
        match self {
            Key::Out(_) | Key::Away(_) => Value::Is(false),
            _ => Value::Own,
        }
    }

    /// The value that contradicts no other of this key. `None`: whatever is acted on contradicts nothing, so that the newest
    /// known is read; a wrong aim costs time, and takes no effect twice.
    pub fn careful(&self) -> Option<Value> {
        match self {
            Key::Repeat(_) => Some(Value::Repeat(Repeat::Unsafe)),
            Key::Attempts => Some(Value::Count(1)),
            Key::Hedges => Some(Value::Is(false)),
            Key::Out(_) | Key::Away(_) => Some(Value::Is(true)),
            Key::Aim(_) | Key::Deadline(_) | Key::Zones => None,
        }
    }

    /// Whether two nodes that act on these at one moment, each by a plain reading, contradict each other.
    pub fn contradicts(&self, one: &Value, other: &Value) -> bool {
        self.careful().is_some() && one != other
    }

    /// Whether a value is one of this key.
    pub fn takes(&self, value: &Value) -> bool {
        matches!(
            (self, value),
            (Key::Repeat(_), Value::Repeat(_))
                | (Key::Aim(_) | Key::Deadline(_), Value::Ms(1..))
                | (Key::Attempts, Value::Count(1..=16))
                | (Key::Hedges | Key::Out(_) | Key::Away(_), Value::Is(_))
                | (Key::Zones, Value::Names(_))
        )
    }

    /// The name in it.
    pub fn name(&self) -> Option<&str> {
        match self {
            Key::Repeat(name)
            | Key::Aim(name)
            | Key::Deadline(name)
            | Key::Out(name)
            | Key::Away(name) => Some(name),
            Key::Attempts | Key::Hedges | Key::Zones => None,
        }
    }
}

/// The keys of a version with their values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rules(BTreeMap<Key, Value>);

impl Rules {
    /// What is in them, in the order of keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.0.iter()
    }

    /// The value of a key, named or not.
    pub fn get(&self, key: &Key) -> Value {
        self.0.get(key).cloned().unwrap_or_else(|| key.absent())
    }

    /// Puts a value.
    ///
    /// # Errors
    /// It is none of this key, or the key stood already.
    pub fn put(&mut self, key: Key, value: Value) -> Result<(), String> {
        if !key.takes(&value) {
            return Err(format!("{key}: {value} is no value of it"));
        }
        if self.0.insert(key.clone(), value).is_some() {
            return Err(format!("{key}: stands twice"));
        }
        Ok(())
    }

    /// The names of the keys.
    pub fn keys(&self) -> BTreeSet<Key> {
        self.0.keys().cloned().collect()
    }

    /// All that is wrong with them as they are.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.0.len() > MOST_KEYS {
            faults.push(format!("{} keys are more than {MOST_KEYS}", self.0.len()));
        }
        let bad = |name: &str| {
            name.is_empty() || name.len() > MOST_NAME || name.chars().any(char::is_control)
        };
        for (key, value) in &self.0 {
            if key.name().is_some_and(bad) {
                faults.push(format!(
                    "{key}: the name must have 1 to {MOST_NAME} bytes and no control characters"
                ));
            }
            if !key.takes(value) {
                faults.push(format!("{key}: {value} is no value of it"));
            }
            if let Value::Repeat(Repeat::Keyed(0)) = value {
                faults.push(format!("{key}: keyed needs a window over 0"));
            }
            if let Value::Names(names) = value {
                let once: BTreeSet<&String> = names.iter().collect();
                if names.len() > 64
                    || names.iter().any(|name| bad(name))
                    || once.len() < names.len()
                {
                    faults.push(format!(
                        "{key}: at most 64 names, each once, of 1 to {MOST_NAME} bytes"
                    ));
                }
            }
        }
        faults
    }

    /// As it goes into the log: JSON, the same for the same rules.
    pub fn text(&self) -> String {
        let all: Vec<(&Key, &Value)> = self.0.iter().collect();
        serde_json::to_string(&all).unwrap_or_default()
    }

    /// Reads what [`Rules::text`] wrote, by this build or another.
    ///
    /// # Errors
    /// A key or value that this build does not know, or a fault.
    pub fn read(text: &str) -> Result<Self, String> {
        let all: Vec<(Key, Value)> = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let mut rules = Rules::default();
        for (key, value) in all {
            rules.put(key, value)?;
        }
        let faults = rules.faults();
        if faults.is_empty() {
            Ok(rules)
        } else {
            Err(faults.join("; "))
        }
    }
}
