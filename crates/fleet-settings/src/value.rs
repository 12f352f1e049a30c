//! Values of settings.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How calls of a class may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Calls may be retried at any time.
    #[serde(rename = "safe")]
    Idempotent,
    /// Calls carry an idempotency key, which backends remember for this window, in milliseconds.
    #[serde(rename = "keyed")]
    Keyed(u64),
    /// Calls may be retried only if no earlier attempt can have run.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// A value of a [`Key`](crate::Key).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// How calls of a class may be retried.
    #[serde(rename = "repeat")]
    Idempotency(Idempotency),
    /// A time in milliseconds.
    #[serde(rename = "ms")]
    Milliseconds(u64),
    /// A count.
    #[serde(rename = "count")]
    Count(u32),
    /// A flag.
    #[serde(rename = "is")]
    Flag(bool),
    /// An ordered list of names.
    #[serde(rename = "names")]
    Names(Vec<String>),
    /// Each node uses the value in its own configuration.
    #[serde(rename = "own")]
    NodeDefault,
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Idempotency(Idempotency::Idempotent) => f.write_str("safe"),
            Value::Idempotency(Idempotency::Keyed(window)) => write!(f, "keyed for {window} ms"),
            Value::Idempotency(Idempotency::NonIdempotent) => f.write_str("unsafe"),
            Value::Milliseconds(ms) => write!(f, "{ms} ms"),
            Value::Count(count) => write!(f, "{count}"),
            Value::Flag(flag) => write!(f, "{flag}"),
            Value::Names(names) => f.write_str(&names.join(", ")),
            Value::NodeDefault => f.write_str("as each node's file says"),
        }
    }
}
