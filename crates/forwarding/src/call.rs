//! A call as every protocol sees it, and its answer.

use crate::{Coming, Rest};
use bytes::Bytes;
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// What the bytes of a call or an answer are. The core never looks; a protocol that meets a form it can't
/// carry says that the attempt was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Form(pub &'static str);

impl Form {
    /// A body with no more said of it.
    pub const PLAIN: Form = Form("");
}

/// Bytes, and what they are.
#[derive(Clone, Debug, PartialEq)]
pub struct Content {
    /// What they are.
    pub form: Form,
    /// The bytes, with their room in the memory budget.
    pub bytes: Bytes,
}

impl Content {
    /// A body with no more said of it.
    pub fn plain(bytes: Bytes) -> Self {
        Content {
            form: Form::PLAIN,
            bytes,
        }
    }
}

/// Tells whether whoever asked is still there to be answered, as of now.
pub type Here = Rc<dyn Fn() -> bool>;

/// Tells whether a body is an answer to a call at all.
pub type Judge = Rc<dyn Fn(&[u8]) -> bool>;

/// A final answer.
pub enum Answer {
    /// A backend's answer, as it came.
    Served(Content),
    /// A backend's long answer, as it comes: what is there, bytes in all where that is known, and the rest.
    Streamed(Content, Option<u64>, Box<dyn Rest>),
    /// To try again is harmless, perhaps after that time: it never ran, or its class may be repeated as it is.
    Refused {
        /// After this time, where the settings allow to say so.
        after: Option<Duration>,
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
    pub content: Content,
    /// The rest, where it is still coming.
    pub coming: Option<Coming>,
    /// Judges whether a backend's body is an answer to this call at all, where its protocol can't tell.
    pub judge: Option<Judge>,
    /// Whether anybody waits for an answer. Where nobody does, the call is over once it may have run.
    pub answered: bool,
    /// Where it can be asked whether the client is still there.
    pub here: Option<Here>,
    /// When the client stops waiting; where the body is still coming, when it must have come.
    pub deadline: Cell<Duration>,
    /// How long backends remember a keyed request, from the first byte of the first attempt.
    pub window: Option<Duration>,
    /// When the first byte of the first attempt went out.
    pub first_byte: Cell<Option<Duration>>,
    /// It has its final answer, or its client has left: nothing more is sent for it.
    pub over: Cell<bool>,
    /// Attempts that are out or may have run.
    pub out: Cell<u32>,
}

impl Call {
    /// Whether an attempt may still be written at `now`: not past its time `until`, nor past the window in
    /// which backends drop its repeats, nor once the call has its answer, nor beside another attempt of a call
    /// that nobody waits for, nor once its client has gone. Time has passed since the decision: what was permitted then
    /// may not be any more. If so, it counts as written from now on.
    pub fn claim(&self, now: Duration, until: Duration) -> bool {
        let forgotten = self
            .window
            .zip(self.first_byte.get())
            .is_some_and(|(w, first)| now >= first + w);
        if self.over.get() || now >= until || forgotten || (!self.answered && self.out.get() > 0) {
            return false;
        }
        if self.here.as_ref().is_some_and(|here| !here()) {
            return false; // the news of that is on its way to the node
        }
        if self.first_byte.get().is_none() {
            self.first_byte.set(Some(now));
        }
        self.out.set(self.out.get() + 1);
        true
    }

    /// Whether its body can't be sent again.
    pub fn is_spent(&self) -> bool {
        self.coming.as_ref().is_some_and(Coming::is_spent)
    }

    /// Takes a claim back: the attempt is known never to have run.
    pub fn unclaim(&self) {
        self.out.set(self.out.get().saturating_sub(1));
    }
}

/// What a request is about, as the module's number: the same text gives the same number at every node.
pub fn key_number(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}
