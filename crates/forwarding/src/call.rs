//! A call as every protocol sees it, and its answer.

use crate::{BodyStream, StreamingBody};
use bytes::Bytes;
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// What the bytes of a call or an answer are. The core never looks; a protocol that meets a form it can't
/// carry says that the attempt was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PayloadFormat(pub &'static str);

impl PayloadFormat {
    /// A body with no more said of it.
    pub const PLAIN: PayloadFormat = PayloadFormat("");
}

/// Bytes, and what they are.
#[derive(Clone, Debug, PartialEq)]
pub struct Payload {
    /// What they are.
    pub format: PayloadFormat,
    /// The bytes, with their room in the memory budget.
    pub bytes: Bytes,
}

impl Payload {
    /// A body with no more said of it.
    pub fn plain(bytes: Bytes) -> Self {
        Payload {
            format: PayloadFormat::PLAIN,
            bytes,
        }
    }
}

/// Tells whether whoever asked is still there to be answered, as of now.
pub type ClientCheck = Rc<dyn Fn() -> bool>;

/// Tells whether a body is an answer to a call at all.
pub type ResponseValidator = Rc<dyn Fn(&[u8]) -> bool>;

/// A final answer.
pub enum FinalResponse {
    /// A backend's answer, as it came.
    Complete(Payload),
    /// A backend's long answer, as it comes: what is there, bytes in all where that is known, and the rest.
    Streamed {
        first: Payload,
        length: Option<u64>,
        rest: Box<dyn BodyStream>,
    },
    /// To try again is harmless, perhaps after that time: it never ran, or its class may be repeated as it is.
    Rejected {
        /// After this time, where the settings allow to say so.
        retry_after: Option<Duration>,
        /// It is known never to have run. Otherwise it may have.
        never_ran: bool,
    },
    /// It has failed, with no promise.
    Failed,
    /// It has failed at its deadline, with no promise.
    TimedOut,
}

/// What all attempts of a request share: what goes on unchanged, and what binds them.
pub struct Call {
    /// The class's position in the settings: backend protocols may word a call by it.
    pub class: usize,
    /// Whether the class may be repeated freely: in HTTP's words, a GET.
    pub safe: bool,
    /// What is asked for, as a path and perhaps a query.
    pub target: Bytes,
    /// The call's name among all that are open.
    pub call_id: Bytes,
    /// By which backends know a repeat.
    pub idempotency_key: Option<Bytes>,
    /// What goes on: all of it, or its first bytes where the rest is coming.
    pub payload: Payload,
    /// The rest, where it is still coming.
    pub streaming_body: Option<StreamingBody>,
    /// Judges whether a backend's body is an answer to this call at all, where its protocol can't tell.
    pub response_validator: Option<ResponseValidator>,
    /// Whether anybody waits for an answer. Where nobody does, the call is over once it may have run.
    pub expects_response: bool,
    /// Where it can be asked whether the client is still there.
    pub client_check: Option<ClientCheck>,
    /// When the client stops waiting; where the body is still coming, when it must have come.
    pub deadline: Cell<Duration>,
    /// How long backends remember a keyed request, from the first byte of the first attempt.
    pub idempotency_window: Option<Duration>,
    /// What has been sent for it so far.
    pub progress: CallProgress,
}

/// What has been sent for a call so far.
#[derive(Default)]
pub struct CallProgress {
    /// When the first byte of the first attempt was sent.
    pub first_sent_at: Cell<Option<Duration>>,
    /// The final response has been given, or the client has left: nothing more is sent.
    pub finished: Cell<bool>,
    /// Attempts that are in flight or may have run.
    pub claimed_attempts: Cell<u32>,
}

impl Call {
    /// Whether an attempt may still be written at `now`: not past its time `until`, nor past the window in
    /// which backends drop its repeats, nor once the call has its answer, nor beside another attempt of a call
    /// that nobody waits for, nor once its client has gone. Time has passed since the decision: what was permitted then
    /// may not be any more. If so, it counts as written from now on.
    pub fn claim(&self, now: Duration, until: Duration) -> bool {
        let forgotten = self
            .idempotency_window
            .zip(self.progress.first_sent_at.get())
            .is_some_and(|(w, first)| now >= first + w);
        if self.progress.finished.get()
            || now >= until
            || forgotten
            || (!self.expects_response && self.progress.claimed_attempts.get() > 0)
        {
            return false;
        }
        if self.client_check.as_ref().is_some_and(|here| !here()) {
            return false; // the news of that is on its way to the node
        }
        if self.progress.first_sent_at.get().is_none() {
            self.progress.first_sent_at.set(Some(now));
        }
        self.progress
            .claimed_attempts
            .set(self.progress.claimed_attempts.get() + 1);
        true
    }

    /// Whether its body can't be sent again.
    pub fn is_body_consumed(&self) -> bool {
        self.streaming_body
            .as_ref()
            .is_some_and(StreamingBody::is_consumed)
    }

    /// Takes a claim back: the attempt is known never to have run.
    pub fn release_claim(&self) {
        self.progress
            .claimed_attempts
            .set(self.progress.claimed_attempts.get().saturating_sub(1));
    }
}

/// What a request is about, as the module's number: the same text gives the same number at every node.
pub fn key_hash(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}
