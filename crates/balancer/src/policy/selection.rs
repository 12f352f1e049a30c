//! Which server: Join-Up-To(m) among those that are seen often enough, and probes for one that is free.

use super::*;

impl Balancer {
    /// How crowded a server is: what it reported lately, and at least own attempts that are out.
    pub(super) fn crowd(&self, server: &Server) -> f64 {
        let guess = f64::from(server.out) / (1.0 - server.failing).max(SMOOTH);
        self.fresh_load(server)
            .map_or(guess, |load| load.max(server.out.into()))
    }

    /// The load that a probe told of lately, with own sends since.
    pub(super) fn fresh_load(&self, server: &Server) -> Option<f64> {
        server
            .load
            .filter(|&(_, at)| self.probes_tell() && self.fresh(at))
            .map(|(load, _)| load)
    }

    /// A queue turns over within about one answer time; then news of it is old.
    pub(super) fn fresh(&self, at: Duration) -> bool {
        (self.now - at).as_secs_f64() <= self.answer_time / 4.0
    }

    pub(super) fn probes_tell(&self) -> bool {
        self.settings.reports == ReportSource::HealthChecks && self.settings.limits.health_checks
    }

    /// Join-Up-To(m): the lowest estimate strictly below m, ties at random.
    pub(super) fn below_cap(&self, among: &[&Server], draw: f64) -> Option<ServerId> {
        let cap = self.cap();
        let estimates: Vec<_> = among.iter().map(|s| self.estimate(s, cap)).collect();
        let lowest = *estimates.iter().min().filter(|e| **e < cap)?;
        let ties = among.iter().zip(estimates).filter(|(_, e)| *e == lowest);
        any_of(&ties.map(|(s, _)| *s).collect::<Vec<_>>(), draw)
    }

    /// Own sends since the last idle sign. Where those come from cheap probes and other nodes send as well,
    /// a sign lapses once they may have sent there too. A cold server is not probed: its permit stands for a
    /// sign, since it is this node's part of what all may send there.
    pub(super) fn estimate(&self, server: &Server, cap: u32) -> u32 {
        let lapses = self.probes_tell() && self.settings.nodes > 1;
        match server.idle_at {
            _ if !lapses => server.count,
            _ if self.warmth(server) < 1.0 => server.out,
            Some(at) if self.fresh(at) => server.count,
            _ => cap,
        }
    }

    /// The cap m of Theorem 6 of the paper, from own sends for each idle sign (its lambda / delta) and the
    /// share of reports that were not idle (its lambda), for exponential job sizes.
    pub(super) fn cap(&self) -> u32 {
        let per_sign = self.sends / self.idle_signs;
        let half = 0.5 + per_sign * (1.0 - self.busy) / self.busy.max(SMOOTH);
        let best = ((half * half + 2.0 * per_sign).sqrt() - half).ceil();
        best.min(per_sign.floor()).max(1.0) as u32
    }

    /// Soft gate: those that are not more crowded than the average.
    pub(super) fn uncrowded<'a>(&self, among: Vec<&'a Server>) -> Vec<&'a Server> {
        let crowds: Vec<_> = among.iter().map(|s| self.crowd(s)).collect();
        let average = crowds.iter().sum::<f64>() / among.len() as f64 + 1e-9;
        among
            .into_iter()
            .zip(crowds)
            .filter(|(_, crowd)| *crowd <= average)
            .map(|(s, _)| s)
            .collect()
    }

    /// How many servers to choose from: no more than own traffic can keep in view, since a server seen once a
    /// minute is never known to be slow or gone. Where connections have a price, all nodes together keep it
    /// within a hundredth of the service. Each has a server for every request at once and two to choose from.
    pub(super) fn enough(&self) -> usize {
        let affordable = 100.0 * PRICE_SPEND / self.settings.penalties.connections;
        let part = affordable * self.order.len() as f64 / f64::from(self.settings.nodes);
        let rate = self.sent.per_s(self.now, self.memory());
        let sightings = SIGHTINGS / if self.probes_tell() { 2.0 } else { 1.0 };
        let in_view = (rate * self.memory()).max(FEW * SIGHTINGS) / sightings;
        (part.min(in_view).max(2.0 + rate * self.answer_time) as usize).min(LEVELS)
    }

    pub(super) fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 2f64.powi(32)
    }

    /// Finds a server for a request that waits for its first or a further attempt.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let (luck, draw) = (self.random(), self.random());
        self.draw_permits();
        self.waits(id, false);
        let Some(request) = self.requests.get(&id).filter(|r| !r.done && self.may_go(r)) else {
            return;
        };
        let permitted = self
            .ring()
            .filter_map(|id| self.servers.get(&id))
            .filter(|s| self.permitted(s, request));
        let permitted: Vec<_> = permitted.take(self.enough()).collect();
        let again = !request.attempts.is_empty();
        if self.now >= request.until || again && (self.retry_tokens < 1.0 || permitted.is_empty()) {
            return self.finish(id, actions);
        }
        if permitted.is_empty() {
            // Nobody is listed, or only cold servers without a permit: hold it a while.
            return self.wait(id, actions);
        }
        // Soft gates give way when they leave nobody. Ejected servers get one request in so many on trial,
        // seldom one that can't be sent again: else trials take most of a quiet node's requests.
        let once = request.repeat == Idempotency::NonIdempotent;
        let trial = !again && luck * if once { 4.0 } else { 1.0 } < SMOOTH;
        let due = |s: &Server| {
            trial
                && s.ejected
                    .is_some_and(|until| self.now >= until && s.out == 0)
        };
        let due: Vec<_> = permitted.iter().copied().filter(|s| due(s)).collect();
        let sound: Vec<_> = permitted
            .iter()
            .copied()
            .filter(|s| s.ejected.is_none())
            .collect();
        let healthy = [due, sound, permitted]
            .into_iter()
            .find(|some| !some.is_empty())
            .unwrap_or_default();
        let fits: Vec<_> = healthy
            .iter()
            .copied()
            .filter(|s| self.fits(s, request, luck))
            .collect();
        let (open, unknown) = (!fits.is_empty(), healthy.iter().any(|s| self.untried(s)));
        if !open && unknown && !again && self.waiting < LEVELS {
            return self.wait(id, actions);
        }
        let fitting = self.uncrowded(fits);
        let (below, any) = (self.below_cap(&fitting, draw), any_of(&fitting, draw));
        let ask = below.is_none() && !request.probed && !self.held.contains(&id);
        // A probe is work like a request's: a cold server's part is for requests.
        let unknown = |s: &&&Server| {
            ask && !s.probing && self.warmth(s) >= 1.0 && self.fresh_load(s).is_none()
        };
        let unknown: Vec<_> = healthy.iter().filter(unknown).map(|s| s.entry.id).collect();
        // The lowest estimate below m, or a probe for one, or one at random where all have reached m.
        match below {
            Some(server) => self.send(id, server, actions),
            None if self.held.contains(&id) || ask && self.probe(id, unknown, actions) => {}
            None if any.is_some() => any
                .into_iter()
                .for_each(|server| self.send(id, server, actions)),
            // Everybody is too crowded to answer in time: better to say so now.
            None => self.finish(id, actions),
        }
    }

    /// Nothing in flight with an answer (an empty queue where that is all there is) is an idle sign, but a
    /// late one if own attempts are still out there: those stay in the estimate.
    pub(super) fn on_report(&mut self, id: ServerId, report: Option<LoadReport>, served: bool) {
        let (Some(report), Some(server)) = (report, self.servers.get_mut(&id)) else {
            return;
        };
        let Some(load) = report.in_flight.or(report.queue).map(f64::from) else {
            return;
        };
        server.load = Some((load, self.now));
        self.busy += (if load < 0.5 { 0.0 } else { 1.0 } - self.busy) * SMOOTH / 8.0;
        if load < 0.5 && served {
            self.idle_signs += if server.count > server.out { 1.0 } else { 0.0 };
            server.count = server.count.min(server.out);
            server.idle_at = Some(self.now);
        }
    }

    /// Probes servers at the cap, two at a time, as own traffic has paid, and holds the request meanwhile.
    pub(super) fn probe(
        &mut self,
        id: RequestId,
        mut targets: Vec<ServerId>,
        actions: &mut Vec<Action>,
    ) -> bool {
        for _ in 0..2.min(self.probe_tokens as usize) {
            let draw = (self.random() * targets.len() as f64) as usize;
            let Some(target) = targets.get(draw).copied() else {
                break;
            };
            targets.retain(|t| *t != target);
            self.probe_tokens -= 1.0;
            self.servers.entry(target).and_modify(|s| s.probing = true);
            self.probes_out += 1;
            actions.push(Action::HealthCheck { server: target });
        }
        if self.probes_out == 0 {
            return false;
        }
        self.held.push(id);
        // A server that answers a probe later than this is no place to send to.
        let patience = Duration::from_secs_f64(self.answer_time / 16.0)
            .max(4 * self.settings.timer_resolution);
        actions.push(Action::SetTimer {
            after: patience,
            token: id.0,
        });
        true
    }

    pub(super) fn on_probed(&mut self, end: HealthCheckEnd, actions: &mut Vec<Action>) {
        self.servers
            .entry(end.server)
            .and_modify(|s| (s.probing, s.load) = (false, None));
        self.on_report(end.server, end.report, end.outcome == Outcome::Served);
        if end.outcome == Outcome::ConnectFailed {
            self.unreached(end.server, end.elapsed);
        }
        self.probes_out = self.probes_out.saturating_sub(1);
        let last = self.probes_out == 0;
        for id in self.held.clone() {
            self.held.retain(|held| !last || *held != id);
            self.dispatch(id, actions);
        }
    }

    /// All nodes see the same ring of ready servers and start evenly spaced, so that each has as many nodes.
    pub(super) fn ring(&self) -> impl Iterator<Item = ServerId> + '_ {
        let (node, nodes) = (
            self.settings.node as usize,
            self.settings.nodes.max(1) as usize,
        );
        let (before, after) = self.order.split_at(node % nodes * self.order.len() / nodes);
        after.iter().chain(before).copied()
    }
}
