//! What judgements about single servers and requests depend on besides these.

use crate::settings::{ReportSource, Settings};
use std::time::Duration;

/// Rates are averaged over this multiple of the time within which a warming server is judged.
const RATE_WINDOWS: f64 = 3.0;
/// A load report is recent for this fraction of the mean latency: by then the queue has moved on.
const RECENT_REPORT: f64 = 1.0 / 4.0;

/// The present moment, the settings, and the mean latency.
#[derive(Clone, Copy)]
pub(super) struct Context<'a> {
    pub(super) now: Duration,
    pub(super) settings: &'a Settings,
    /// Mean latency of served attempts, in seconds.
    pub(super) mean_latency_s: f64,
}

impl Context<'_> {
    /// Whether load is known from health checks, and from nothing else.
    pub(super) fn load_by_health_check(&self) -> bool {
        self.settings.reports == ReportSource::HealthChecks && self.settings.limits.health_checks
    }

    /// Whether a load report from that time is still of use.
    pub(super) fn is_recent(&self, reported_at: Duration) -> bool {
        (self.now - reported_at).as_secs_f64() <= self.mean_latency_s * RECENT_REPORT
    }

    /// The decay time of rates, in seconds.
    pub(super) fn rate_window_s(&self) -> f64 {
        let window = self.settings.safety.overload_window;
        RATE_WINDOWS * window.as_secs_f64().max(1e-3)
    }
}
