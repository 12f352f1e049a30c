//! A request in the request table: the state of its final response and of its attempts.

use super::timers::TimerId;
use crate::{Call, FinalResponse, StopReason};
use sillward_balancer::{Outcome, ServerId};
use sillward_metrics::{Counters, InProgressGuard, RequestOutcome};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A request that has no final response yet, or an attempt in flight.
pub(super) struct PendingRequest {
    pub(super) call: Rc<Call>,
    pub(super) received_at: Duration,
    /// When the last byte of a streamed body was received.
    pub(super) body_received_at: Option<Duration>,
    /// In the order of sending; the number of an attempt is its position.
    pub(super) attempts: Vec<AttemptSlot>,
    /// Removed with the request: a client may say that it waits for as long as it likes.
    pub(super) timers: Vec<TimerId>,
    response: ResponseState,
}

/// What has become of the final response.
enum ResponseState {
    /// It is owed to the client.
    Owed {
        response_sender: oneshot::Sender<FinalResponse>,
        in_progress: InProgressGuard,
    },
    /// The client is receiving the response of an attempt.
    Streaming {
        attempt: u32,
        began_at: Duration,
        _in_progress: InProgressGuard,
    },
    /// It has been given, or the client has left.
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
    /// Stopped; its result is on its way.
    Stopping,
    /// It has ended, or was never sent.
    Ended,
}

impl PendingRequest {
    pub(super) fn new(
        call: Call,
        received_at: Duration,
        response_sender: oneshot::Sender<FinalResponse>,
        in_progress: InProgressGuard,
    ) -> Self {
        PendingRequest {
            call: Rc::new(call),
            received_at,
            body_received_at: None,
            attempts: Vec::new(),
            timers: Vec::new(),
            response: ResponseState::Owed {
                response_sender,
                in_progress,
            },
        }
    }

    /// Whether the client still waits for the final response.
    pub(super) fn owes_response(&self) -> bool {
        matches!(self.response, ResponseState::Owed { .. })
    }

    /// Whether it may leave the request table.
    pub(super) fn is_done(&self) -> bool {
        !self.owes_response() && self.attempts.iter().all(AttemptSlot::has_ended)
    }

    /// Gives the final response, unless it has been given.
    pub(super) fn respond(&mut self, counters: &Counters, response: FinalResponse) {
        let outcome = match response {
            FinalResponse::Complete(_) => Some(RequestOutcome::Served),
            FinalResponse::Streamed { .. } => None, // counted by `end_streaming`
            FinalResponse::Rejected { .. } => Some(RequestOutcome::Rejected),
            FinalResponse::Failed | FinalResponse::TimedOut => Some(RequestOutcome::Failed),
        };
        self.call.progress.finished.set(true);
        let Some((response_sender, in_progress)) = self.take_owed() else {
            return;
        };
        drop(in_progress);
        if let Some(outcome) = outcome {
            counters.request_ended(self.call.class, outcome);
        }
        let _ = response_sender.send(response); // fails only if the client has just left
    }

    /// Gives the beginning of a streamed response; false if a final response has been given. How the response ends
    /// is counted by [`PendingRequest::end_streaming`].
    pub(super) fn start_streaming(
        &mut self,
        attempt: u32,
        now: Duration,
        response: FinalResponse,
    ) -> bool {
        self.call.progress.finished.set(true);
        let Some((response_sender, in_progress)) = self.take_owed() else {
            return false;
        };
        self.response = ResponseState::Streaming {
            attempt,
            began_at: now,
            _in_progress: in_progress,
        };
        let _ = response_sender.send(response); // fails only if the client has just left
        true
    }

    /// Ends the streamed response with its attempt, and returns when it began; `None` if that attempt has none.
    pub(super) fn end_streaming(
        &mut self,
        counters: &Counters,
        attempt: u32,
        outcome: Outcome,
    ) -> Option<Duration> {
        let began_at = match self.response {
            ResponseState::Streaming {
                attempt: streaming,
                began_at,
                ..
            } if streaming == attempt => began_at,
            _ => return None,
        };
        self.response = ResponseState::Done;
        match outcome {
            Outcome::Served => counters.request_ended(self.call.class, RequestOutcome::Served),
            Outcome::Cancelled => {} // the client has left
            _ => counters.request_ended(self.call.class, RequestOutcome::Failed),
        }
        Some(began_at)
    }

    /// The client has left.
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

    /// The end of an owed response. The next state is [`ResponseState::Done`].
    fn take_owed(&mut self) -> Option<(oneshot::Sender<FinalResponse>, InProgressGuard)> {
        if !self.owes_response() {
            return None;
        }
        match std::mem::replace(&mut self.response, ResponseState::Done) {
            ResponseState::Owed {
                response_sender,
                in_progress,
            } => Some((response_sender, in_progress)),
            ResponseState::Streaming { .. } | ResponseState::Done => None,
        }
    }
}

impl AttemptSlot {
    /// An attempt in flight.
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

    /// An attempt that was not sent.
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
            let _ = stop.send(reason); // fails only if the attempt has just ended: its result is on its way
        }
    }
}
