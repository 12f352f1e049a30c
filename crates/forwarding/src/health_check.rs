//! Results of health checks.

use sillward_balancer::{LoadReport, Outcome, ServerId};
use std::time::Duration;

/// A backend's reply to a health check.
pub struct HealthCheckResponse {
    /// How the check ended.
    pub outcome: Outcome,
    /// The load that the backend reported, if it did.
    pub report: Option<LoadReport>,
}

impl From<Outcome> for HealthCheckResponse {
    fn from(outcome: Outcome) -> Self {
        HealthCheckResponse {
            outcome,
            report: None,
        }
    }
}

/// A health check that has ended, as the node is notified of it.
pub struct HealthCheckResult {
    /// The backend.
    pub server: ServerId,
    /// How the check ended.
    pub outcome: Outcome,
    /// When it was sent.
    pub sent_at: Duration,
    /// The load that the backend reported, if it did.
    pub report: Option<LoadReport>,
}
