//! The fields of a load report, as settings and reports name them.

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
    /// Fraction of the processors in use.
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
    /// The field of that name in a report header or a health check's body: the name in the settings or the protocol's.
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

    /// Sets this field of a report. A value that is not finite leaves it out.
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
