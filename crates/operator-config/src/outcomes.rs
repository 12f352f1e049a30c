//! The table `[outcomes]`.

use crate::reader::Section;
use sillward_outcome_stats::StatsConfig;
use std::time::Duration;

pub fn read(section: &Section<'_>) -> StatsConfig {
    let usual = StatsConfig::default();
    let ms = |name, least, most, usual: Duration| {
        section
            .number(name, least, most)
            .map_or(usual, |ms| Duration::from_millis(ms as u64))
    };
    let terms = StatsConfig {
        window: ms("window_ms", 200, 10_000, usual.window),
        windows_per_report: section
            .number("windows", 1, 30)
            .map_or(usual.windows_per_report, |n| n as usize),
        bytes_per_second: section
            .number("bytes_a_second", 2_000, 1_000_000)
            .map_or(usual.bytes_per_second, |n| n as f64),
        max_report_age: ms("oldest_ms", 10_000, 600_000, usual.max_report_age),
        ..usual
    };
    if terms.max_report_age < 10 * terms.window {
        section.fault(
            "oldest_ms",
            "must be ten times window_ms at least: a word would be too old before all know it",
        );
    }
    terms
}
