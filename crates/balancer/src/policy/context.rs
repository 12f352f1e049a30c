//! The state that policies need to evaluate a server or a request: the time, the settings and the mean latency.

use crate::settings::{ReportSource, Settings};
use std::time::Duration;

/// Rates are averaged over this multiple of the overload window.
const RATE_WINDOW_FACTOR: f64 = 3.0;
/// A load report is recent for this fraction of the mean latency; after that the server's queue has changed.
const RECENT_REPORT_FRACTION: f64 = 1.0 / 4.0;

/// The current time, the settings and the mean latency.
#[derive(Clone, Copy)]
pub(super) struct Context<'a> {
    pub(super) now: Duration,
    pub(super) settings: &'a Settings,
    /// Mean latency of served attempts, in seconds.
    pub(super) mean_latency_s: f64,
}

impl Context<'_> {
    /// Whether health checks are the only source of load reports.
    pub(super) fn load_by_health_check(&self) -> bool {
        self.settings.reports == ReportSource::HealthChecks && self.settings.limits.health_checks
    }

    /// Whether a load report of that time is still recent.
    pub(super) fn is_recent(&self, reported_at: Duration) -> bool {
        (self.now - reported_at).as_secs_f64() <= self.mean_latency_s * RECENT_REPORT_FRACTION
    }

    /// The decay time of rates, in seconds.
    pub(super) fn rate_window_s(&self) -> f64 {
        let window = self.settings.safety.overload_window;
        RATE_WINDOW_FACTOR * window.as_secs_f64().max(1e-3)
    }
}
