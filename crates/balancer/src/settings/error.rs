//! What can be wrong with the settings.

use thiserror::Error;

/// Settings that were not accepted. Nothing has changed.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not the JSON that settings are.
    #[error("bad settings: {0}")]
    Json(#[from] serde_json::Error),
    /// Values that make no sense, each with its key.
    #[error("bad settings: {}", .0.join("; "))]
    Invalid(Vec<String>),
    /// The settings of a running process name too many things.
    #[error("settings.{key}: more than {limit} names since the start")]
    TooManyNames {
        /// The key in the settings.
        key: &'static str,
        /// The most names that a process may know.
        limit: usize,
    },
}
