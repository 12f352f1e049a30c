//! Errors in the settings.

use thiserror::Error;

/// The settings were not accepted, and nothing has changed.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not valid JSON for the settings.
    #[error("bad settings: {0}")]
    Json(#[from] serde_json::Error),
    /// Invalid values, each with its key.
    #[error("bad settings: {}", .0.join("; "))]
    Invalid(Vec<String>),
    /// A process has received too many different names since its start.
    #[error("settings.{key}: more than {limit} different names since the process started")]
    TooManyNames {
        /// The key in the settings.
        key: &'static str,
        /// The most names that a process may receive.
        limit: usize,
    },
    /// A process has received too many names that were removed since.
    #[error("settings.{key}: more than {limit} names were removed since the process started")]
    TooManyRemovedNames {
        /// The key in the settings.
        key: &'static str,
        /// The most names that may have been removed.
        limit: usize,
    },
}
