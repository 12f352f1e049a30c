//! The fields of a load report, and their names in settings and in reports.

use crate::load_report::LoadReport;
use serde::Deserialize;

/// A field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ReportField {
    /// Requests in flight.
    #[serde(rename = "concurrent")]
    InFlight,
    /// Requests waiting in the queue.
    #[serde(rename = "depth")]
    Queue,
    /// Processor utilisation, from 0 to 1.
    #[serde(rename = "load_share")]
    Utilisation,
    /// Recent service time in milliseconds.
    #[serde(rename = "mean_ms")]
    LatencyMs,
    /// Requests served per second.
    #[serde(rename = "tps")]
    Throughput,
    /// Errors per second.
    #[serde(rename = "err_ps")]
    Errors,
    /// A field that this version does not know.
    #[serde(other)]
    Unknown,
}

impl ReportField {
    /// The field with that name in a report header or the body of a health check. Both the names used in the settings and
    /// those of the report protocol are accepted.
    pub fn from_report_name(name: &str) -> Self {
        match name {
            "concurrent" | "inflight" => ReportField::InFlight,
            "depth" | "queue" => ReportField::Queue,
            "load_share" | "util" => ReportField::Utilisation,
            "mean_ms" | "latency_ms" => ReportField::LatencyMs,
            "tps" | "qps" => ReportField::Throughput,
            "err_ps" | "eps" => ReportField::Errors,
            _ => ReportField::Unknown,
        }
    }

    /// Sets this field of a report. A value that is not finite clears it.
    pub fn set(self, report: &mut LoadReport, value: f32) {
        let field = match self {
            ReportField::InFlight => &mut report.in_flight,
            ReportField::Queue => &mut report.queue,
            ReportField::Utilisation => &mut report.utilisation,
            ReportField::LatencyMs => &mut report.latency_ms,
            ReportField::Throughput => &mut report.throughput,
            ReportField::Errors => &mut report.errors,
            ReportField::Unknown => return,
        };
        *field = value.is_finite().then_some(value);
    }
}
