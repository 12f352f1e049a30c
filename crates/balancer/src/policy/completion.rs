//! Handles ended attempts, ended health checks and started responses, and updates the policies with the outcomes.

use super::Balancer;
use super::outlier::{self, HealthSignal};
use super::server::ReportedLoad;
use crate::action::Action;
use crate::event::{AttemptEnd, HealthCheckEnd, Outcome};
use crate::ids::{RequestId, ServerId};
use crate::load_report::LoadReport;
use std::time::Duration;

/// An attempt that ended after the deadline by more than this fraction of the mean latency is attributed to a pause of
/// this node, not to the server.
const MAX_OVERDUE_FRACTION: f64 = 1.0 / 4.0;
/// A response is slow if it took more than this many quarters of the time available to it.
const SLOW_QUARTERS: u32 = 3;
/// As [`SLOW_QUARTERS`], for classes whose late responses still have weight.
const SLOW_QUARTERS_IF_LATE_COUNTS: u32 = 5;

/// An ended attempt, evaluated against the deadline and latency objective of its request.
struct EndedAttempt {
    end: AttemptEnd,
    /// It ended at its request's deadline and took at least the mean latency.
    overdue: bool,
    /// It used up most of the time available to it.
    slow: bool,
    /// The server's concurrency level when the attempt was sent.
    concurrency_level: usize,
    relative_work: f64,
}

impl EndedAttempt {
    /// Whether the server was too late: the attempt timed out or was cancelled at the deadline.
    fn is_late(&self) -> bool {
        self.overdue && matches!(self.end.outcome, Outcome::TimedOut | Outcome::Cancelled)
    }
}

impl Balancer {
    /// Handles an ended attempt: updates the policies, then retries, finishes or closes the request.
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
        self.update_server_health(&attempt);
        self.update_concurrency_gate(&attempt);
        if closed {
            self.close(id, actions);
        } else if none_in_flight {
            self.dispatch(id, actions);
        }
    }

    /// Records an outcome in its request and server. Returns `None` if the attempt is unknown or has already ended.
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
        let at_deadline = (0.0..mean_latency_s * MAX_OVERDUE_FRACTION).contains(&past_deadline_s);
        let available_time = request.latency_objective.min(request.deadline - sent_at);
        let quarters = if request.late_response_counts {
            SLOW_QUARTERS_IF_LATE_COUNTS
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
            slow: 4 * end.elapsed > quarters * available_time,
            concurrency_level,
            relative_work: request.relative_work,
            end,
        })
    }

    /// Updates latency estimates, slow start and outlier detection with an outcome.
    fn update_server_health(&mut self, attempt: &EndedAttempt) {
        let end = &attempt.end;
        match end.outcome {
            Outcome::Served => {
                self.latency.observe(end.elapsed, attempt.relative_work);
                self.record_served_by_warm(end.server, attempt.relative_work);
                let signal = if attempt.slow {
                    HealthSignal::ServedSlowly
                } else {
                    HealthSignal::Served
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

    /// Updates the concurrency gate with an outcome.
    fn update_concurrency_gate(&mut self, attempt: &EndedAttempt) {
        let level = attempt.concurrency_level;
        match attempt.end.outcome {
            Outcome::Served if !attempt.slow => self.concurrency_gate.on_served_in_time(level),
            Outcome::Served | Outcome::Rejected => self.concurrency_gate.on_late(level),
            _ if attempt.is_late() => self.concurrency_gate.on_late(level),
            _ => {}
        }
    }

    fn record_served_by_warm(&mut self, server: ServerId, relative_work: f64) {
        let context = super::context_of(&self.settings, self.now, &self.latency);
        let server = self.endpoints.get(server);
        if server.is_some_and(|server| !server.is_warming(&context)) {
            self.slow_start.on_served_by_warm(&context, relative_work);
        }
    }

    /// Handles a connect failure. A first one may be chance, so its attempt is removed from the server's estimate: otherwise
    /// the server might get no further attempt that shows whether it is reachable.
    fn on_connect_failed(&mut self, id: ServerId, elapsed: Duration) {
        let connect_timeout = self.settings.limits.connect_timeout;
        let Some(server) = self.endpoints.get_mut(id) else {
            return;
        };
        let failure = server.health.on_connect_failed(elapsed, connect_timeout);
        if !failure.repeated {
            server.sends_since_idle = server.sends_since_idle.saturating_sub(1);
        }
        self.observe_health(id, failure.signal);
    }

    /// Records a health signal of a server and ejects the server if it is an outlier.
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

    /// Whether enough of the servers that this node tracks would be left after one more ejection.
    fn may_eject_more(&self) -> bool {
        let tracked = self.endpoints.tracked(&self.settings, self.subset_size());
        let (mut ready, mut ejected) = (0, 0);
        for server in tracked {
            ready += 1;
            ejected += usize::from(server.health.is_ejected());
        }
        outlier::may_eject_more(ejected, ready)
    }

    /// Records a server's load report. If it has no number of requests in flight, the queue length is used.
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

    /// The client has received the first bytes of a response: other attempts are cancelled and no more are sent. The rest
    /// is data transfer and no longer counts as work of the server.
    pub(super) fn on_response_started(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        self.health_checks.stop_waiting(id);
        self.requests.set_held(id, false);
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

    /// Handles an ended health check: requests that wait for health checks are dispatched again.
    pub(super) fn on_health_check_end(&mut self, end: HealthCheckEnd, actions: &mut Vec<Action>) {
        if let Some(server) = self.endpoints.get_mut(end.server) {
            server.health_check_pending = false;
            server.reported_load = None;
        }
        self.on_load_report(end.server, end.report, end.outcome == Outcome::Served);
        if end.outcome == Outcome::ConnectFailed {
            self.on_connect_failed(end.server, end.elapsed);
        }
        let (waiting, was_last) = self.health_checks.on_check_ended();
        for id in waiting {
            if was_last {
                self.health_checks.stop_waiting(id);
            }
            self.dispatch(id, actions);
        }
    }
}
