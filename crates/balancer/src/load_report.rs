//! What a server reports of its own load.

/// A server's report of its load. Reports are late and noisy; a field that the server does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f32>,
    /// Requests waiting in its queue.
    pub queue: Option<f32>,
    /// Fraction of its processors in use, from 0 to 1.
    pub utilisation: Option<f32>,
    /// Recent service time in milliseconds.
    pub latency_ms: Option<f32>,
    /// Requests served per second.
    pub throughput: Option<f32>,
    /// Errors per second.
    pub errors: Option<f32>,
}
