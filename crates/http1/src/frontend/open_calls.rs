//! The calls that are open, and those that a backend may still be running after their end, by their `X-Call-Id`.

use crate::call_id_exchange::CallIdExchange;
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
pub(super) struct OpenCalls {
    identifiers: RefCell<Identifiers>,
    /// Told of the calls that must not run twice.
    exchange: Rc<dyn CallIdExchange>,
}

impl OpenCalls {
    pub(super) fn new(exchange: Rc<dyn CallIdExchange>) -> Self {
        OpenCalls {
            identifiers: RefCell::default(),
            exchange,
        }
    }
}

#[derive(Default)]
struct Identifiers {
    /// Those of the open and the abandoned calls.
    in_use: HashSet<HeaderValue>,
    /// Those of the abandoned calls, with the time until which they are kept, in order.
    abandoned: VecDeque<(Duration, HeaderValue)>,
}

impl Identifiers {
    fn abandon(&mut self, id: HeaderValue, now: Duration, exchange: &dyn CallIdExchange) {
        self.abandoned
            .push_back((now + ABANDONED_CALL_RETENTION, id));
        if self.abandoned.len() > MAX_ABANDONED_CALLS {
            self.release_oldest(exchange);
        }
    }

    fn release_expired(&mut self, now: Duration, exchange: &dyn CallIdExchange) {
        while self
            .abandoned
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.release_oldest(exchange);
        }
    }

    fn release_oldest(&mut self, exchange: &dyn CallIdExchange) {
        if let Some((_, id)) = self.abandoned.pop_front() {
            self.in_use.remove(&id);
            exchange.close(&id);
        }
    }
}

/// Keeps a call registered as open until it is dropped.
///
/// A call that is dropped before it is finished has lost its client, or has failed. If a backend may be running it, and must
/// not run it twice, its identifier stays registered for some time.
pub(super) struct OpenCall {
    open_calls: Rc<OpenCalls>,
    id: HeaderValue,
    clock: Clock,
    /// The progress of a call that must not run twice, until it is finished.
    unfinished: Option<Rc<CallProgress>>,
    /// Whether the other process of the node was told of it.
    is_exchanged: bool,
}

impl OpenCall {
    /// Registers a call; `None` if its identifier can't be used.
    pub(super) fn register(
        open_calls: &Rc<OpenCalls>,
        id: &HeaderValue,
        clock: Clock,
    ) -> Option<Self> {
        let mut identifiers = open_calls.identifiers.borrow_mut();
        identifiers.release_expired(clock.now(), &*open_calls.exchange);
        let is_new = identifiers.in_use.insert(id.clone());
        is_new.then(|| OpenCall {
            open_calls: open_calls.clone(),
            id: id.clone(),
            clock,
            unfinished: None,
            is_exchanged: false,
        })
    }

    /// Declares that the call must not run twice. `progress` tells whether a backend may be running it. Returns false if it
    /// must not run at all: the other process of this node has its identifier in use.
    #[must_use]
    pub(super) fn must_run_once(&mut self, progress: Rc<CallProgress>) -> bool {
        self.is_exchanged = self.open_calls.exchange.try_open(&self.id);
        if self.is_exchanged {
            self.unfinished = Some(progress);
        }
        self.is_exchanged
    }

    /// Declares that a backend has run the call to its end, or that none has received all of it.
    pub(super) fn finish(&mut self) {
        self.unfinished = None;
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let exchange = &*self.open_calls.exchange;
        let mut identifiers = self.open_calls.identifiers.borrow_mut();
        let may_be_running = self
            .unfinished
            .as_ref()
            .is_some_and(|progress| progress.claimed_attempts.get() > 0);
        if may_be_running {
            identifiers.abandon(self.id.clone(), self.clock.now(), exchange);
            return;
        }
        identifiers.in_use.remove(&self.id);
        if self.is_exchanged {
            exchange.close(&self.id);
        }
    }
}
