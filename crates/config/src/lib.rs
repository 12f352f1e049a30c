//! What a node is told at its start: the file that `PROXY_CONFIG` names.
#![forbid(unsafe_code)]

use hillpick::settings::{self, Site};
use serde::Deserialize;
use serde_json::value::RawValue;
use sillward_core::READ_BUFFER;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Descriptors for all but connections: standard streams, listener, runtime, discovery, dials that end.
const SPARE_SOCKETS: usize = 48;
/// And beside these, for operators: their listener and callers.
const ADMIN_SOCKETS: usize = 33;
/// What the program takes by itself, its code, tables and queues: several times what is measured.
const OWN_BYTES: usize = 8 << 20;
/// What a connection may take: hyper's buffers either way, and its tasks.
const CONNECTION_BYTES: usize = READ_BUFFER + 8 * 1024;
/// Room for bodies at the least.
const LEAST_BODY_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    admin: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<Box<RawValue>>,
    settings: Box<RawValue>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192.0 }
    }
}

/// A node's configuration, checked.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call; nothing listens for them without it.
    pub admin: Option<SocketAddr>,
    pub seed: u64,
    limits: Limits,
    /// The most client connections, and the most connections to backends.
    pub client_connections: usize,
    pub backend_connections: usize,
    /// The most bytes of bodies, requests' and answers' together, at once.
    pub body_bytes: usize,
    /// The list of backends as this node last had it: discovery's JSON, perhaps old.
    pub known: Option<String>,
    pub site: Site,
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names. The other `PROXY_` variables say nothing that it does not;
    /// `PROXY_ADMIN` is read where the file has no `admin`.
    pub fn from_env() -> Result<Self, String> {
        let path = std::env::var_os("PROXY_CONFIG").ok_or("bad configuration: PROXY_CONFIG is not set")?;
        let path = PathBuf::from(path);
        let text = std::fs::read_to_string(&path)
            .map_err(|e| format!("bad configuration: cannot read {}: {e}", path.display()))?;
        let mut config = Config::parse(&text).map_err(|what| format!("bad configuration: {what}"))?;
        if let (None, Some(admin)) = (config.admin, std::env::var_os("PROXY_ADMIN").filter(|v| !v.is_empty()))
        {
            let admin = admin.to_str().and_then(|admin| admin.parse().ok());
            config.admin = Some(admin.ok_or("bad configuration: PROXY_ADMIN is no address with a port")?);
        }
        Ok(config)
    }

    pub fn parse(text: &str) -> Result<Self, String> {
        let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let seed = match file.seed.as_str() {
            "" => 0,
            seed => u64::from_str_radix(seed, 16).map_err(|e| format!("seed: {e}"))?,
        };
        let site = settings::parse(file.settings.get().as_bytes())?;
        // Two numbers would mean the same class or tenant if a name stood twice.
        for names in [&site.class_names, &site.tenant_names, &site.zone_names] {
            if names.iter().enumerate().any(|(i, name)| name.is_empty() || names[..i].contains(name)) {
                return Err(format!("a name is empty or stands twice in {names:?}"));
            }
        }
        let free = ((file.limits.memory_mb * f64::from(1 << 20)) as usize).saturating_sub(OWN_BYTES);
        let spare = SPARE_SOCKETS + file.admin.map_or(0, |_| ADMIN_SOCKETS);
        let connections = file.limits.sockets.saturating_sub(spare);
        if connections < 2 {
            return Err(format!("{} sockets are too few: {spare} and 2 at least", file.limits.sockets));
        }
        // Half of the memory at most is for connections; a quarter of the rest is left for chance.
        let connections = connections.min(free / 2 / CONNECTION_BYTES).max(2);
        let body_bytes = (free.saturating_sub(connections * CONNECTION_BYTES) / 4 * 3).max(LEAST_BODY_BYTES);
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            admin: file.admin,
            seed,
            limits: file.limits,
            client_connections: connections / 2,
            backend_connections: connections - connections / 2,
            body_bytes,
            known: file.known.map(|known| known.get().to_owned()),
            site,
        })
    }

    /// What differs in a later configuration and can't change in a node that runs. The seed is none of it:
    /// it is new with each start.
    pub fn fixed_that_differ(&self, later: &Config) -> Vec<&'static str> {
        let fixed = [
            ("name", self.name != later.name),
            ("listen", self.listen != later.listen),
            ("admin", self.admin != later.admin),
            ("limits", self.limits != later.limits),
            ("settings", self.site != later.site),
        ];
        fixed.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}
