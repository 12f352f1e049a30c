//! Ends of attempts and health checks, starts of responses, and what each policy learns from them.

use super::Balancer;
use super::outlier::{self, HealthSignal};
use super::server::ReportedLoad;
use crate::action::Action;
use crate::event::{AttemptEnd, HealthCheckEnd, Outcome};
use crate::ids::{RequestId, ServerId};
use crate::load_report::LoadReport;
use std::time::Duration;

/// An outcome noticed later than this fraction of the mean latency after the deadline is due to a pause of this node.
const OVERDUE_WITHIN: f64 = 1.0 / 4.0;
/// An answer is slow after this many quarters of the time it had.
const SLOW_QUARTERS: u32 = 3;
/// The same where late answers still have weight.
const SLOW_QUARTERS_LATE: u32 = 5;

/// The end of an attempt, judged by its request.
struct EndedAttempt {
    end: AttemptEnd,
    /// It ended at its request's deadline, after at least a mean latency.
    overdue: bool,
    /// It had little time to spare.
    slow: bool,
    /// The server's crowding level at the send.
    concurrency_level: usize,
    relative_work: f64,
}

impl EndedAttempt {
    /// Whether the server was late: the attempt was ended at the deadline.
    fn is_late(&self) -> bool {
        self.overdue && matches!(self.end.outcome, Outcome::TimedOut | Outcome::Cancelled)
    }
}

impl Balancer {
    /// An attempt has ended: learns from it, and retries, finishes or closes the request.
    pub(super) fn on_attempt_end(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let id = end.id;
        let Some(attempt) = self.record_end(end) else {
            return;
        };
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let closed = attempt.end.has_final_response || request.closed;
        let none_in_flight = request.in_flight() == 0;
        let served = attempt.end.outcome == Outcome::Served;
        self.on_load_report(attempt.end.server, attempt.end.report, served);
        self.learn_health(&attempt);
        self.learn_concurrency(&attempt);
        if closed {
            self.close(id, actions);
        } else if none_in_flight {
            self.dispatch(id, actions);
        }
    }

    /// Notes an outcome at its request and server; `None` if there is no such attempt or it had ended.
    fn record_end(&mut self, end: AttemptEnd) -> Option<EndedAttempt> {
        let mean_latency_s = self.latency.mean_s();
        let request = self.requests.get_mut(end.id)?;
        let attempt = request.attempts.get_mut(end.attempt as usize)?;
        if attempt.outcome.replace(end.outcome).is_some() {
            return None;
        }
        let concurrency_level = attempt.concurrency_level;
        let sent_at = attempt.sent_at;
        request.body_consumed |= end.body_consumed;
        let counted_at_server = !request.body_pending() && request.streaming != Some(end.attempt);

        let past_deadline_s = self.now.as_secs_f64() - request.deadline.as_secs_f64();
        let at_deadline = (0.0..mean_latency_s * OVERDUE_WITHIN).contains(&past_deadline_s);
        let class = &self.settings.classes[request.class];
        let time = class.latency_objective.min(request.deadline - sent_at);
        let quarters = if class.late_weight > 0.0 {
            SLOW_QUARTERS_LATE
        } else {
            SLOW_QUARTERS
        };
        if counted_at_server {
            if let Some(server) = self.endpoints.get_mut(end.server) {
                server.in_flight = server.in_flight.saturating_sub(1);
            }
        }
        Some(EndedAttempt {
            overdue: at_deadline && end.elapsed.as_secs_f64() >= mean_latency_s,
            slow: 4 * end.elapsed > quarters * time,
            concurrency_level,
            relative_work: request.relative_work,
            end,
        })
    }

    /// Latency, slow start and outlier detection learn from an outcome.
    fn learn_health(&mut self, attempt: &EndedAttempt) {
        let end = &attempt.end;
        match end.outcome {
            Outcome::Served => {
                self.latency.observe(end.elapsed, attempt.relative_work);
                self.learn_from_warm(end.server, attempt.relative_work);
                let signal = if attempt.slow {
                    HealthSignal::AnsweredSlowly
                } else {
                    HealthSignal::Answered
                };
                self.observe_health(end.server, signal);
            }
            Outcome::ConnectFailed => self.on_connect_failed(end.server, end.elapsed),
            Outcome::Error | Outcome::TimedOut | Outcome::Reset => {
                self.observe_health(end.server, HealthSignal::Failed);
            }
            Outcome::Cancelled if attempt.is_late() => {
                self.observe_health(end.server, HealthSignal::Failed);
            }
            Outcome::Cancelled | Outcome::Rejected | Outcome::NotSent => {}
        }
    }

    /// The crowding gate learns from an outcome.
    fn learn_concurrency(&mut self, attempt: &EndedAttempt) {
        let level = attempt.concurrency_level;
        match attempt.end.outcome {
            Outcome::Served if !attempt.slow => self.concurrency_gate.on_in_time(level),
            Outcome::Served | Outcome::Rejected => self.concurrency_gate.on_late(level),
            _ if attempt.is_late() => self.concurrency_gate.on_late(level),
            _ => {}
        }
    }

    fn learn_from_warm(&mut self, server: ServerId, relative_work: f64) {
        let context = super::context_of(&self.settings, self.now, &self.latency);
        let server = self.endpoints.get(server);
        if server.is_some_and(|server| !server.is_warming(&context)) {
            self.slow_start.on_served_by_warm(&context, relative_work);
        }
    }

    /// A connection to a server could not be made. A first one may be chance: it is taken out of the server's estimate, or
    /// else nothing would find out.
    fn on_connect_failed(&mut self, id: ServerId, elapsed: Duration) {
        let connect_timeout = self.settings.limits.connect_timeout;
        let Some(server) = self.endpoints.get_mut(id) else {
            return;
        };
        let failure = server.health.on_connect_failed(elapsed, connect_timeout);
        if !failure.again {
            server.sends_since_idle = server.sends_since_idle.saturating_sub(1);
        }
        self.observe_health(id, failure.signal);
    }

    /// Takes a signal of a server's health, and ejects it if it is an outlier.
    fn observe_health(&mut self, id: ServerId, signal: HealthSignal) {
        let Some(server) = self.endpoints.get_mut(id) else {
            return;
        };
        self.outliers.observe(&mut server.health, signal);
        let Some(server) = self.endpoints.get(id) else {
            return;
        };
        let eject = self
            .outliers
            .should_eject(&server.health, signal, || self.may_eject_more());
        let context = super::context_of(&self.settings, self.now, &self.latency);
        if let Some(server) = self.endpoints.get_mut(id).filter(|_| eject) {
            outlier::eject(&context, &mut server.health);
        }
    }

    /// Whether enough servers near this node's place on the ring are left to eject one more.
    fn may_eject_more(&self) -> bool {
        let near = self.endpoints.near(&self.settings, self.subset_size());
        let (mut ready, mut ejected) = (0, 0);
        for server in near {
            ready += 1;
            ejected += usize::from(server.health.is_ejected());
        }
        outlier::may_eject_more(ejected, ready)
    }

    /// Takes a server's load report. Where requests in flight are not reported, the queue length is used.
    fn on_load_report(&mut self, id: ServerId, report: Option<LoadReport>, served: bool) {
        let reported = report.and_then(|report| report.in_flight.or(report.queue));
        let (Some(in_flight), Some(server)) = (reported, self.endpoints.get_mut(id)) else {
            return;
        };
        let load = ReportedLoad {
            in_flight: f64::from(in_flight),
            at: self.now,
        };
        self.join_up_to.on_load_report(server, load, served);
    }

    /// The client receives the first bytes of a response: other attempts are cancelled and nothing more is sent. What
    /// follows are bytes on their way, and no work of the server's.
    pub(super) fn on_response_started(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        self.health_checks.stop_waiting(id);
        self.requests.set_waiting(id, false);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let in_flight = request
            .attempts
            .get(attempt as usize)
            .is_some_and(|a| a.is_in_flight());
        if !in_flight || request.streaming.replace(attempt).is_some() {
            return;
        }
        if self.settings.limits.cancel_attempts {
            let others = request
                .attempts_in_flight()
                .filter(|other| *other != attempt);
            actions.extend(others.map(|attempt| Action::CancelAttempt { id, attempt }));
        }
        if let Some(server) = self.endpoints.get_mut(server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        self.on_load_report(server, report, true);
    }

    /// A health check has ended: requests that wait for health checks are looked at again.
    pub(super) fn on_health_check_end(&mut self, end: HealthCheckEnd, actions: &mut Vec<Action>) {
        if let Some(server) = self.endpoints.get_mut(end.server) {
            server.health_check_pending = false;
            server.reported_load = None;
        }
        self.on_load_report(end.server, end.report, end.outcome == Outcome::Served);
        if end.outcome == Outcome::ConnectFailed {
            self.on_connect_failed(end.server, end.elapsed);
        }
        let (waiting, was_last) = self.health_checks.on_end();
        for id in waiting {
            if was_last {
                self.health_checks.stop_waiting(id);
            }
            self.dispatch(id, actions);
        }
    }
}
