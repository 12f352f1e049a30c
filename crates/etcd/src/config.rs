//! The configuration of the etcd source.

use std::net::SocketAddr;
use std::time::Duration;

/// The etcd cluster and the keys that hold endpoints.
#[derive(Clone, Debug)]
pub struct EtcdConfig {
    /// The addresses of the etcd members, connected to in turn; at least one.
    pub endpoints: Vec<SocketAddr>,
    /// The prefix of the keys that hold endpoints.
    pub prefix: String,
    /// The credentials, if etcd requires authentication.
    pub credentials: Option<Credentials>,
    /// Timeouts, backoff and intervals.
    pub timeouts: Timeouts,
}

/// An etcd user and password.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// The user's name.
    pub user: String,
    /// The user's password.
    pub password: String,
}

/// The timeouts, backoff and intervals of the etcd source.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeouts {
    /// The timeout for opening a connection, and for authentication. Default 2 s.
    pub connect: Duration,
    /// The timeout for reading a page of the list, and for any response on a watch, independent of the state of the TCP
    /// connection. Progress is requested twice within this time. Default 6 s.
    pub keep_alive: Duration,
    /// The initial backoff between connection attempts; it doubles with each attempt, with jitter. Default 100 ms.
    pub initial_backoff: Duration,
    /// The maximum backoff. Default 5 s.
    pub max_backoff: Duration,
    /// The interval at which the complete list is read again while a watch is open. Nothing else reveals that etcd was
    /// restored from a backup and has since reached the known revision again. Default 10 min.
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
