//! The four rules at the one place that sends, and whether a request may go out again.

use super::*;

impl Balancer {
    /// The rules: nothing relaxes these. Rule 3 is kept with its whole grace to spare; by rule 4 a cold
    /// server is sent no more than this node's part of what it can take.
    pub(super) fn permitted(&self, server: &Server, request: &Request) -> bool {
        server.entry.state == ServerState::Ready
            && (self.warmth(server) >= 1.0 || server.permit > self.now && request.weight <= HEAVY)
            && self.repeat_allows(server, request)
            && !request.attempts.iter().any(|a| a.to.id == server.entry.id)
    }

    /// Rule 2: what may have run is sent again only as its class allows.
    pub(super) fn repeat_allows(&self, server: &Server, request: &Request) -> bool {
        let Some(first) = request.attempts.iter().find(|a| a.may_have_run()) else {
            return true;
        };
        self.may_follow(server, request, &first.to, first.sent)
    }

    /// Whether what may have run at one server, sent there then, may go to another.
    pub(super) fn may_follow(
        &self,
        server: &Server,
        request: &Request,
        to: &Endpoint,
        sent: Duration,
    ) -> bool {
        match request.repeat {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let together = match scope {
                    Scope::All => true,
                    Scope::Zone => to.zone == server.entry.zone,
                    Scope::Cell => to.cell == server.entry.cell,
                };
                together && self.now < sent + window
            }
        }
    }

    /// Whether a request that goes to a server now has somewhere to go after it. If not, an attempt that is
    /// silent for long is waited for: called off, it would be lost, and nothing gained.
    pub(super) fn elsewhere(&self, server: &Server, request: &Request) -> bool {
        let first = request.attempts.iter().find(|a| a.may_have_run());
        let (to, sent) = first.map_or((&server.entry, self.now), |a| (&a.to, a.sent));
        let follows = |s: &Server| {
            s.entry.id != server.entry.id
                && s.ejected.is_none()
                && self.permitted(s, request)
                && self.may_follow(s, request, to, sent)
        };
        let room = request.attempts.len() + 1 < self.most(request) as usize;
        room && self
            .ring()
            .filter_map(|id| self.servers.get(&id))
            .take(self.enough())
            .any(follows)
    }

    /// Attempts that a request may have: fewer allowed now bind it too, more do not.
    pub(super) fn most(&self, request: &Request) -> u32 {
        if request.spent {
            return request.attempts.len().max(1) as u32;
        }
        request.most.min(self.settings.limits.max_attempts).max(1)
    }

    /// One attempt at a time, or a second one where that is allowed and the first has been silent for long.
    pub(super) fn may_go(&self, request: &Request) -> bool {
        let Some(last) = request.attempts.iter().rfind(|a| a.outcome.is_none()) else {
            return true;
        };
        let silent = request.arriving.is_none()
            && self.now >= last.sent + self.patience_with(request).mul_f64(0.99);
        self.settings.limits.hedging && request.out() < 2 && silent
    }

    /// How long an attempt may be silent: a multiple of the median answer, which few answers exceed.
    pub(super) fn patience_with(&self, request: &Request) -> Duration {
        Duration::from_secs_f64(SILENT * self.median * request.weight.clamp(1.0, 1e3))
            .max(2 * self.settings.timer_resolution)
    }

    /// The only place that sends. Every rule is checked here, whatever led to it.
    pub(super) fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let (Some(request), Some(server)) = (self.requests.get(&id), self.servers.get(&to)) else {
            return;
        };
        let again = !request.attempts.is_empty();
        let room = (request.attempts.len() as u32) < self.most(request);
        let owed = !request.done && self.may_go(request) && now < request.until;
        if !owed || !room || !self.permitted(server, request) {
            return self.finish(id, actions);
        }
        // Time is kept for one more attempt where there may be one: the server may stay silent.
        let (left, patience) = (request.until - now, self.patience_with(request));
        let more = left > patience * 5 / 4
            && self.retry_tokens >= if again { 2.0 } else { 1.0 }
            && self.elsewhere(server, request);
        let hedged = self.settings.limits.hedging;
        // A body that is still coming says nothing of its server's speed.
        let more = more && request.arriving.is_none();
        let timeout = if more && !hedged { patience } else { left };
        if more && hedged {
            actions.push(Action::SetTimer {
                after: patience,
                token: id.0,
            });
        }
        let (crowd, here) = (self.level(server), request.arriving.is_none());
        let attempt = Attempt {
            to: server.entry,
            sent: now,
            crowd,
            outcome: None,
        };
        self.requests
            .entry(id)
            .and_modify(|r| (r.probed, _) = (true, r.attempts.push(attempt)));
        self.servers.entry(to).and_modify(|s| {
            (s.permit, s.count) = (Duration::ZERO, s.count + 1);
            s.out += u32::from(here);
            s.load = s.load.map(|(load, at)| (load + 1.0, at));
        });
        actions.push(Action::Send {
            id,
            server: to,
            timeout,
        });
        self.retry_tokens -= if again { 1.0 } else { 0.0 };
        self.held.retain(|held| *held != id);
        self.sent.add(now, self.memory(), 1.0);
        self.sends = self.sends * 0.998 + 1.0;
        self.idle_signs *= 0.998;
    }
}
