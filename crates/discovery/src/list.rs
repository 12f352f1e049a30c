//! The form in which discovery writes lists.

use serde::Deserialize;
use serde_json::Value;

/// A list, or its changes. Each entry is decoded by itself: a malformed one is dropped alone.
#[derive(Deserialize)]
pub(crate) struct List {
    /// The list's version.
    #[serde(default)]
    pub(crate) index: u64,
    /// Whether the list is complete.
    #[serde(default)]
    pub(crate) snapshot: bool,
    pub(crate) endpoints: Vec<Value>,
}
