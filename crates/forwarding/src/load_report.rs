//! The text format of load reports, which all protocols share.

use crate::LiveSettings;
use sillward_balancer::settings::ReportField;
use sillward_balancer::{LoadReport, ReportSource};
use std::rc::Rc;

/// Parses load reports according to the current settings.
#[derive(Clone)]
pub struct LoadReportParser(Rc<LiveSettings>);

impl LoadReportParser {
    /// A parser that always uses the current value of `settings`.
    pub fn new(settings: Rc<LiveSettings>) -> Self {
        LoadReportParser(settings)
    }

    /// Whether the settings expect load reports from backends.
    pub fn is_enabled(&self) -> bool {
        self.0.get().settings.reports != ReportSource::None
    }

    /// Parses text such as `inflight=7,queue=2`; `None` if any part of it is malformed.
    pub fn parse(&self, text: &str) -> Option<LoadReport> {
        let settings = self.0.get();
        let mut report = LoadReport::default();
        for part in text.trim().split(',') {
            let (name, value) = part.split_once('=')?;
            let field = ReportField::from_report_name(name.trim());
            let value = parse_value(value.trim())?;
            if settings.report_fields.contains(&field) {
                field.set(&mut report, value);
            }
        }
        Some(report)
    }
}

fn parse_value(text: &str) -> Option<f32> {
    let value: f32 = text.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}
