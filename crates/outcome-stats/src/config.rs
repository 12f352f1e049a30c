//! Settings of the exchange and the estimates.

use std::time::Duration;

/// A bug that tests inject to verify that their checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Reports have full weight whatever their age.
    IgnoreAge,
    /// The reports of a node's incarnations are added up as if they covered the same time.
    DoubleCountRestarts,
    /// The share of a node in an estimate is not capped.
    NoShareCap,
}

/// Settings of the exchange and the estimates.
#[derive(Clone, Debug)]
pub struct StatsConfig {
    /// The length of a window.
    pub window: Duration,
    /// The number of windows in a report.
    pub windows_per_report: usize,
    /// The maximum byte rate that a node sends, and the maximum that it requests, per second.
    pub bytes_per_second: f64,
    /// The shortest time between two requests.
    pub min_request_interval: Duration,
    /// The number of nodes to pull from in rotation.
    pub rotation_size: usize,
    /// The age from which a report is no longer used.
    pub max_report_age: Duration,
    /// The maximum number of members of the fleet.
    pub max_members: usize,
    /// An injected bug.
    pub injected_bug: Option<InjectedBug>,
}

impl Default for StatsConfig {
    fn default() -> Self {
        StatsConfig {
            window: Duration::from_secs(1),
            windows_per_report: 5,
            bytes_per_second: 10_000.0,
            min_request_interval: Duration::from_millis(150),
            rotation_size: 4,
            max_report_age: Duration::from_secs(60),
            max_members: 2048,
            injected_bug: None,
        }
    }
}
