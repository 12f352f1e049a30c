//! Gives final responses from this node: rejected if the client may retry safely, otherwise failed. No other code does.

use super::Balancer;
use super::request::Request;
use super::send_gate::SendBlocked;
use crate::action::Action;
use crate::ids::RequestId;
use crate::settings::{Idempotency, Scope};

/// Why a request gets its final response from this node and not from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FinishReason {
    /// Its expected work takes longer than its deadline allows.
    ExpectedWorkTooLong,
    /// Its deadline passed.
    DeadlinePassed,
    /// No server was eligible while its body was still being received, and the time that the request would have after its
    /// body has passed.
    NoServerDuringBody,
    /// It needs a retry, and the retry budget is exhausted.
    RetryBudgetExhausted,
    /// It needs a retry, and no other server is eligible.
    NoServerForRetry,
    /// All eligible servers are overloaded.
    ServersOverloaded,
    /// A safety rule forbids sending it to the selected server.
    SendBlocked(SendBlocked),
}

/// Whether a client may safely retry a request: it is idempotent, no attempt may have run, or all servers discard
/// duplicates of its idempotency key. The window of the key is not considered.
fn is_safe_to_retry(request: &Request) -> bool {
    match request.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed {
            scope: Scope::All, ..
        } => true,
        Idempotency::Keyed { .. } | Idempotency::NonIdempotent => {
            request.first_that_may_have_run().is_none()
        }
    }
}

impl Balancer {
    /// Gives a request its final response, unless it has one, its client is receiving a response, or an attempt in flight may
    /// still be served in time.
    pub(super) fn finish(
        &mut self,
        id: RequestId,
        reason: FinishReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.closed || request.streaming.is_some() {
            return;
        }
        if request.in_flight() > 0 && self.now < request.deadline {
            return;
        }
        *self.finish_counts.entry(reason).or_default() += 1;
        let retry_after = self.settings.limits.max_retry_after;
        actions.push(if is_safe_to_retry(request) {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
        self.close(id, actions);
    }

    /// Closes a request: it gets no further attempts. Attempts in flight are cancelled if the limits allow it, and the request
    /// stays in the table until they have ended.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.health_checks.stop_waiting(id);
        self.requests.set_held(id, false);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let cancel = self.settings.limits.cancel_attempts;
        if !request.closed && cancel && request.streaming.is_none() {
            let attempts = request.attempts_in_flight();
            actions.extend(attempts.map(|attempt| Action::CancelAttempt { id, attempt }));
        }
        request.closed = true;
        if request.in_flight() == 0 {
            self.requests.remove(id);
        }
    }
}
