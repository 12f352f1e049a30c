//! A request in the request table: the state of its final response and of its attempts.

use super::timers::TimerId;
use crate::{Call, FinalResponse, RequestPermit, StopReason};
use sillward_balancer::{Outcome, ServerId};
use sillward_metrics::{Counters, InProgressGuard, RequestOutcome};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A request that has no final response yet, or has an attempt in flight.
pub(super) struct PendingRequest {
    pub(super) call: Rc<Call>,
    pub(super) received_at: Duration,
    /// When the last byte of a streamed body was received.
    pub(super) body_received_at: Option<Duration>,
    /// The attempts in the order of sending. The number of an attempt is its index.
    pub(super) attempts: Vec<AttemptSlot>,
    /// The timers to cancel when the request is removed. They may be due much later, since the client chooses its time
    /// budget freely.
    pub(super) timers: Vec<TimerId>,
    /// The timer of the deadline, which moves while the body is being received.
    pub(super) deadline_timer: Option<TimerId>,
    response: ResponseState,
    /// Held until the request is removed from the request table.
    _permit: RequestPermit,
}

/// The state of the final response.
enum ResponseState {
    /// The client waits for it.
    Awaited {
        response_sender: oneshot::Sender<FinalResponse>,
        in_progress: InProgressGuard,
    },
    /// The client is receiving the response of an attempt.
    Streaming {
        attempt: u32,
        started_at: Duration,
        _in_progress: InProgressGuard,
    },
    /// It was given, or the client has disconnected.
    Done,
}

/// An attempt of a request.
pub(super) struct AttemptSlot {
    pub(super) server: ServerId,
    pub(super) sent_at: Duration,
    state: AttemptState,
}

enum AttemptState {
    /// In flight.
    Running { stop: oneshot::Sender<StopReason> },
    /// Stopped; the node has not received its result yet.
    Stopping,
    /// Ended, or never sent.
    Ended,
}

impl PendingRequest {
    pub(super) fn new(
        call: Call,
        received_at: Duration,
        response_sender: oneshot::Sender<FinalResponse>,
        in_progress: InProgressGuard,
        permit: RequestPermit,
    ) -> Self {
        PendingRequest {
            call: Rc::new(call),
            received_at,
            body_received_at: None,
            attempts: Vec::new(),
            timers: Vec::new(),
            deadline_timer: None,
            response: ResponseState::Awaited {
                response_sender,
                in_progress,
            },
            _permit: permit,
        }
    }

    /// By when the client must have its final response.
    ///
    /// The time budget counts from the client's last byte. While the node does not read the body, since a backend takes none
    /// of it, the last byte counts as sent at the earliest moment at which it may have been.
    pub(super) fn response_deadline(&self) -> Duration {
        let deadline = self.call.deadline.get();
        match &self.call.streaming_body {
            Some(body) if self.body_pending() => deadline.min(body.response_deadline()),
            _ => deadline,
        }
    }

    /// Whether the body is still being received.
    pub(super) fn body_pending(&self) -> bool {
        self.call.streaming_body.is_some() && self.body_received_at.is_none()
    }

    /// Whether the client still waits for the final response.
    pub(super) fn awaits_response(&self) -> bool {
        matches!(self.response, ResponseState::Awaited { .. })
    }

    /// Whether the request may be removed from the request table.
    pub(super) fn is_done(&self) -> bool {
        !self.awaits_response() && self.attempts.iter().all(AttemptSlot::has_ended)
    }

    /// Gives the final response, unless it was given already or the client has disconnected.
    pub(super) fn respond(&mut self, counters: &Counters, response: FinalResponse) {
        let outcome = match response {
            FinalResponse::Complete(_) => Some(RequestOutcome::Served),
            FinalResponse::Streamed { .. } => None, // counted by `end_streaming`
            FinalResponse::Rejected { .. } => Some(RequestOutcome::Rejected),
            FinalResponse::Failed | FinalResponse::TimedOut => Some(RequestOutcome::Failed),
        };
        self.call.progress.finished.set(true);
        let Some((response_sender, in_progress)) = self.take_awaited() else {
            return;
        };
        drop(in_progress);
        if let Some(outcome) = outcome {
            counters.request_ended(self.call.class, outcome);
        }
        let _ = response_sender.send(response); // fails only if the client has just disconnected
    }

    /// Gives the start of a streamed response. Returns false if the final response was given already or the client has
    /// disconnected. [`PendingRequest::end_streaming`] counts the outcome of the response.
    pub(super) fn start_streaming(
        &mut self,
        attempt: u32,
        now: Duration,
        response: FinalResponse,
    ) -> bool {
        self.call.progress.finished.set(true);
        let Some((response_sender, in_progress)) = self.take_awaited() else {
            return false;
        };
        self.response = ResponseState::Streaming {
            attempt,
            started_at: now,
            _in_progress: in_progress,
        };
        let _ = response_sender.send(response); // fails only if the client has just disconnected
        true
    }

    /// Ends the streamed response of an attempt, and returns when it started; `None` if the attempt has none.
    pub(super) fn end_streaming(
        &mut self,
        counters: &Counters,
        attempt: u32,
        outcome: Outcome,
    ) -> Option<Duration> {
        let started_at = match self.response {
            ResponseState::Streaming {
                attempt: streaming,
                started_at,
                ..
            } if streaming == attempt => started_at,
            _ => return None,
        };
        self.response = ResponseState::Done;
        match outcome {
            Outcome::Served => counters.request_ended(self.call.class, RequestOutcome::Served),
            Outcome::Cancelled => {} // the client has disconnected
            _ => counters.request_ended(self.call.class, RequestOutcome::Failed),
        }
        Some(started_at)
    }

    /// Marks the request as one whose client has disconnected.
    pub(super) fn abandon(&mut self) {
        self.response = ResponseState::Done;
        self.call.progress.finished.set(true);
    }

    /// Stops an attempt that is in flight, unless the client is receiving its response.
    pub(super) fn stop_attempt(&mut self, number: u32, reason: StopReason) {
        if matches!(self.response, ResponseState::Streaming { attempt, .. } if attempt == number) {
            return;
        }
        if let Some(attempt) = self.attempts.get_mut(number as usize) {
            attempt.stop(reason);
        }
    }

    /// Changes the state from [`ResponseState::Awaited`] to [`ResponseState::Done`] and returns what the former held.
    fn take_awaited(&mut self) -> Option<(oneshot::Sender<FinalResponse>, InProgressGuard)> {
        if !self.awaits_response() {
            return None;
        }
        match std::mem::replace(&mut self.response, ResponseState::Done) {
            ResponseState::Awaited {
                response_sender,
                in_progress,
            } => Some((response_sender, in_progress)),
            ResponseState::Streaming { .. } | ResponseState::Done => None,
        }
    }
}

impl AttemptSlot {
    /// Creates an attempt in flight.
    pub(super) fn running(
        server: ServerId,
        sent_at: Duration,
        stop: oneshot::Sender<StopReason>,
    ) -> Self {
        AttemptSlot {
            server,
            sent_at,
            state: AttemptState::Running { stop },
        }
    }

    /// Creates an attempt that was not sent.
    pub(super) fn not_sent(server: ServerId, now: Duration) -> Self {
        AttemptSlot {
            server,
            sent_at: now,
            state: AttemptState::Ended,
        }
    }

    /// Marks the attempt as ended.
    pub(super) fn end(&mut self) {
        self.state = AttemptState::Ended;
    }

    fn has_ended(&self) -> bool {
        matches!(self.state, AttemptState::Ended)
    }

    fn stop(&mut self, reason: StopReason) {
        if !matches!(self.state, AttemptState::Running { .. }) {
            return;
        }
        if let AttemptState::Running { stop } =
            std::mem::replace(&mut self.state, AttemptState::Stopping)
        {
            let _ = stop.send(reason); // fails only if the attempt has just ended: its result follows
        }
    }
}
