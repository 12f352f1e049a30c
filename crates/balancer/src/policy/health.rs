//! What an outcome tells of a server, and of how much crowding still ends in time.

use super::*;

impl Balancer {
    pub(super) fn on_outcome(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let usual = self.answer_time;
        let Some(request) = self.requests.get_mut(&end.id) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(end.attempt as usize) else {
            return;
        };
        if attempt.outcome.replace(end.outcome).is_some() {
            return;
        }
        request.spent |= end.body_consumed;
        // What was still coming was never in its server's work, and what was on its way no longer.
        let here = u32::from(request.arriving.is_none() && request.streaming != Some(end.attempt));
        let (crowd, weight) = (attempt.crowd, request.weight);
        // What is found out long after its time tells of this node's own pause, not of the server.
        let past = self.now.as_secs_f64() - request.until.as_secs_f64();
        let overdue = (0.0..usual / 4.0).contains(&past) && end.elapsed.as_secs_f64() >= usual;
        // Nothing to spare, or well past the aim where late answers have worth.
        let (class, left) = (
            &self.settings.classes[request.class],
            request.until - attempt.sent,
        );
        let tight = 4 * end.elapsed
            > if class.late_weight > 0.0 { 5 } else { 3 } * class.latency_objective.min(left);
        let (finished, waiting) = (end.answered || request.done, request.out() == 0);
        self.servers
            .entry(end.server)
            .and_modify(|s| s.out = s.out.saturating_sub(here));
        self.on_report(end.server, end.report, end.outcome == Outcome::Served);
        self.learn(&end, overdue, tight, crowd, weight);
        if finished {
            self.close(end.id, actions);
        } else if waiting {
            self.dispatch(end.id, actions);
        }
    }

    /// Health and crowding, from how an attempt ended.
    pub(super) fn learn(
        &mut self,
        end: &AttemptEnd,
        overdue: bool,
        tight: bool,
        crowd: usize,
        weight: f64,
    ) {
        let late = overdue && matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        match end.outcome {
            Outcome::Served => {
                let above = end.elapsed.as_secs_f64() > self.median * weight.max(1.0);
                self.median *= 1.0 + if above { SMOOTH } else { -SMOOTH } / 4.0;
                self.answer_time += (end.elapsed.as_secs_f64() - self.answer_time) * SMOOTH / 4.0;
                if self
                    .servers
                    .get(&end.server)
                    .is_some_and(|s| self.warmth(s) >= 1.0)
                {
                    self.carried.add(self.now, self.memory(), weight);
                }
                self.judge(end.server, if tight { 0.5 } else { 0.0 }, SMOOTH * 2.0);
            }
            Outcome::ConnectFailed => self.unreached(end.server, end.elapsed),
            _ if late
                || matches!(
                    end.outcome,
                    Outcome::Error | Outcome::TimedOut | Outcome::Reset
                ) =>
            {
                self.judge(end.server, 1.0, SMOOTH * 2.0)
            }
            _ => {}
        }
        match end.outcome {
            Outcome::Served if !tight => {
                // What fits when crowded fits when less so, and a little more is given its chance.
                self.in_time[..=crowd]
                    .iter_mut()
                    .for_each(|share| *share += (1.0 - *share) * SMOOTH);
                let next = &mut self.in_time[(crowd + 1).min(LEVELS - 1)];
                *next += (1.0 - *next) * SMOOTH / 2.0;
                self.taken = (self.taken + SMOOTH * 2.0 / 7.0).min(2.0);
                // Where one was in time, twice as many may be tried.
                self.tried = self.tried.max(2 * crowd + 2);
            }
            _ if late || matches!(end.outcome, Outcome::Served | Outcome::Rejected) => {
                if crowd > 0 {
                    self.in_time[crowd..]
                        .iter_mut()
                        .for_each(|share| *share -= *share * SMOOTH);
                } else {
                    // Not crowded by this node: others crowd it, or something is wrong with it.
                    self.taken = (self.taken - self.taken * SMOOTH).max(SMOOTH / 2.0);
                }
            }
            _ => {}
        }
    }

    /// A connection was not to be had. Once that may be chance, as one that comes up late or breaks
    /// while it is written to: then it says no more than another failure. Turned down again, with
    /// no answer in between, nobody is there; one that only took too long may yet come up, however
    /// often, and stays a failure like others.
    pub(super) fn unreached(&mut self, id: ServerId, took: Duration) {
        let late = took >= self.settings.limits.connect_timeout;
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let again = std::mem::replace(&mut server.unreached, true);
        // It is not among what was sent there: else nothing would find out whether it was chance.
        server.count -= if again { 0 } else { server.count.min(1) };
        self.judge(id, 1.0, if again && !late { 1.0 } else { SMOOTH * 2.0 });
    }

    /// Takes a sign of a server's health: 1 for a failure, 0 for an answer, 1/2 for a tight one.
    pub(super) fn judge(&mut self, id: ServerId, failed: f64, weight: f64) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.failing += (failed - server.failing) * weight;
        self.failing += (failed - self.failing) * SMOOTH / 2.0;
        if failed < 1.0 {
            (server.ejected, server.ejections, server.unreached) =
                (None, server.ejections / 2, false);
            return;
        }
        let (failing, on_trial, times) =
            (server.failing, server.ejected.is_some(), server.ejections);
        let ready: Vec<_> = self
            .ring()
            .take(2 * self.enough())
            .map(|id| &self.servers[&id])
            .collect();
        let room = 2 * ready.iter().filter(|s| s.ejected.is_some()).count() + 2 <= ready.len();
        // What all suffer is no server's fault, and half stay unless they can't be reached from here at all.
        if on_trial || weight >= 1.0 || room && failing > 0.5 && failing > 1.5 * self.failing {
            let until = Some(self.now + self.settings.safety.overload_window * (1 << times.min(4)));
            self.servers
                .entry(id)
                .and_modify(|s| (s.ejected, s.ejections) = (until, times + 1));
        }
    }
}
