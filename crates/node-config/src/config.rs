//! A node's configuration: read from the file and the environment, and replaced by a later one.

use crate::error::{ConfigError, FileError, ReloadError};
use crate::file::{ConfigFile, FileLimits};
use crate::limits::ResourceLimits;
use crate::required_keys;
use serde_json::Value;
use sillward_balancer::settings::{self, PlatformSettings};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The first descriptor that is not a standard stream.
const FIRST_DESCRIPTOR: i32 = 3;

/// A node's configuration, checked.
pub struct Config {
    /// The node's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators connect; nothing listens for them without it.
    pub admin: Option<SocketAddr>,
    /// Seed of random numbers, new with each start.
    pub seed: u64,
    limits: FileLimits,
    /// Most client connections.
    pub client_connections: usize,
    /// Most connections to backends.
    pub backend_connections: usize,
    /// Most bytes of request and response bodies in memory.
    pub body_bytes: usize,
    /// Memory for open requests beside their bodies, in bytes.
    pub request_bytes: usize,
    /// The endpoint list as this node last had it, in discovery's JSON. It may be stale.
    pub known_endpoints: Option<String>,
    /// The platform's settings.
    pub platform: PlatformSettings,
    /// The listening socket that this process was started with, where the platform replaces processes.
    pub listen_fd: Option<i32>,
    /// Where processes of this node find each other, where the platform replaces them.
    pub temp_dir: Option<PathBuf>,
    /// The file's content.
    content: Value,
}

/// An environment variable; `None` if it is not set or empty.
fn variable(name: &str) -> Option<OsString> {
    std::env::var_os(name).filter(|value| !value.is_empty())
}

impl Config {
    /// Loads the file that `PROXY_CONFIG` names. Of the other `PROXY_` variables only `PROXY_LISTEN_FD`, which is about the
    /// process, and `PROXY_ADMIN`, where the file has no `admin`, say more than the file.
    ///
    /// # Errors
    /// [`ConfigError`] with the file or the variable.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var_os("PROXY_CONFIG").ok_or(ConfigError::NoFile)?;
        let path = PathBuf::from(path);
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Read { path, source }),
        };
        let mut config = Config::parse(&text)?;
        if let Some(value) = variable("PROXY_LISTEN_FD") {
            let number = value.to_str().and_then(|number| number.parse().ok());
            let descriptor = number.filter(|number| *number >= FIRST_DESCRIPTOR);
            config.listen_fd = Some(descriptor.ok_or(ConfigError::ListenDescriptor)?);
        }
        if let (None, Some(value)) = (config.admin, variable("PROXY_ADMIN")) {
            let address = value.to_str().and_then(|address| address.parse().ok());
            config.admin = Some(address.ok_or(ConfigError::AdminAddress)?);
        }
        config.temp_dir = variable("TMPDIR").map(PathBuf::from);
        Ok(config)
    }

    /// Reads the content of a file.
    ///
    /// # Errors
    /// [`FileError`] with the key.
    pub fn parse(text: &str) -> Result<Self, FileError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let content = serde_json::from_str(text)?;
        let seed = match file.seed.as_str() {
            "" => 0,
            seed => u64::from_str_radix(seed, 16).map_err(FileError::Seed)?,
        };
        let platform = settings::parse(file.settings.get().as_bytes())?;
        check_names("Classes: a Name", &platform.class_names)?;
        check_names("Projects: a Name", &platform.tenant_names)?;
        check_names("Localities: a name", &platform.zone_names)?;
        let limits = ResourceLimits::new(&file.limits, file.admin.is_some())?;
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            admin: file.admin,
            seed,
            limits: file.limits,
            client_connections: limits.client_connections,
            backend_connections: limits.backend_connections,
            body_bytes: limits.body_bytes,
            request_bytes: limits.request_bytes,
            known_endpoints: file.known.map(|known| known.get().to_owned()),
            platform,
            listen_fd: None,
            temp_dir: None,
            content,
        })
    }

    /// The settings of a later configuration for a process that runs with `current`: all of them or none.
    ///
    /// # Errors
    /// [`ReloadError`] if it lacks keys that this one has, or names more than a process may know.
    pub fn reloaded_settings(
        &self,
        later: &Config,
        current: &PlatformSettings,
    ) -> Result<PlatformSettings, ReloadError> {
        let missing = required_keys::missing(&self.content, &later.content);
        if !missing.is_empty() {
            return Err(ReloadError::MissingKeys(missing));
        }
        Ok(later.platform.clone().merged_onto(current)?)
    }

    /// What differs in a later configuration and cannot change without a restart. The seed does not count: it is new with
    /// each start.
    pub fn restart_only_differences(&self, later: &Config) -> Vec<&'static str> {
        let fixed = [
            ("name", self.name != later.name),
            ("listen", self.listen != later.listen),
            ("admin", self.admin != later.admin),
            ("limits", self.limits != later.limits),
        ];
        let differing = fixed.into_iter().filter(|(_, differs)| *differs);
        differing.map(|(name, _)| name).collect()
    }
}

/// Checks that no name is empty or used twice: events refer to what it names by position.
fn check_names(key: &'static str, names: &[String]) -> Result<(), FileError> {
    for (position, name) in names.iter().enumerate() {
        if name.is_empty() || names[..position].contains(name) {
            return Err(FileError::Name {
                key,
                names: names.to_vec(),
            });
        }
    }
    Ok(())
}
