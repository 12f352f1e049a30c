//! Keys of settings, and which values of a key conflict.

use crate::value::{Idempotency, Value};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The name of a setting.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// How calls of this class may be retried.
    #[serde(rename = "repeat")]
    Idempotency(String),
    /// The latency objective of this class, in milliseconds.
    #[serde(rename = "aim")]
    LatencyObjective(String),
    /// The deadline of calls of this class, in milliseconds.
    #[serde(rename = "deadline")]
    Deadline(String),
    /// The most attempts of a call.
    #[serde(rename = "attempts")]
    MaxAttempts,
    /// Whether hedged requests are allowed.
    #[serde(rename = "hedges")]
    Hedging,
    /// Whether the backend of this identity is ejected. Allowed in versions; no node acts on it yet.
    #[serde(rename = "out")]
    EjectedBackend(String),
    /// Whether calls of this tenant are rejected. Allowed in versions; no node acts on it yet.
    #[serde(rename = "away")]
    RejectedTenant(String),
    /// The zones in the order in which calls may fail over to them. Allowed in versions; no node acts on it yet.
    #[serde(rename = "zones")]
    ZoneOrder,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Key::Idempotency(class) => write!(f, "classes.{class}.repeat"),
            Key::LatencyObjective(class) => write!(f, "classes.{class}.aim_ms"),
            Key::Deadline(class) => write!(f, "classes.{class}.deadline_ms"),
            Key::MaxAttempts => f.write_str("limits.attempts"),
            Key::Hedging => f.write_str("limits.hedges"),
            Key::EjectedBackend(backend) => write!(f, "out.backends.{backend}"),
            Key::RejectedTenant(tenant) => write!(f, "away.tenants.{tenant}"),
            Key::ZoneOrder => f.write_str("zones.order"),
        }
    }
}

impl Key {
    /// The value of the key in a version that does not contain it.
    pub fn default_value(&self) -> Value {
        match self {
            Key::EjectedBackend(_) | Key::RejectedTenant(_) => Value::Flag(false),
            _ => Value::NodeDefault,
        }
    }

    /// The value that conflicts with no other value of this key.
    ///
    /// `None` if no two values conflict, so that the newest known value may always be used: a wrong latency objective, for
    /// example, costs time but causes no call to run twice.
    pub fn conservative_value(&self) -> Option<Value> {
        match self {
            Key::Idempotency(_) => Some(Value::Idempotency(Idempotency::NonIdempotent)),
            Key::MaxAttempts => Some(Value::Count(1)),
            Key::Hedging => Some(Value::Flag(false)),
            Key::EjectedBackend(_) | Key::RejectedTenant(_) => Some(Value::Flag(true)),
            Key::LatencyObjective(_) | Key::Deadline(_) | Key::ZoneOrder => None,
        }
    }

    /// Whether two nodes that use these values at the same time conflict, if neither value is the conservative one.
    pub fn conflicts(&self, one: &Value, other: &Value) -> bool {
        self.conservative_value().is_some() && one != other
    }

    /// Whether a value is of this key's type and in its range.
    pub fn accepts(&self, value: &Value) -> bool {
        matches!(
            (self, value),
            (Key::Idempotency(_), Value::Idempotency(_))
                | (
                    Key::LatencyObjective(_) | Key::Deadline(_),
                    Value::Milliseconds(1..)
                )
                | (Key::MaxAttempts, Value::Count(1..=16))
                | (
                    Key::Hedging | Key::EjectedBackend(_) | Key::RejectedTenant(_),
                    Value::Flag(_)
                )
                | (Key::ZoneOrder, Value::Names(_))
        )
    }

    /// The name of the class, backend or tenant that the key applies to.
    pub fn name(&self) -> Option<&str> {
        match self {
            Key::Idempotency(name)
            | Key::LatencyObjective(name)
            | Key::Deadline(name)
            | Key::EjectedBackend(name)
            | Key::RejectedTenant(name) => Some(name),
            Key::MaxAttempts | Key::Hedging | Key::ZoneOrder => None,
        }
    }

    /// Whether the key is an entry in a list of exclusions: ejected backends or rejected tenants.
    pub(crate) fn is_exclusion(&self) -> bool {
        matches!(self, Key::EjectedBackend(_) | Key::RejectedTenant(_))
    }
}
