//! The timeouts of a pool.

use sillward_balancer::settings::PlatformSettings;
use std::time::Duration;

/// The timeouts of a pool.
#[derive(Clone, Copy)]
pub struct PoolTimeouts {
    /// How long an idle connection may be used.
    pub idle_timeout: Duration,
    /// A connection that is not established after this time has failed.
    pub connect_timeout: Duration,
    /// Nothing is sent to a backend so long after the notification that it is draining or removed.
    pub drain_grace: Duration,
}

impl PoolTimeouts {
    /// The timeouts of the settings.
    pub fn from_settings(platform: &PlatformSettings) -> Self {
        PoolTimeouts {
            // Less than the backend's own timeout: a request written just when the backend closes the connection
            // would end as a reset.
            idle_timeout: platform.server_idle_timeout * 3 / 4,
            connect_timeout: platform.settings.limits.connect_timeout,
            drain_grace: platform.settings.safety.drain_grace,
        }
    }
}
