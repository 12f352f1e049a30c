//! Load reports of servers.

/// A server's report of its load. Reports are late and noisy; a field that the server does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f32>,
    /// Requests waiting in the server's queue.
    pub queue: Option<f32>,
    /// Processor utilisation, from 0 to 1.
    pub utilisation: Option<f32>,
    /// Recent service time in milliseconds.
    pub latency_ms: Option<f32>,
    /// Requests served per second.
    pub throughput: Option<f32>,
    /// Errors per second.
    pub errors: Option<f32>,
}
