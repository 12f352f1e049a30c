//! The file as the platform writes it.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

#[derive(Deserialize)]
pub(crate) struct ConfigFile {
    #[serde(default)]
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    #[serde(default)]
    pub(crate) admin: Option<SocketAddr>,
    /// Hexadecimal digits; empty for 0.
    #[serde(default)]
    pub(crate) seed: String,
    #[serde(default)]
    pub(crate) limits: FileLimits,
    /// The endpoint list as this node last had it.
    #[serde(default)]
    pub(crate) known: Option<Box<RawValue>>,
    pub(crate) settings: Box<RawValue>,
}

/// The limits of the process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub(crate) struct FileLimits {
    /// Open descriptors.
    pub(crate) sockets: usize,
    /// Memory in MiB.
    pub(crate) memory_mb: f64,
}

impl Default for FileLimits {
    fn default() -> Self {
        FileLimits {
            sockets: 1024,
            memory_mb: 192.0,
        }
    }
}
