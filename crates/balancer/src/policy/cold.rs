//! Rule 4: how much a server that has just started may be sent.

use super::*;

impl Balancer {
    /// The share of its capacity that a server has for certain.
    pub(super) fn warmth(&self, server: &Server) -> f64 {
        let rules = &self.settings.safety;
        let Some(started) = server.entry.started_at else {
            return 1.0;
        };
        let age = self.now.saturating_sub(started).as_secs_f64();
        let grown = age / rules.slow_start_window.as_secs_f64().max(1e-6);
        (rules.slow_start_capacity + (1.0 - rules.slow_start_capacity) * grown).min(1.0)
    }

    /// Rule 4: a cold server is sent a request for a permit, which comes at even times from a first
    /// one by chance, and lasts for a short time. All nodes' answers from a warm server add up to
    /// less than its capacity, so permits at a multiple of own answers from one add up to less than
    /// that multiple of it, whatever part of the traffic each node sees. What hundreds of quiet
    /// nodes save up could be spent in one burst, so no more is saved than the rest of the bound
    /// holds.
    pub(super) fn draw_permits(&mut self) {
        let (rules, now) = (self.settings.safety, self.now);
        let cold = |id: &ServerId| self.servers.get(id).is_some_and(|s| self.warmth(s) < 1.0);
        let cold: Vec<_> = self.ring().take(2 * self.enough()).filter(cold).collect();
        if cold.is_empty() {
            return;
        }
        let part = self
            .carried_by_warm()
            .unwrap_or_else(|| self.part_of_arrivals());
        for id in cold {
            let capacity = rules.overload_factor * self.warmth(&self.servers[&id]);
            let rate = capacity * part * self.cold_spend(capacity * part);
            let chance = self.random();
            let Some(server) = self.servers.get_mut(&id) else {
                continue;
            };
            // One that was just listed is somewhere between two permits.
            let drawn = server.drawn.map_or(chance, |(at, drawn)| {
                drawn + rate * (now - at).as_secs_f64()
            });
            server.drawn = Some((now, drawn.fract()));
            let came = Duration::from_secs_f64((drawn.fract() / rate.max(1e-9)).min(1e6));
            let lasts = rules.overload_window.mul_f64(COLD_SAVED);
            if drawn >= 1.0 && came < lasts {
                server.permit = now + lasts - came;
            }
        }
    }

    /// The part of what the cold rule allows that all nodes together aim at, `own` being this
    /// node's part of it a second. The rule puts 2 root of N + 2 calls down to chance: the aim lies
    /// six of its own roots of variance below that bound. Nodes know nothing of each other's
    /// permits: where each has less than one in the judged time, they add up to a Poisson count; a
    /// node with more is one permit off at the most.
    fn cold_spend(&self, own: f64) -> f64 {
        let sharing =
            f64::from(self.settings.nodes) * self.enough() as f64 / self.order.len().max(1) as f64;
        let sharing = sharing.max(1.0);
        let allowed = own * sharing * self.settings.safety.overload_window.as_secs_f64();
        let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        let poisson = ((bound + COLD_ROOTS * COLD_ROOTS / 4.0).sqrt() - COLD_ROOTS / 2.0).powi(2);
        let aim = poisson.max(bound - COLD_ROOTS * (sharing / 2.0).sqrt());
        (aim / allowed.max(1e-9)).min(COLD_SPEND)
    }

    /// What a warm server carries for this node a second, if one is warm.
    pub(super) fn carried_by_warm(&self) -> Option<f64> {
        let warm = self
            .ring()
            .take(self.enough())
            .filter(|id| self.warmth(&self.servers[id]) >= 1.0)
            .count();
        (warm > 0).then(|| self.carried.per_s(self.now, self.memory()) / warm as f64)
    }

    /// An even part of what arrives, where no server is warm. Calls that were turned away come
    /// again, so no more than half as much again as one carried when it was.
    fn part_of_arrivals(&self) -> f64 {
        let near = self.enough().min(self.order.len());
        let arrives = self.arrived.per_s(self.now, self.memory()) / near.max(1) as f64;
        self.carried_warm
            .map_or(arrives * COLD_START, |carried| arrives.min(1.5 * carried))
    }

    /// Rates are taken over a few of the spans in which a cold server is judged.
    pub(super) fn memory(&self) -> f64 {
        3.0 * self.settings.safety.overload_window.as_secs_f64().max(1e-3)
    }
}
