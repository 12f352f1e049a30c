//! Load reports as text, whichever protocol carries them.

use crate::LiveSettings;
use sillward_balancer::settings::ReportField;
use sillward_balancer::{LoadReport, ReportSource};
use std::rc::Rc;

/// Which load reports a site has, and from where.
#[derive(Clone)]
pub struct LoadReportParser(Rc<LiveSettings>);

impl LoadReportParser {
    pub fn new(live: Rc<LiveSettings>) -> Self {
        LoadReportParser(live)
    }

    /// Whether backends report their load at all.
    pub fn is_enabled(&self) -> bool {
        self.0.get().settings.reports != ReportSource::None
    }

    /// Reads `inflight=7,queue=2`; `None` unless all of it reads as told.
    pub fn parse(&self, text: &str) -> Option<LoadReport> {
        let (mut report, site) = (LoadReport::default(), self.0.get());
        for field in text.trim().split(',') {
            let (name, value) = field.split_once('=')?;
            let column = ReportField::from_report_name(name.trim());
            let value: f32 = value
                .trim()
                .parse()
                .ok()
                .filter(|v: &f32| v.is_finite() && *v >= 0.0)?;
            if site.report_fields.contains(&column) {
                column.set(&mut report, value);
            }
        }
        Some(report)
    }
}
