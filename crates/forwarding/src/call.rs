//! A request as every protocol sees it.

use crate::{Payload, StreamingBody};
use bytes::Bytes;
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// Returns whether the client is still connected.
pub type ClientConnectedCheck = Rc<dyn Fn() -> bool>;

/// Returns whether a body is a response to the call.
pub type ResponseValidator = Rc<dyn Fn(&[u8]) -> bool>;

/// What all attempts of a request share: what is sent, and the rules for sending it.
///
/// Times are measured by the node's clock, as durations since 1970.
pub struct Call {
    /// The position of the class in the settings.
    pub class: usize,
    /// Whether the class is idempotent without a key: in HTTP, a GET.
    pub safe: bool,
    /// What is asked for: a path, perhaps with a query.
    pub target: Bytes,
    /// Identifies the call among all open ones.
    pub call_id: Bytes,
    /// By which backends recognise a repeated request.
    pub idempotency_key: Option<Bytes>,
    /// The body, or its first bytes where the rest is still being received.
    pub payload: Payload,
    /// The rest of the body, where it is still being received.
    pub streaming_body: Option<StreamingBody>,
    /// Checks a backend's response, where the backend's protocol can't.
    pub response_validator: Option<ResponseValidator>,
    /// Whether the client waits for a response. If not, the call gets no further attempt once it may have run.
    pub expects_response: bool,
    /// Checks whether the client is still connected, where that can be checked.
    pub client_connected_check: Option<ClientConnectedCheck>,
    /// When the client stops waiting; while the body is being received, when all of it must have been received.
    pub deadline: Cell<Duration>,
    /// How long backends remember an idempotency key, from the first byte of the first attempt.
    pub idempotency_window: Option<Duration>,
    /// What has been sent so far.
    pub progress: CallProgress,
}

/// What has been sent for a call so far.
#[derive(Default)]
pub struct CallProgress {
    /// When the first byte of the first attempt was sent.
    pub first_sent_at: Cell<Option<Duration>>,
    /// The final response has been given, or the client has left: nothing more is sent.
    pub finished: Cell<bool>,
    /// The number of attempts that are in flight or may have run.
    pub claimed_attempts: Cell<u32>,
}

impl Call {
    /// Claims the call for an attempt that is about to write its first byte at `now`. False if it must not be written.
    ///
    /// Time has passed since the decision to send it. The attempt must not be written past its deadline, past the
    /// window in which backends recognise the key, once the call is finished or its client has left, nor while
    /// another attempt is claimed for a call without a response.
    pub fn claim(&self, now: Duration, attempt_deadline: Duration) -> bool {
        if self.progress.finished.get()
            || now >= attempt_deadline
            || self.is_key_forgotten(now)
            || self.is_spent_oneway()
            || self.has_client_left()
        {
            return false;
        }
        if self.progress.first_sent_at.get().is_none() {
            self.progress.first_sent_at.set(Some(now));
        }
        let claimed = &self.progress.claimed_attempts;
        claimed.set(claimed.get() + 1);
        true
    }

    /// Releases a claim: its attempt is known never to have run.
    pub fn release_claim(&self) {
        let claimed = &self.progress.claimed_attempts;
        claimed.set(claimed.get().saturating_sub(1));
    }

    /// Whether the body can't be sent again.
    pub fn is_body_consumed(&self) -> bool {
        self.streaming_body
            .as_ref()
            .is_some_and(StreamingBody::is_consumed)
    }

    /// Whether backends may have dropped the idempotency key of the first attempt.
    fn is_key_forgotten(&self, now: Duration) -> bool {
        match (self.idempotency_window, self.progress.first_sent_at.get()) {
            (Some(window), Some(first_sent_at)) => now >= first_sent_at + window,
            _ => false,
        }
    }

    /// Whether the call has no response and has had its one attempt.
    fn is_spent_oneway(&self) -> bool {
        !self.expects_response && self.progress.claimed_attempts.get() > 0
    }

    /// Whether the client has left, even if the node has not been notified yet.
    fn has_client_left(&self) -> bool {
        self.client_connected_check
            .as_ref()
            .is_some_and(|is_connected| !is_connected())
    }
}

/// The number under which the decision module knows a key. No policy uses it.
pub fn key_hash(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}
