//! Server selection: filters the eligible servers by health and then by concurrency, and applies Join-Up-To(m) to the rest.

use super::concurrency::{self, ConcurrencyGate};
use super::context::Context;
use super::join_up_to::JoinUpTo;
use super::outlier;
use super::random;
use super::request::Request;
use super::server::Server;
use crate::ids::ServerId;
use crate::settings::Idempotency;

/// The random numbers of one dispatch, both in [0, 1).
#[derive(Clone, Copy, Debug)]
pub(super) struct Draws {
    /// For admission and trial requests.
    pub(super) admission: f64,
    /// For breaking ties and random picks.
    pub(super) choice: f64,
}

/// The result of a selection.
#[derive(Debug)]
pub(super) enum Selection {
    /// This server has the lowest estimate below the cap.
    BelowCap(ServerId),
    /// All candidates have reached the cap: the servers that the concurrency gate admits and whose concurrency is not above
    /// the average.
    AtCap {
        /// One of them, picked at random.
        fallback: ServerId,
        /// Servers whose load a health check could find out.
        unknown_load: Vec<ServerId>,
    },
    /// All servers are overloaded: the concurrency gate admits none of them.
    Overloaded {
        /// Servers whose load a health check could find out.
        unknown_load: Vec<ServerId>,
        /// Whether the concurrency level of any of them is unexplored.
        unexplored: bool,
    },
}

/// The policies that a selection applies.
pub(super) struct Selector<'a> {
    pub(super) context: Context<'a>,
    pub(super) gate: &'a ConcurrencyGate,
    pub(super) join_up_to: &'a JoinUpTo,
    /// Whether the request may wait for health checks and is not waiting for any yet.
    pub(super) may_check_health: bool,
}

impl Selector<'_> {
    /// Selects among the eligible servers, of which there is at least one.
    pub(super) fn select(
        &self,
        request: &Request,
        eligible: Vec<&Server>,
        draws: Draws,
    ) -> Selection {
        let preferred = self.preferred_by_health(request, eligible, draws);
        let admitted: Vec<_> = preferred
            .iter()
            .copied()
            .filter(|s| self.admits(s, request, draws))
            .collect();
        let candidates = self.at_or_below_average_concurrency(admitted);
        if let Some(server) = self
            .join_up_to
            .choose(&self.context, &candidates, draws.choice)
        {
            return Selection::BelowCap(server);
        }
        let unknown_load = self.unknown_load(&preferred);
        match random::pick(&candidates, draws.choice) {
            Some(server) => Selection::AtCap {
                fallback: server.endpoint.id,
                unknown_load,
            },
            None => Selection::Overloaded {
                unknown_load,
                unexplored: preferred.iter().any(|s| self.is_unexplored(s)),
            },
        }
    }

    /// For a trial request, the ejected servers that are due for one, if any. Otherwise the servers that are not ejected, or
    /// all servers if all are ejected.
    fn preferred_by_health<'s>(
        &self,
        request: &Request,
        eligible: Vec<&'s Server>,
        draws: Draws,
    ) -> Vec<&'s Server> {
        let can_be_retried = request.idempotency != Idempotency::NonIdempotent;
        let trial = !request.was_attempted() && outlier::is_trial(draws.admission, can_be_retried);
        if trial {
            let now = self.context.now;
            let is_due = |s: &&Server| s.health.is_due_for_trial(now) && s.in_flight == 0;
            let due: Vec<_> = eligible.iter().copied().filter(is_due).collect();
            if !due.is_empty() {
                return due;
            }
        }
        let not_ejected: Vec<_> = eligible
            .iter()
            .copied()
            .filter(|s| !s.health.is_ejected())
            .collect();
        if not_ejected.is_empty() {
            eligible
        } else {
            not_ejected
        }
    }

    fn level(&self, server: &Server) -> usize {
        concurrency::level(server.concurrency(&self.context))
    }

    fn admits(&self, server: &Server, request: &Request, draws: Draws) -> bool {
        let none_in_flight = server.in_flight == 0;
        let level = self.level(server);
        self.gate
            .admits(level, none_in_flight, request.priority, draws.admission)
    }

    fn is_unexplored(&self, server: &Server) -> bool {
        self.gate.is_unexplored(self.level(server))
    }

    /// Servers whose load a health check could find out; empty if no health check may be sent.
    fn unknown_load(&self, servers: &[&Server]) -> Vec<ServerId> {
        if !self.may_check_health {
            return Vec::new();
        }
        let unknown = servers.iter().filter(|s| self.needs_health_check(s));
        unknown.map(|s| s.endpoint.id).collect()
    }

    /// Whether a health check of the server would be useful. A health check costs a server as much as a request, so the
    /// capacity of a warming server is left to requests.
    fn needs_health_check(&self, server: &Server) -> bool {
        !server.health_check_pending
            && !server.is_warming(&self.context)
            && server.recent_load(&self.context).is_none()
    }

    /// The servers whose concurrency is not above the average.
    fn at_or_below_average_concurrency<'s>(&self, servers: Vec<&'s Server>) -> Vec<&'s Server> {
        let concurrency: Vec<_> = servers
            .iter()
            .map(|s| s.concurrency(&self.context))
            .collect();
        let average = concurrency.iter().sum::<f64>() / servers.len() as f64 + 1e-9;
        let pairs = servers.into_iter().zip(concurrency);
        pairs
            .filter(|(_, concurrency)| *concurrency <= average)
            .map(|(server, _)| server)
            .collect()
    }
}
