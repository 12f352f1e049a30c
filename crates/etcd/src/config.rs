//! The configuration of the etcd source.

use std::net::SocketAddr;
use std::time::Duration;

/// Which keys of which etcd are endpoints.
#[derive(Clone, Debug)]
pub struct EtcdConfig {
    /// Addresses of etcd's members, tried in turn; at least one.
    pub endpoints: Vec<SocketAddr>,
    /// The prefix of the keys.
    pub prefix: String,
    /// Where etcd has authentication enabled.
    pub credentials: Option<Credentials>,
    /// Bounds in time.
    pub timeouts: Timeouts,
}

/// A user of etcd.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// The user's name.
    pub user: String,
    /// The user's password.
    pub password: String,
}

/// Bounds in time of the etcd source.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeouts {
    /// For a connection to open, and for authentication. Default 2 s.
    pub connect: Duration,
    /// For a page of the list, and for anything to come on a watch, whatever TCP reports. Progress is requested twice in
    /// that time. Default 6 s.
    pub keep_alive: Duration,
    /// The first backoff between two attempts; each is twice the last, with jitter. Default 100 ms.
    pub initial_backoff: Duration,
    /// The longest backoff. Default 5 s.
    pub max_backoff: Duration,
    /// How often the complete list is read though a watch runs: nothing else shows an etcd that was restored from a
    /// backup and has caught up. Default 10 min.
    pub resync_interval: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            connect: Duration::from_secs(2),
            keep_alive: Duration::from_secs(6),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(5),
            resync_interval: Duration::from_secs(600),
        }
    }
}
