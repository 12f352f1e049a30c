//! Deterministic subsetting: how many of the ready servers a node chooses among.

use super::context::Context;
use super::estimators::DecayedRate;

/// No more servers than this are compared for a request.
const MAX_SUBSET: usize = 64;
/// A server is to be seen this often within the window of rates; servers seen seldom are never known to be slow.
const SIGHTINGS: f64 = 3.0;
/// Servers that a node with little traffic uses all the same.
const MIN_IN_VIEW: f64 = 6.0;
/// Servers beside one for each concurrent request, so that there is a choice.
const SPARE_SERVERS: f64 = 2.0;
/// The fraction of the service that open connections of all nodes together may cost.
const CONNECTION_BUDGET: f64 = 0.01;
/// The penalty for connections is stated for this many open connections per server.
const PRICED_CONNECTIONS: f64 = 100.0;

/// The number of servers to choose among: those that own traffic keeps in view and whose connections the fleet can afford,
/// but one for each concurrent request and two more.
pub(super) fn size(context: &Context<'_>, ready_servers: usize, sent: &DecayedRate) -> usize {
    let settings = context.settings;
    let affordable = PRICED_CONNECTIONS * CONNECTION_BUDGET / settings.penalties.connections;
    let affordable_part = affordable * ready_servers as f64 / f64::from(settings.nodes);
    let window_s = context.rate_window_s();
    let rate = sent.per_second(context.now, window_s);
    // Health checks see a server besides own traffic.
    let sightings = SIGHTINGS
        / if context.load_by_health_check() {
            2.0
        } else {
            1.0
        };
    let in_view = (rate * window_s).max(MIN_IN_VIEW * SIGHTINGS) / sightings;
    let concurrent = rate * context.mean_latency_s;
    let size = affordable_part.min(in_view).max(SPARE_SERVERS + concurrent);
    (size as usize).min(MAX_SUBSET)
}
