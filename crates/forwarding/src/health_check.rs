//! Results of health checks.

use sillward_balancer::{LoadReport, Outcome, ServerId};
use std::time::Duration;

/// A backend's response to a health check.
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

/// The result of a health check, as sent to the node.
pub struct HealthCheckResult {
    /// The backend that was checked.
    pub server: ServerId,
    /// How the check ended.
    pub outcome: Outcome,
    /// When the health check was sent.
    pub sent_at: Duration,
    /// The load that the backend reported, if it did.
    pub report: Option<LoadReport>,
}
