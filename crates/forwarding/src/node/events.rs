//! Conversion of messages and timers into events of the decision module.

use super::Node;
use super::pending_request::PendingRequest;
use super::timers::TimerKind;
use crate::{
    AcceptedRequest, AttemptResult, AttemptTimes, BackendUpdate, FinalResponse, HealthCheckResult,
    Message, RequestMessage, ResponseStarted, StopReason,
};
use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{AttemptEnd, Event, HealthCheckEnd, NewRequest, RequestId};
use sillward_logging::log_peer;
use sillward_metrics::EndpointGauges;
use std::collections::BTreeMap;
use std::time::Duration;

impl Node {
    pub(super) fn on_request_message(&mut self, message: RequestMessage) {
        match message {
            RequestMessage::New(accepted) => self.on_request(*accepted),
            RequestMessage::ClientDisconnected(id) => self.on_client_disconnected(id),
            RequestMessage::BodyReceived(id, received_at) => {
                self.on_body_received(id, received_at);
            }
            RequestMessage::ResponseStarted(started) => self.on_response_started(started),
            RequestMessage::AttemptEnded(result) => self.on_attempt_ended(result),
        }
    }

    pub(super) fn on_message(&mut self, message: Message) {
        match message {
            Message::HealthChecked(result) => self.on_health_checked(result),
            Message::EndpointList(update) => self.on_endpoint_list(update),
            Message::Settings {
                settings,
                generation,
            } => self.on_settings(&settings, generation),
            Message::ShutDown { responses_by } => self.on_shutdown(responses_by),
            Message::EndpointGauges(sender) => {
                let _ = sender.send(self.endpoint_gauges()); // fails only if the receiver was dropped
            }
        }
    }

    pub(super) fn fire_due_timers(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                TimerKind::Balancer(token) => self.handle_event(Event::Timer { token }),
                TimerKind::AttemptDeadline(id, number) => {
                    self.stop_attempt(id, number, StopReason::TimedOut);
                }
                TimerKind::RequestDeadline(id) => self.on_request_deadline(id),
            }
        }
    }

    /// Switches to the fallback settings when the lease on the others has expired. Called before each decision.
    pub(super) fn check_settings_lease(&mut self) {
        if let Some(fallback) = self.active_settings.expire(self.clock.now()) {
            self.apply_settings(&fallback);
        }
    }

    fn endpoint_gauges(&self) -> EndpointGauges {
        let counts = self.balancer.endpoint_counts();
        EndpointGauges {
            known: counts.listed,
            avoided: counts.ejected,
        }
    }

    fn on_settings(&mut self, settings: &PlatformSettings, generation: u64) {
        if self.active_settings.accept(generation, self.clock.now()) {
            self.apply_settings(settings);
        }
    }

    fn apply_settings(&mut self, platform: &PlatformSettings) {
        self.timer_resolution = platform.settings.timer_resolution;
        self.max_attempts = super::max_attempts(&platform.settings);
        self.backends.apply_settings(platform);
        self.handle_event(Event::Settings(Box::new(platform.settings.clone())));
    }

    fn on_request(&mut self, accepted: AcceptedRequest) {
        let AcceptedRequest {
            mut request,
            received_at,
            call,
            response_sender,
            permit,
        } = accepted;
        let id = request.id;
        let deadline = self.before_shutdown(call.deadline.get());
        call.deadline.set(deadline);
        request.body_pending = call.streaming_body.is_some();
        if !request.body_pending {
            let queued = self.clock.now().saturating_sub(received_at);
            request.remaining = request.remaining.saturating_sub(queued);
            let left = deadline.saturating_sub(self.clock.now());
            request.remaining = request.remaining.min(left);
        }
        let in_progress = self.counters.request_started();
        self.count_older_settings(&request);
        if let Some(observer) = &self.observer {
            observer.request_accepted(self.clock.now(), request.class, request.client_retry);
        }
        let pending = PendingRequest::new(call, received_at, response_sender, in_progress, permit);
        let deadline = pending.response_deadline();
        self.requests.insert(id, pending);
        self.set_request_deadline(id, deadline);
        self.handle_event(Event::Request(request));
        self.remove_if_done(id);
    }

    /// Counts a request if the settings have changed since its head was accepted.
    fn count_older_settings(&self, request: &NewRequest) {
        let in_force = || self.balancer.request_policy(request.class);
        if request
            .policy
            .as_ref()
            .is_some_and(|policy| *policy != in_force())
        {
            self.counters.request_under_older_settings();
        }
    }

    /// A deadline, or the end of the shutdown if that is earlier.
    fn before_shutdown(&self, deadline: Duration) -> Duration {
        deadline.min(self.responses_by.unwrap_or(Duration::MAX))
    }

    /// Ends every open request by the given time: nobody would give its response after the process has exited.
    fn on_shutdown(&mut self, responses_by: Duration) {
        self.responses_by = Some(responses_by);
        let late = |request: &PendingRequest| {
            request.awaits_response() && request.call.deadline.get() > responses_by
        };
        let requests = self.requests.iter();
        let ids: Vec<RequestId> = requests
            .filter(|(_, request)| late(request))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            if let Some(request) = self.requests.get(&id) {
                request.call.deadline.set(responses_by);
                let deadline = request.response_deadline();
                self.set_request_deadline(id, deadline);
            }
        }
    }

    /// Sets the deadline timer, instead of the one that was set before. It is early by the timer resolution, so that the
    /// client gets the response before it times out.
    fn set_request_deadline(&mut self, id: RequestId, deadline: Duration) {
        let due = deadline.saturating_sub(self.timer_resolution);
        let timer = self.timers.set(due, TimerKind::RequestDeadline(id));
        let earlier = self
            .requests
            .get_mut(&id)
            .and_then(|request| request.deadline_timer.replace(timer));
        if let Some(earlier) = earlier {
            self.timers.cancel(earlier);
        }
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(request) = awaiting_response(&mut self.requests, id) else {
            return;
        };
        request.abandon();
        self.handle_event(Event::ClientGone { id });
        self.remove_if_done(id);
    }

    /// Handles the end of a streamed body. The request's time budget counts from `received_at`, when the client may have sent
    /// the last byte: the node reads it late if a backend is slow.
    fn on_body_received(&mut self, id: RequestId, received_at: Duration) {
        let Some(request) = awaiting_response(&mut self.requests, id) else {
            return;
        };
        let Some(body) = &request.call.streaming_body else {
            return;
        };
        let deadline = received_at + body.time_budget;
        let deadline = deadline.min(self.responses_by.unwrap_or(Duration::MAX));
        let body_consumed = body.is_consumed();
        request.body_received_at = Some(received_at);
        request.call.deadline.set(deadline);
        self.set_request_deadline(id, deadline);
        let since_last_byte = self.clock.now().saturating_sub(received_at);
        self.handle_event(Event::BodyComplete {
            id,
            since_last_byte,
            body_consumed,
        });
        self.remove_if_done(id);
    }

    /// Gives the first bytes of a streamed response to the client. The attempt continues until the last byte was forwarded.
    fn on_response_started(&mut self, started: ResponseStarted) {
        let ResponseStarted {
            id,
            number,
            payload,
            length,
            report,
            rest,
        } = started;
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let response = FinalResponse::Streamed {
            first: payload,
            length,
            rest,
        };
        // If the final response was already given, dropping this one closes its connection.
        if !request.start_streaming(number, now, response) {
            return;
        }
        let Some(attempt) = request.attempts.get(number as usize) else {
            return;
        };
        let server = attempt.server;
        self.handle_event(Event::ResponseStarted {
            id,
            attempt: number,
            server,
            report,
        });
    }

    fn on_attempt_ended(&mut self, result: AttemptResult) {
        let AttemptResult {
            id,
            number,
            outcome,
            report,
            response,
        } = result;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(number as usize) else {
            return;
        };
        attempt.end();
        self.gauges.attempts.set(self.gauges.attempts.get() - 1);
        let server = attempt.server;
        let sent_at = attempt.sent_at;
        // A backend's latency is the time from the last byte of the request to the first byte of the response.
        let latency_started_at = request
            .body_received_at
            .map_or(sent_at, |received_at| received_at.max(sent_at));
        let now = self.clock.now();
        let responded_at = request
            .end_streaming(&self.counters, number, outcome)
            .unwrap_or(now);
        // Only the first response goes to the client; the decision module is notified of all of them.
        if let Some(response) = response {
            request.respond(&self.counters, FinalResponse::Complete(response));
        }
        let times = AttemptTimes {
            since_request: responded_at.saturating_sub(request.received_at),
            since_sent: responded_at.saturating_sub(latency_started_at),
        };
        if let Some(observer) = &self.observer {
            observer.attempt_ended(responded_at, request.call.class, server, outcome, times);
        }
        let end = AttemptEnd {
            id,
            attempt: number,
            server,
            outcome,
            elapsed: times.since_sent,
            has_final_response: !request.awaits_response(),
            body_consumed: request.call.is_body_consumed(),
            report,
        };
        self.handle_event(Event::AttemptEnded(end));
        self.remove_if_done(id);
    }

    fn on_health_checked(&mut self, result: HealthCheckResult) {
        let elapsed = self.clock.now().saturating_sub(result.sent_at);
        self.handle_event(Event::HealthChecked(HealthCheckEnd {
            server: result.server,
            outcome: result.outcome,
            elapsed,
            report: result.report,
        }));
    }

    fn on_endpoint_list(&mut self, update: BackendUpdate) {
        self.backends.update_backends(&update, self.clock.now());
        let endpoints = update
            .backends
            .into_iter()
            .map(|backend| backend.endpoint)
            .collect();
        self.handle_event(Event::EndpointList {
            update: update.kind,
            endpoints,
        });
    }

    /// Fails a request that has no response at its deadline, whatever the decision module does.
    fn on_request_deadline(&mut self, id: RequestId) {
        let Some(request) = awaiting_response(&mut self.requests, id) else {
            return;
        };
        let body_pending = request.body_pending();
        let deadline = request.response_deadline();
        if deadline.saturating_sub(self.timer_resolution) > self.clock.now() {
            return self.set_request_deadline(id, deadline); // the client has not sent its last byte yet
        }
        if body_pending {
            self.counters.body_overdue();
            self.handle_event(Event::BodyOverdue { id });
        }
        let Some(request) = awaiting_response(&mut self.requests, id) else {
            return;
        };
        log_peer(format_args!(
            "request {} failed: it had no response at its deadline",
            id.0
        ));
        request.respond(&self.counters, FinalResponse::TimedOut);
        // For the decision module, the request ends as if its client had disconnected.
        self.handle_event(Event::ClientGone { id });
        self.remove_if_done(id);
    }
}

/// The request, if its client still waits for the final response.
fn awaiting_response(
    requests: &mut BTreeMap<RequestId, PendingRequest>,
    id: RequestId,
) -> Option<&mut PendingRequest> {
    requests
        .get_mut(&id)
        .filter(|request| request.awaits_response())
}
