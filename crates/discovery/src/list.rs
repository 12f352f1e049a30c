//! The JSON format of discovery's endpoint lists.

use serde::Deserialize;
use serde_json::Value;

/// A complete list or an incremental change. Entries are decoded one by one, so that a malformed entry doesn't affect
/// the others.
#[derive(Deserialize)]
pub(crate) struct List {
    /// The version of the list. One without a version is neither older nor newer than another.
    #[serde(rename = "index")]
    pub(crate) version: Option<u64>,
    /// Whether this is the complete list rather than a change.
    #[serde(default)]
    pub(crate) snapshot: bool,
    pub(crate) endpoints: Vec<Value>,
}
