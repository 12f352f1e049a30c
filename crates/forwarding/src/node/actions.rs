//! Execution of the actions of the decision module.

use super::Node;
use super::pending_request::AttemptSlot;
use super::timers::TimerKind;
use crate::{
    Attempt, AttemptResult, DiscoveryCommand, FinalResponse, HealthCheckResponse,
    HealthCheckResult, LocalBoxFuture, Message, RequestMessage, ResponseStarted, StopReason,
};
use sillward_balancer::{Action, AttemptEnd, Event, Outcome, RequestId, ServerId};
use sillward_logging::log;
use sillward_runtime::task::spawn_local;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

impl Node {
    /// Executes an action. If it is an attempt that can't be sent, returns the event of its end.
    pub(super) fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send {
                id,
                server,
                timeout,
            } => return self.send(id, server, timeout),
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail { id } => self.close_request(id, FinalResponse::Failed),
            Action::CancelAttempt { id, attempt } => {
                self.stop_attempt(id, attempt, StopReason::Cancelled);
            }
            Action::SetTimer { after, token } => {
                self.set_timer(self.clock.now() + after, TimerKind::Balancer(token));
            }
            Action::HealthCheck { server } => self.check_health(server),
            Action::CloseIdle { server } => self.backends.close_idle(server),
            Action::WatchEndpoints { on } => self.send_to_discovery(DiscoveryCommand::Watch(on)),
            Action::FetchEndpoints => self.send_to_discovery(DiscoveryCommand::Fetch),
            // The platform allows no messages between nodes, and the decision module sends none.
            Action::SendToPeer { .. } => log("dropped a message to another node"),
            Action::Log { text } => log(text),
        }
        None
    }

    /// Stops an attempt that is in flight, unless the client is receiving its response.
    pub(super) fn stop_attempt(&mut self, id: RequestId, number: u32, reason: StopReason) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stop_attempt(number, reason);
        }
    }

    /// Starts an attempt. Returns the event of its end if it can't be sent.
    fn send(&mut self, id: RequestId, server: ServerId, timeout: Duration) -> Option<Event> {
        let now = self.clock.now();
        let request = self.requests.get_mut(&id)?;
        let number = request.attempts.len() as u32;
        let deadline = request.call.deadline.get();
        if !request.awaits_response()
            || now >= deadline
            || request.attempts.len() >= self.max_attempts
        {
            request.attempts.push(AttemptSlot::not_sent(server, now));
            return Some(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: number,
                server,
                outcome: Outcome::NotSent,
                elapsed: Duration::ZERO,
                has_final_response: !request.awaits_response(),
                body_consumed: request.call.is_body_consumed(),
                report: None,
            }));
        }
        let attempt_deadline = if timeout.is_zero() {
            deadline
        } else {
            deadline.min(now + timeout)
        };
        let (stop, stopped) = oneshot::channel();
        let (response_started, started) = oneshot::channel();
        let attempt = Attempt {
            id,
            number,
            server,
            deadline: attempt_deadline,
            call: request.call.clone(),
            response_started: Cell::new(Some(response_started)),
        };
        request
            .attempts
            .push(AttemptSlot::running(server, now, stop));
        self.set_timer(attempt_deadline, TimerKind::AttemptDeadline(id, number));
        self.gauges.attempts.set(self.gauges.attempts.get() + 1);
        let result = self.backends.clone().attempt(attempt, stopped);
        spawn_local(report_attempt(
            result,
            started,
            self.request_messages.clone(),
        ));
        None
    }

    fn reject(&mut self, id: RequestId, retry_after: Option<Duration>) {
        let request = self.requests.get(&id);
        if let (Some(observer), Some(request)) = (&self.observer, request) {
            observer.request_rejected(self.clock.now(), request.call.class);
        }
        let never_ran =
            request.is_none_or(|request| request.call.progress.claimed_attempts.get() == 0);
        let rejected = FinalResponse::Rejected {
            retry_after,
            never_ran,
        };
        self.close_request(id, rejected);
    }

    /// Gives the final response of a request for which the decision module sends no further attempt.
    fn close_request(&mut self, id: RequestId, response: FinalResponse) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.respond(&self.counters, response);
            self.closed_requests.push(id);
        }
    }

    fn check_health(&self, server: ServerId) {
        let sent_at = self.clock.now();
        let messages = self.messages.clone();
        if let Some(observer) = &self.observer {
            observer.health_check_started(sent_at, server);
        }
        let response = self.backends.clone().health_check(server);
        spawn_local(async move {
            let HealthCheckResponse { outcome, report } = response.await;
            let result = HealthCheckResult {
                server,
                outcome,
                sent_at,
                report,
            };
            let _ = messages.send(Message::HealthChecked(result)).await; // fails only if the node has ended
        });
    }

    fn send_to_discovery(&self, command: DiscoveryCommand) {
        if self.discovery.try_send(command).is_err() {
            log("dropped a command to the discovery client: its queue is full or closed");
        }
    }
}

/// Notifies the node of the start of an attempt's streamed response, if there is one, and of the attempt's end.
async fn report_attempt(
    mut result: LocalBoxFuture<AttemptResult>,
    started: oneshot::Receiver<ResponseStarted>,
    messages: mpsc::UnboundedSender<RequestMessage>,
) {
    // The attempt is polled by reference because it continues after its response has started.
    let early = tokio::select! {
        biased;
        result = &mut result => Some(result),
        Ok(started) = started => {
            let _ = messages.send(RequestMessage::ResponseStarted(started));
            None
        }
    };
    let result = match early {
        Some(result) => result,
        None => result.await,
    };
    let _ = messages.send(RequestMessage::AttemptEnded(result)); // fails only if the node has ended
}
