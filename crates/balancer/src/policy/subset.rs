//! Deterministic subsetting: the number of ready servers that a node uses.

use super::context::Context;
use super::estimators::DecayedRate;

/// The most servers that are compared for a request.
const MAX_SUBSET: usize = 64;
/// Each server should be observed this many times per rate window, because a slow server that is rarely observed is not
/// recognised.
const OBSERVATIONS_PER_WINDOW: f64 = 3.0;
/// The number of servers for which a node with little traffic still counts as observing them often enough.
const MIN_OBSERVED_SERVERS: f64 = 6.0;
/// Servers in addition to one for each concurrent request, so that there is a choice.
const SPARE_SERVERS: f64 = 2.0;
/// The connections of all nodes together may cost at most this fraction of the service objective.
const CONNECTION_BUDGET: f64 = 0.01;
/// The penalty for connections is defined for this many open connections per server.
const PENALTY_CONNECTIONS_PER_SERVER: f64 = 100.0;

/// The number of servers in the subset: as many as this node's traffic observes often enough and as the fleet's budget for
/// connections allows, but at least one for each concurrent request plus [`SPARE_SERVERS`].
pub(super) fn size(context: &Context<'_>, ready_servers: usize, sent: &DecayedRate) -> usize {
    let settings = context.settings;
    let affordable =
        PENALTY_CONNECTIONS_PER_SERVER * CONNECTION_BUDGET / settings.penalties.connections;
    let affordable_per_node = affordable * ready_servers as f64 / f64::from(settings.nodes);
    let window_s = context.rate_window_s();
    let rate = sent.per_second(context.now, window_s);
    // Health checks are observations in addition to this node's traffic.
    let observations = OBSERVATIONS_PER_WINDOW
        / if context.load_by_health_check() {
            2.0
        } else {
            1.0
        };
    let observable_servers =
        (rate * window_s).max(MIN_OBSERVED_SERVERS * OBSERVATIONS_PER_WINDOW) / observations;
    let concurrent = rate * context.mean_latency_s;
    let size = affordable_per_node
        .min(observable_servers)
        .max(SPARE_SERVERS + concurrent);
    (size as usize).min(MAX_SUBSET)
}
