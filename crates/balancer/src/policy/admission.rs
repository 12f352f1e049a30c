//! Which requests: what a request is worth, what fits how crowded a server, who is held a while.

use super::*;

impl Balancer {
    /// Soft gate: at this crowding, at least three in four of what was sent have come back in time; luck
    /// decides where it does not look crowded, since many nodes together may crowd it all the same.
    pub(super) fn fits(&self, server: &Server, request: &Request, luck: f64) -> bool {
        let (level, chance) = (self.level(server), luck.powf(request.value));
        let open = level == 0 || level <= self.tried && self.in_time[level] >= 0.75;
        let open = open && chance <= self.taken;
        // A few are tried in any case, or else nothing would tell of better times.
        open || server.out == 0 && chance < SMOOTH / 2.0
    }

    pub(super) fn level(&self, server: &Server) -> usize {
        (self.crowd(server).round() as usize).min(LEVELS - 1)
    }

    /// Whether nothing tells yet if a server so crowded answers in time: nothing was late there or at less,
    /// and nothing came back from near it. A node that starts into an overload would fill everybody up by
    /// sending, and one beside a quick server would turn away what fits: it waits for the first answers.
    pub(super) fn untried(&self, server: &Server) -> bool {
        let level = self.level(server);
        level > self.tried && self.in_time[level] >= 0.75
    }

    /// Holds a request a while. One whose body is coming is not read on before it has somewhere to go: its
    /// client waits for that as long as it would for an answer.
    pub(super) fn wait(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let tired = |r: &Request| {
            r.arriving
                .is_some_and(|time| self.now + ARRIVES >= r.until + time)
        };
        if self.requests.get(&id).is_some_and(tired) {
            return self.finish(id, actions);
        }
        let after =
            Duration::from_secs_f64(self.answer_time / 8.0).max(self.settings.timer_resolution);
        self.waits(id, true);
        actions.push(Action::SetTimer { after, token: id.0 });
    }

    pub(super) fn waits(&mut self, id: RequestId, now: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut request.waits, now);
        self.waiting = self.waiting + usize::from(now) - usize::from(before);
    }

    pub(super) fn on_request(&mut self, new: NewRequest, actions: &mut Vec<Action>) {
        let class = new.class.min(self.settings.classes.len() - 1);
        let terms = self.settings.classes[class].clone();
        // The timer comes a tick late at most, and the answer must be there before the client leaves.
        let deadline = self.now
            + new
                .remaining
                .saturating_sub(2 * self.settings.timer_resolution);
        let stretch = new
            .expected_work
            .unwrap_or_default()
            .mul_f64(terms.objective_stretch.clamp(0.0, 1e3));
        let aim =
            (self.now + terms.latency_objective + stretch).saturating_sub(self.spent(&new, class));
        let until = if terms.late_weight > 0.0 {
            deadline
        } else {
            deadline.min(aim)
        };
        let weight = self.weigh(new.expected_work);
        self.arrived.add(self.now, self.memory(), weight);
        self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(2.0 / RETRY_SHARE);
        let paid = PRICE_SPEND / self.settings.penalties.health_check.max(1e-9);
        self.probe_tokens = (self.probe_tokens + paid).min(self.order.len() as f64);
        let (value, probed) = (self.value(class, new.tenant), !self.probes_tell());
        let (repeat, most) = (terms.idempotency, self.settings.limits.max_attempts);
        let time = until.saturating_sub(self.now);
        let (until, arriving) = if new.body_pending {
            (self.now + ARRIVES, Some(time))
        } else {
            (until, None)
        };
        let request = Request {
            class,
            repeat,
            most,
            arriving,
            weight,
            value,
            until,
            probed,
            ..Request::default()
        };
        self.requests.insert(new.id, request);
        // Hopeless even on a free server. Where most are idle it may try: hints are not exact.
        let most = time * if self.busy < 0.5 { 2 } else { 1 };
        if new.expected_work.unwrap_or_default() >= most {
            return self.finish(new.id, actions);
        }
        actions.push(Action::SetTimer {
            after: until - self.now,
            token: new.id.0,
        });
        self.dispatch(new.id, actions);
    }

    /// A request's body is here: from now on its time runs.
    pub(super) fn on_arrived(&mut self, id: RequestId, spent: bool, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.done) else {
            return;
        };
        let Some(time) = request.arriving.take() else {
            return;
        };
        (request.until, request.spent) = (now + time, request.spent || spent);
        let waits = request.out() == 0;
        let at: Vec<_> = request
            .attempts
            .iter()
            .filter(|a| a.outcome.is_none())
            .map(|a| a.to.id)
            .collect();
        for server in at {
            self.servers.entry(server).and_modify(|s| s.out += 1);
        }
        actions.push(Action::SetTimer {
            after: time,
            token: id.0,
        });
        if waits {
            self.dispatch(id, actions);
        }
    }

    /// The client has the first bytes of an answer: no other will do, and nothing more is sent.
    /// What follows is bytes on their way, and no work of the server's.
    pub(super) fn on_started(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        self.held.retain(|held| *held != id);
        self.waits(id, false);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let out = request
            .attempts
            .get(attempt as usize)
            .is_some_and(|a| a.outcome.is_none());
        if !out || request.streaming.replace(attempt).is_some() {
            return;
        }
        if self.settings.limits.cancel_attempts {
            let others = request
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, a)| a.outcome.is_none());
            let others = others.map(|(i, _)| i as u32).filter(|i| *i != attempt);
            actions.extend(others.map(|attempt| Action::CancelAttempt { id, attempt }));
        }
        self.servers
            .entry(server)
            .and_modify(|s| s.out = s.out.saturating_sub(1));
        self.on_report(server, report, true);
    }

    /// What a client has waited already, as far as it shows: a marked repeat whose time is not that of a
    /// first try waits for the rest of its deadline. Work for one past its aim only feeds a jam.
    pub(super) fn spent(&mut self, new: &NewRequest, class: usize) -> Duration {
        let deadline = self.settings.classes[class].deadline;
        let first_try = if new.client_retry {
            self.patience[class]
        } else {
            new.remaining
        };
        self.patience[class] = first_try;
        let like_first = new.remaining.abs_diff(first_try) < first_try / 64;
        if like_first {
            Duration::ZERO
        } else {
            deadline.saturating_sub(new.remaining)
        }
    }

    pub(super) fn weigh(&mut self, cost: Option<Duration>) -> f64 {
        let Some(cost) = cost.map(|c| c.as_secs_f64()).filter(|c| *c > 0.0) else {
            return 1.0;
        };
        self.usual_cost += (cost - self.usual_cost)
            * if self.usual_cost == 0.0 {
                1.0
            } else {
                SMOOTH / 8.0
            };
        cost / self.usual_cost
    }

    /// A request's worth against that of the usual one. What the worst class weighs is spread over all.
    pub(super) fn value(&mut self, class: usize, tenant: usize) -> f64 {
        let rate = |tenant: &Tenant| tenant.quota_per_s / f64::from(self.settings.nodes.max(1));
        let (rate, now) = (
            self.settings.tenants.get(tenant).map_or(0.0, rate),
            self.now,
        );
        let over = self
            .allowances
            .get_mut(tenant)
            .is_some_and(|allowance| !allowance.take(now, rate));
        let share = if over {
            self.settings.over_quota_weight
        } else {
            1.0
        };
        let (goal, worth) = (
            &self.settings.objective_weights,
            self.settings.classes[class].priority_weight * share,
        );
        self.usual_worth += (worth - self.usual_worth) * SMOOTH / 8.0;
        let even = self.usual_worth * goal.worst_class / goal.whole.max(SMOOTH);
        ((worth + even) / (self.usual_worth + even).max(1e-9)).clamp(0.0, 1e3)
    }
}
