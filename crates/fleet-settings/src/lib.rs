//! Versioned settings that the nodes of a fleet agree on: the keys and values of a version, which values of a key conflict
//! when two nodes act on them at the same time, and which value a node uses while several versions may be in force.
//!
//! A node uses either the value of a version or, where versions conflict, the *conservative* value, which conflicts with
//! no other. This package does no I/O and reads no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod diff;
mod effective;
mod history;
mod key;
mod settings;
mod value;

pub use diff::{Difference, differences};
pub use effective::{EffectiveValue, VersionStatus};
pub use history::{History, HistoryError, MAX_VERSIONS, ProposalOutcome, Version};
pub use key::Key;
pub use settings::{FleetSettings, MAX_KEYS, MAX_NAME_BYTES, MAX_REASON_BYTES, SettingsError};
pub use value::{Idempotency, Value};

/// The capability that a build announces if it can read these settings. A build that adds keys must use a new one.
pub const CAPABILITY: &str = "rules1";
