//! Attempts and probes, and what a backend protocol is to the node.

use crate::{Call, Content, News, Rest};
use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{LoadReport, Outcome, RequestId, ServerId};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Work that a backend protocol does for the node.
pub type Task<T> = Pin<Box<dyn Future<Output = T>>>;

/// A backend protocol.
pub trait Backends {
    /// Makes an attempt, until it ends or is stopped. Says [`Outcome::never_ran`] only of what never can have.
    fn attempt(self: Rc<Self>, attempt: Attempt, stopped: oneshot::Receiver<Stop>) -> Task<Ended>;
    /// Asks a backend for its load, or for a sign of life, within [`crate::PROBE_TIMEOUT`].
    fn probe(self: Rc<Self>, server: ServerId) -> Task<(Outcome, Option<LoadReport>)>;
    /// Takes in news of the list: addresses, and when a backend was told to drain or to be gone.
    fn listed(&self, news: &News, now: Duration);
    /// Takes in new settings.
    fn retuned(&self, site: &PlatformSettings);
    /// Closes idle connections to a backend.
    fn close_idle(&self, server: ServerId);
}

/// An attempt to be made.
pub struct Attempt {
    pub id: RequestId,
    pub number: u32,
    pub server: ServerId,
    /// When the node stops waiting for it.
    pub until: Duration,
    pub call: Rc<Call>,
    /// The way for a long answer whose first bytes are there. The attempt goes on until all of it has gone through.
    pub started: Cell<Option<oneshot::Sender<Started>>>,
}

/// The first bytes of a long answer.
pub struct Started {
    pub id: RequestId,
    pub number: u32,
    /// What is there, and bytes in all where that is known.
    pub content: Content,
    pub length: Option<u64>,
    pub report: Option<LoadReport>,
    pub rest: Box<dyn Rest>,
}

/// Why an attempt is stopped.
pub enum Stop {
    TimedOut,
    Cancelled,
}

/// What an exchange with a backend came to; with its answer if it was served.
pub type Exchanged = (Outcome, Option<LoadReport>, Option<Content>);

/// How an attempt ended.
pub struct Ended {
    pub id: RequestId,
    pub number: u32,
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    /// The answer, if it was served.
    pub answer: Option<Content>,
}

/// How a probe ended.
pub struct ProbeEnded {
    pub server: ServerId,
    pub outcome: Outcome,
    pub sent: Duration,
    pub report: Option<LoadReport>,
}

/// Lets an exchange run until it ends or is stopped. `written` tells whether it may have run by then.
pub async fn run(
    attempt: &Attempt,
    written: impl Fn() -> bool,
    exchange: impl Future<Output = Exchanged>,
    stopped: oneshot::Receiver<Stop>,
) -> Ended {
    let (mut outcome, report, mut answer) = tokio::select! {
        biased;
        ended = exchange => ended,
        // The exchange is dropped, and its connection closes.
        stop = stopped => (match stop {
            _ if !written() => Outcome::NotSent,
            // Its claim on the call stays: it may run, or may yet.
            Ok(Stop::TimedOut) => Outcome::TimedOut,
            Ok(Stop::Cancelled) | Err(_) => Outcome::Cancelled,
        }, None, None),
    };
    if !attempt.call.answered && !outcome.never_ran() {
        // Nobody waits for what it comes to, and it may have run: that is its one attempt.
        outcome = Outcome::Served;
        answer = Some(answer.unwrap_or(Content::plain(bytes::Bytes::new())));
    }
    Ended {
        id: attempt.id,
        number: attempt.number,
        outcome,
        report,
        answer,
    }
}
