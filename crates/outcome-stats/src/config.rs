//! Times and bounds.

use std::time::Duration;

/// A bug that tests inject to see that their checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Reports count the same however old they are.
    IgnoreAge,
    /// The reports of a node's incarnations are added up as if they covered the same time.
    DoubleCountRestarts,
    /// A node's report counts in full, whatever the others report.
    NoShareCap,
}

/// Times and bounds.
#[derive(Clone, Debug)]
pub struct StatsConfig {
    /// The length of a window.
    pub window: Duration,
    /// Windows in a report.
    pub windows_per_report: usize,
    /// The most bytes a second that a node sends, and that it requests.
    pub bytes_per_second: f64,
    /// The shortest time between two requests.
    pub min_request_interval: Duration,
    /// The number of nodes to pull from in rotation.
    pub rotation_size: usize,
    /// A report of this age counts no more.
    pub max_report_age: Duration,
    /// The most members of the fleet.
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
