//! What can be wrong with a configuration. Nothing has changed then.

use sillward_balancer::settings::SettingsError;
use std::io;
use std::num::ParseIntError;
use std::path::PathBuf;
use thiserror::Error;

/// The configuration could not be loaded.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("bad configuration: PROXY_CONFIG is not set")]
    NoFile,
    /// The file cannot be read.
    #[error("bad configuration: cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The file's content is not accepted.
    #[error("bad configuration: {0}")]
    File(#[from] FileError),
    /// `PROXY_LISTEN_FD` is set to something else.
    #[error("bad configuration: PROXY_LISTEN_FD is no descriptor's number over 2")]
    ListenDescriptor,
    /// `PROXY_ADMIN` is set to something else.
    #[error("bad configuration: PROXY_ADMIN is no address with a port")]
    AdminAddress,
}

/// What can be wrong with the content of the file.
#[derive(Debug, Error)]
pub enum FileError {
    /// It is not the JSON of a configuration.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is no hexadecimal number of 64 bits.
    #[error("seed: {0}")]
    Seed(ParseIntError),
    /// The platform's settings are not accepted.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A name is missing, or two things have the same one.
    #[error("settings.{key} is empty or stands twice in {names:?}")]
    Name {
        /// The key in the file.
        key: &'static str,
        /// All names there.
        names: Vec<String>,
    },
    /// The limit on sockets leaves none for connections.
    #[error("{sockets} sockets are too few: {reserved} and 2 at least")]
    Sockets {
        /// The limit.
        sockets: usize,
        /// What the node needs beside connections.
        reserved: usize,
    },
}

/// A later configuration cannot be taken into the running process.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// It lacks keys that the running one has, each by its path.
    #[error("bad configuration: it lacks {}", .0.join(", "))]
    MissingKeys(Vec<String>),
    /// Its settings cannot follow the running ones.
    #[error("bad configuration: {0}")]
    Settings(#[from] SettingsError),
}
