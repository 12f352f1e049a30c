//! The calls that are open, and those that a backend may still be running after their client has left, by their `X-Call-Id`.

use hyper::header::HeaderValue;
use sillward_forwarding::CallProgress;
use sillward_runtime::Clock;
use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// How long the identifier of an abandoned call can't be used again.
const ABANDONED_CALL_RETENTION: Duration = Duration::from_secs(60);
/// The maximum number of abandoned calls whose identifiers are kept; the oldest are dropped first.
const MAX_ABANDONED_CALLS: usize = 4096;

/// The identifiers that no other call may use.
#[derive(Default)]
pub(super) struct OpenCalls(RefCell<Identifiers>);

#[derive(Default)]
struct Identifiers {
    /// Those of the open and the abandoned calls.
    in_use: HashSet<HeaderValue>,
    /// Those of the abandoned calls, with the time until which they are kept, in order.
    abandoned: VecDeque<(Duration, HeaderValue)>,
}

impl Identifiers {
    fn abandon(&mut self, id: HeaderValue, now: Duration) {
        self.abandoned
            .push_back((now + ABANDONED_CALL_RETENTION, id));
        if self.abandoned.len() > MAX_ABANDONED_CALLS {
            self.release_oldest();
        }
    }

    fn release_expired(&mut self, now: Duration) {
        while self
            .abandoned
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.release_oldest();
        }
    }

    fn release_oldest(&mut self) {
        if let Some((_, id)) = self.abandoned.pop_front() {
            self.in_use.remove(&id);
        }
    }
}

/// Keeps a call registered as open until it is dropped.
///
/// A call that is dropped before it is finished has lost its client. If a backend may be running it, and must not run it
/// twice, its identifier stays registered for some time.
pub(super) struct OpenCall {
    open_calls: Rc<OpenCalls>,
    id: HeaderValue,
    clock: Clock,
    /// The progress of a call that must not run twice, until it is finished.
    unfinished: Option<Rc<CallProgress>>,
}

impl OpenCall {
    /// Registers a call; `None` if its identifier can't be used.
    pub(super) fn register(
        open_calls: &Rc<OpenCalls>,
        id: &HeaderValue,
        clock: Clock,
    ) -> Option<Self> {
        let mut identifiers = open_calls.0.borrow_mut();
        identifiers.release_expired(clock.now());
        let is_new = identifiers.in_use.insert(id.clone());
        is_new.then(|| OpenCall {
            open_calls: open_calls.clone(),
            id: id.clone(),
            clock,
            unfinished: None,
        })
    }

    /// Declares that the call must not run twice. `progress` tells whether a backend may be running it.
    pub(super) fn must_run_once(&mut self, progress: Rc<CallProgress>) {
        self.unfinished = Some(progress);
    }

    /// Declares that the final response is complete, or that no backend has received all of it.
    pub(super) fn finish(&mut self) {
        self.unfinished = None;
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let mut identifiers = self.open_calls.0.borrow_mut();
        let may_be_running = self
            .unfinished
            .as_ref()
            .is_some_and(|progress| progress.claimed_attempts.get() > 0);
        if may_be_running {
            identifiers.abandon(self.id.clone(), self.clock.now());
        } else {
            identifiers.in_use.remove(&self.id);
        }
    }
}
