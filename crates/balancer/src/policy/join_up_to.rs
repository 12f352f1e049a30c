//! Join-Up-To(m): selects the server with the lowest estimate below the cap m, breaking ties at random.
//!
//! A server's estimate is the number of attempts that this node sent to it since its last idle signal. A load report with
//! no requests in flight serves as the paper's idle signal. The cap is that of the paper's Theorem 6 for exponential job
//! sizes, with this node's sends per idle signal in place of lambda / delta, and the fraction of load reports that were not
//! idle in place of lambda.

use super::context::Context;
use super::estimators::{Ewma, SMOOTHING};
use super::random;
use super::server::{ReportedLoad, Server};
use crate::ids::ServerId;

/// The counts of sends and idle signals decay by this factor with each send.
const DECAY_PER_SEND: f64 = 0.998;
/// A reported number of requests in flight below this counts as idle, because reports are noisy.
const IDLE_LOAD: f64 = 0.5;
/// The weight of a report in the busy fraction.
const BUSY_WEIGHT: f64 = SMOOTHING / 8.0;

/// The statistics from which the cap is computed.
#[derive(Debug)]
pub(super) struct JoinUpTo {
    /// Attempts sent by this node, decayed.
    sends: f64,
    /// Idle signals that lowered an estimate, decayed.
    idle_signals: f64,
    /// Fraction of load reports that were not idle.
    busy: Ewma,
}

impl JoinUpTo {
    pub(super) fn new() -> Self {
        JoinUpTo {
            sends: 1.0,
            idle_signals: 1.0,
            busy: Ewma::new(0.5),
        }
    }

    /// Fraction of load reports that were not idle.
    pub(super) fn busy_fraction(&self) -> f64 {
        self.busy.value()
    }

    pub(super) fn on_send(&mut self) {
        self.sends = self.sends * DECAY_PER_SEND + 1.0;
        self.idle_signals *= DECAY_PER_SEND;
    }

    /// Records a server's reported load. It is an idle signal if it reports no requests in flight and came with a served
    /// response or health check: a server that fails fast looks idle too. The signal is out of date if attempts of this node
    /// are in flight; these remain in the estimate.
    pub(super) fn on_load_report(&mut self, server: &mut Server, load: ReportedLoad, served: bool) {
        let idle = load.in_flight < IDLE_LOAD;
        self.busy.observe(if idle { 0.0 } else { 1.0 }, BUSY_WEIGHT);
        server.reported_load = Some(load);
        if !idle || !served {
            return;
        }
        if server.sends_since_idle > server.in_flight {
            self.idle_signals += 1.0;
        }
        server.sends_since_idle = server.sends_since_idle.min(server.in_flight);
        server.idle_at = Some(load.at);
    }

    /// The cap m, at least 1. A server whose estimate reaches it is no longer preferred.
    pub(super) fn cap(&self) -> u32 {
        let sends_per_signal = self.sends / self.idle_signals;
        let busy = self.busy.value();
        let half = 0.5 + sends_per_signal * (1.0 - busy) / busy.max(SMOOTHING);
        let best = ((half * half + 2.0 * sends_per_signal).sqrt() - half).ceil();
        best.min(sends_per_signal.floor()).max(1.0) as u32
    }

    /// The server with the lowest estimate strictly below the cap; `draw`, in [0, 1), breaks ties.
    pub(super) fn choose(
        &self,
        context: &Context<'_>,
        candidates: &[&Server],
        draw: f64,
    ) -> Option<ServerId> {
        let cap = self.cap();
        let estimates: Vec<_> = candidates
            .iter()
            .map(|s| estimate(context, s, cap))
            .collect();
        let lowest = *estimates.iter().min().filter(|e| **e < cap)?;
        let lowest_servers = candidates
            .iter()
            .zip(estimates)
            .filter(|(_, e)| *e == lowest);
        let ties: Vec<_> = lowest_servers
            .map(|(server, _)| server.endpoint.id)
            .collect();
        random::pick(&ties, draw)
    }
}

/// A server's estimate: attempts that this node sent to it since its last idle signal. If idle signals come only from
/// health checks and there are other nodes, a signal expires once other nodes may have sent to the server. A warming server
/// gets no health checks; instead its permit counts as an idle signal, because it is this node's share of what all nodes
/// may send there.
fn estimate(context: &Context<'_>, server: &Server, cap: u32) -> u32 {
    let signals_expire = context.load_by_health_check() && context.settings.nodes > 1;
    if !signals_expire {
        return server.sends_since_idle;
    }
    if server.is_warming(context) {
        return server.in_flight;
    }
    match server.idle_at {
        Some(at) if context.is_recent(at) => server.sends_since_idle,
        _ => cap,
    }
}
