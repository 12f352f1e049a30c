//! Requests in protocol-neutral form.

use crate::{Payload, StreamingBody};
use bytes::Bytes;
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// Returns whether the client is still connected.
pub type ClientConnectedCheck = Rc<dyn Fn() -> bool>;

/// Returns whether a response body is a valid response to the call.
pub type ResponseValidator = Rc<dyn Fn(&[u8]) -> bool>;

/// A request in protocol-neutral form, shared by all its attempts: the data to send, and the rules for sending it.
///
/// Times are readings of the node's clock, as durations since the Unix epoch.
pub struct Call {
    /// The index of the request's class in the settings.
    pub class: usize,
    /// Whether the class is idempotent without an idempotency key, as GET is in HTTP.
    pub safe: bool,
    /// The request target: a path and an optional query.
    pub target: Bytes,
    /// The identifier of the call, unique among all open calls.
    pub call_id: Bytes,
    /// The key by which backends recognise a repeated request.
    pub idempotency_key: Option<Bytes>,
    /// The body, or its first bytes if the rest is still being received.
    pub payload: Payload,
    /// The rest of the body, if it is still being received.
    pub streaming_body: Option<StreamingBody>,
    /// Validates a backend's response where the backend's protocol can't.
    pub response_validator: Option<ResponseValidator>,
    /// Whether the client expects a response. If not, the call is not retried once it may have run.
    pub expects_response: bool,
    /// Returns whether the client is still connected; `None` if that can't be checked.
    pub client_connected_check: Option<ClientConnectedCheck>,
    /// When the client stops waiting for the response. While the body is being received, the time by which it must be
    /// complete.
    pub deadline: Cell<Duration>,
    /// How long backends remember an idempotency key, from the first byte of the first attempt.
    pub idempotency_window: Option<Duration>,
    /// The state of the call that its attempts share.
    pub progress: Rc<CallProgress>,
}

/// The state of a call that its attempts share.
#[derive(Default)]
pub struct CallProgress {
    /// When the first byte of the first attempt was sent.
    pub first_sent_at: Cell<Option<Duration>>,
    /// Whether the final response was given or the client has disconnected. No attempt is sent after that.
    pub finished: Cell<bool>,
    /// The number of attempts that are in flight or may have run.
    pub claimed_attempts: Cell<u32>,
}

impl Call {
    /// Claims the call for an attempt that is about to write its first byte at `now`. Returns false if the attempt must
    /// not be written.
    ///
    /// The conditions are checked here because time has passed since the decision to send the attempt. It must not be
    /// written after its deadline, after the idempotency window, once the call is finished or its client has
    /// disconnected, or if a call without a response has another claimed attempt.
    pub fn claim(&self, now: Duration, attempt_deadline: Duration) -> bool {
        if self.progress.finished.get()
            || now >= attempt_deadline
            || self.is_idempotency_key_expired(now)
            || self.is_oneway_claimed()
            || self.is_client_disconnected()
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

    /// Releases the claim of an attempt that is known never to have run.
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

    /// Whether the idempotency window has passed, so that backends may have dropped the key of the first attempt.
    fn is_idempotency_key_expired(&self, now: Duration) -> bool {
        match (self.idempotency_window, self.progress.first_sent_at.get()) {
            (Some(window), Some(first_sent_at)) => now >= first_sent_at + window,
            _ => false,
        }
    }

    /// Whether the call has no response and its only attempt is claimed.
    fn is_oneway_claimed(&self) -> bool {
        !self.expects_response && self.progress.claimed_attempts.get() > 0
    }

    /// Whether the client has disconnected, even if the node has not been notified yet.
    fn is_client_disconnected(&self) -> bool {
        self.client_connected_check
            .as_ref()
            .is_some_and(|is_connected| !is_connected())
    }
}

/// Returns the number that identifies an idempotency key in the decision module: the key itself if it is a hexadecimal
/// number of up to 64 bits, else a hash of it. No policy uses the number.
pub fn key_hash(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}
