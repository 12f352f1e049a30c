//! The timeouts of a pool.

use sillward_balancer::settings::PlatformSettings;
use std::time::Duration;

/// The timeouts of a pool.
#[derive(Clone, Copy)]
pub struct PoolTimeouts {
    /// How long a connection may have been idle and still be reused.
    pub idle_timeout: Duration,
    /// The time after which a dial has failed.
    pub connect_timeout: Duration,
    /// How long requests may still be sent to a backend after the notification that it is draining or removed.
    pub drain_grace: Duration,
}

impl PoolTimeouts {
    /// Derives the timeouts from the settings.
    pub fn from_settings(platform: &PlatformSettings) -> Self {
        PoolTimeouts {
            // Less than the backend's own timeout, since a request that is written as the backend closes the connection
            // ends in a reset.
            idle_timeout: platform.server_idle_timeout * 3 / 4,
            connect_timeout: platform.settings.limits.connect_timeout,
            drain_grace: platform.settings.safety.drain_grace,
        }
    }
}
