//! What a node remembers of servers and requests: types and their plain arithmetic, no decisions.

use crate::interface::*;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a node knows of a server.
#[derive(Default)]
pub struct Server {
    pub entry: Endpoint,
    /// Join-Up-To(m)'s estimate: own sends since it last showed idle.
    pub count: u32,
    pub idle_at: Option<Duration>,
    /// Own attempts that are out.
    pub out: u32,
    /// Its reported load with own sends since, and when that was reported.
    pub load: Option<(f64, Duration)>,
    pub probing: bool,
    /// Smoothed share of failed attempts.
    pub failing: f64,
    /// A connection to it was not to be had, and it has answered nothing since.
    pub unreached: bool,
    /// Ejected until then; after that, on trial until it serves.
    pub ejected: Option<Duration>,
    /// How often in a row, halved by an answer: each time it is ejected for longer.
    pub ejections: u32,
    /// While cold: until when it may be sent a request; and when that was last looked at, with the
    /// part of a permit that was due then.
    pub permit: Duration,
    pub drawn: Option<(Duration, f64)>,
}

/// An attempt, and how it ended.
pub struct Attempt {
    pub to: Endpoint,
    pub sent: Duration,
    /// How crowded the server was at the send.
    pub crowd: usize,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request that is owed an answer, or some of whose attempts are still out.
#[derive(Default)]
pub struct Request {
    pub class: usize,
    /// What its class allowed when it came: later settings neither loosen nor tighten that.
    pub repeat: Idempotency,
    /// Attempts that it was allowed when it came; later settings may allow fewer.
    pub most: u32,
    /// Its work in units of the usual request's.
    pub weight: f64,
    /// Its worth against that of the usual request.
    pub value: f64,
    /// Until then an answer is worth waiting for.
    pub until: Duration,
    pub attempts: Vec<Attempt>,
    /// It has had its probes, or must do without.
    pub probed: bool,
    /// It is held a while: for a server, or for news of how much fits.
    pub waits: bool,
    /// The attempt whose answer its client is being given.
    pub streaming: Option<u32>,
    /// Its body is still coming; once that is here, an answer is worth waiting for so long.
    pub arriving: Option<Duration>,
    /// Its body is gone: it can't be sent again.
    pub spent: bool,
    pub done: bool,
}

impl Request {
    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
}

/// How much of something there was lately, forgotten over a fixed time.
#[derive(Default)]
pub struct Rate {
    pub sum: f64,
    pub at: Duration,
}

impl Rate {
    pub fn add(&mut self, now: Duration, over: f64, amount: f64) {
        *self = Rate {
            sum: self.per_s(now, over) * over + amount,
            at: now,
        };
    }
    pub fn per_s(&self, now: Duration, over: f64) -> f64 {
        self.sum * (-(now - self.at).as_secs_f64() / over).exp() / over
    }
}

/// Requests still to be had at a rate; a second's worth may be saved.
#[derive(Clone, Copy, Default)]
pub struct Allowance {
    pub left: f64,
    pub at: Duration,
}

impl Allowance {
    /// Takes one if there is one.
    pub fn take(&mut self, now: Duration, rate: f64) -> bool {
        self.left = (self.left + rate * (now - self.at).as_secs_f64()).min(rate.max(1.0));
        self.at = now;
        let some = self.left >= 1.0;
        self.left -= if some { 1.0 } else { 0.0 };
        some
    }
}

/// The decisions of one node. They are made in `policy.rs`; this is what it remembers.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg32,
    pub(crate) now: Duration,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// The ready servers, in the order of their ring.
    pub(crate) order: Vec<ServerId>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests held for probes, in the order of arrival.
    pub(crate) held: Vec<RequestId>,
    pub(crate) probes_out: u32,
    /// Smoothed time of an answer, and hinted work of a request, in seconds.
    pub(crate) answer_time: f64,
    /// What a warm server carried for this node a second, when there last was one.
    pub(crate) carried_warm: Option<f64>,
    /// The median time of an answer, in seconds.
    pub(crate) median: f64,
    /// Smoothed share of failed attempts at all servers.
    pub(crate) failing: f64,
    pub(crate) usual_cost: f64,
    pub(crate) usual_worth: f64,
    /// Own sends, and idle signs that reset an estimate, both forgotten slowly; share of reports not idle.
    pub(crate) sends: f64,
    pub(crate) idle_signs: f64,
    pub(crate) busy: f64,
    /// Smoothed share of attempts answered in time, by how crowded the server was at the send; and the share
    /// of requests that servers not crowded at all are sent, steady at seven in eight in time; beyond 1 it is
    /// a reserve for chance misses.
    pub(crate) in_time: Vec<f64>,
    /// No server was ever seen in time at nearly as crowded as beyond this.
    pub(crate) tried: usize,
    /// Requests that are held a while.
    pub(crate) waiting: usize,
    pub(crate) taken: f64,
    pub(crate) probe_tokens: f64,
    pub(crate) retry_tokens: f64,
    /// Attempts sent, work that arrived, and work answered by warm servers.
    pub(crate) sent: Rate,
    pub(crate) arrived: Rate,
    pub(crate) carried: Rate,
    /// What each tenant may still ask for within its share, and when that was reckoned.
    pub(crate) allowances: Vec<Allowance>,
    /// How long clients wait for a first try, by class.
    pub(crate) patience: Vec<Duration>,
    /// Where the list must be asked for: when to ask next, and the wait after a failed call.
    pub(crate) ask_at: Option<Duration>,
    pub(crate) ask_wait: Duration,
}

impl Balancer {
    /// Nothing known yet.
    pub(crate) fn empty(settings: Settings, rng: Pcg32) -> Self {
        Balancer {
            rng,
            now: Default::default(),
            servers: Default::default(),
            order: Default::default(),
            requests: Default::default(),
            held: Default::default(),
            probes_out: Default::default(),
            answer_time: Default::default(),
            carried_warm: None,
            median: Default::default(),
            failing: Default::default(),
            usual_cost: Default::default(),
            usual_worth: settings
                .classes
                .iter()
                .map(|c| c.priority_weight)
                .sum::<f64>()
                / settings.classes.len().max(1) as f64,
            sends: Default::default(),
            idle_signs: Default::default(),
            busy: Default::default(),
            in_time: Default::default(),
            tried: Default::default(),
            waiting: Default::default(),
            taken: Default::default(),
            probe_tokens: Default::default(),
            retry_tokens: Default::default(),
            sent: Default::default(),
            arrived: Default::default(),
            carried: Default::default(),
            allowances: vec![Allowance::default(); settings.tenants.len()],
            patience: vec![Duration::ZERO; settings.classes.len()],
            ask_at: Default::default(),
            ask_wait: Default::default(),
            settings,
        }
    }
}
