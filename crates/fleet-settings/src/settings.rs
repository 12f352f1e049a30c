//! The settings of one version, their validation, and their encoding in the replicated log.

use crate::key::Key;
use crate::value::{Idempotency, Value};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The most keys in a version.
pub const MAX_KEYS: usize = 4096;
/// The longest name of a class, backend, tenant or zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The longest reason or author of a version, in bytes.
pub const MAX_REASON_BYTES: usize = 200;
/// The most names in a [`Value::Names`].
const MAX_NAMES: usize = 64;

/// A reason why settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The value is not of the key's type or not in its range.
    #[error("{key}: {value} is no value of it")]
    NotAccepted {
        /// The key.
        key: Key,
        /// The value.
        value: Value,
    },
    /// A key appears twice.
    #[error("{0}: stands twice")]
    Duplicate(Key),
    /// There are more than [`MAX_KEYS`].
    #[error("{0} keys are more than {MAX_KEYS}")]
    TooManyKeys(usize),
    /// The name in the key is empty, too long or contains control characters.
    #[error("{0}: the name must have 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    InvalidName(Key),
    /// A class whose calls carry idempotency keys has no window.
    #[error("{0}: keyed needs a window over 0")]
    MissingWindow(Key),
    /// A list of names is too long, or contains a duplicate or an invalid name.
    #[error("{0}: at most {MAX_NAMES} names, each once, of 1 to {MAX_NAME_BYTES} bytes")]
    InvalidNames(Key),
    /// The text is not JSON, or contains keys or values that this build does not know.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// All errors that [`FleetSettings::validate`] found.
    #[error("{}", join_errors(.0))]
    Invalid(Vec<SettingsError>),
}

fn join_errors(errors: &[SettingsError]) -> String {
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// The keys of a version with their values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSettings(BTreeMap<Key, Value>);

impl FleetSettings {
    /// All keys with their values, in ascending order of keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.0.iter()
    }

    /// The value of a key, or [`Key::default_value`] if the settings do not contain the key.
    pub fn get(&self, key: &Key) -> Value {
        self.0
            .get(key)
            .cloned()
            .unwrap_or_else(|| key.default_value())
    }

    /// Adds a key.
    ///
    /// # Errors
    /// The value is not of the key's type or not in its range, or the settings already contain the key.
    pub fn insert(&mut self, key: Key, value: Value) -> Result<(), SettingsError> {
        if !key.accepts(&value) {
            return Err(SettingsError::NotAccepted { key, value });
        }
        if self.0.insert(key.clone(), value).is_some() {
            return Err(SettingsError::Duplicate(key));
        }
        Ok(())
    }

    /// All keys.
    pub fn keys(&self) -> BTreeSet<Key> {
        self.0.keys().cloned().collect()
    }

    /// All errors in these settings, in ascending order of keys.
    pub fn validate(&self) -> Vec<SettingsError> {
        let mut errors = Vec::new();
        if self.0.len() > MAX_KEYS {
            errors.push(SettingsError::TooManyKeys(self.0.len()));
        }
        for (key, value) in &self.0 {
            validate_entry(key, value, &mut errors);
        }
        errors
    }

    /// Encodes the settings as JSON for the log. Equal settings have equal encodings.
    pub fn to_json(&self) -> String {
        let entries: Vec<(&Key, &Value)> = self.0.iter().collect();
        serde_json::to_string(&entries).unwrap_or_default()
    }

    /// Decodes the result of [`FleetSettings::to_json`], of this build or another one.
    ///
    /// # Errors
    /// This build does not know a key or value, or the settings are not valid.
    pub fn from_json(text: &str) -> Result<Self, SettingsError> {
        let entries: Vec<(Key, Value)> = serde_json::from_str(text)?;
        let mut settings = FleetSettings::default();
        for (key, value) in entries {
            settings.insert(key, value)?;
        }
        let errors = settings.validate();
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Invalid(errors))
        }
    }
}

fn validate_entry(key: &Key, value: &Value, errors: &mut Vec<SettingsError>) {
    if key.name().is_some_and(is_invalid_name) {
        errors.push(SettingsError::InvalidName(key.clone()));
    }
    if !key.accepts(value) {
        errors.push(SettingsError::NotAccepted {
            key: key.clone(),
            value: value.clone(),
        });
    }
    if let Value::Idempotency(Idempotency::Keyed(0)) = value {
        errors.push(SettingsError::MissingWindow(key.clone()));
    }
    if let Value::Names(names) = value {
        let distinct: BTreeSet<&String> = names.iter().collect();
        if names.len() > MAX_NAMES
            || names.iter().any(|name| is_invalid_name(name))
            || distinct.len() < names.len()
        {
            errors.push(SettingsError::InvalidNames(key.clone()));
        }
    }
}

fn is_invalid_name(name: &str) -> bool {
    name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control)
}
