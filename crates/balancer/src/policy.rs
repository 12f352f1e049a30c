//! Every decision of sillward_balancer. Types, events and actions are in `src/interface.rs`; what a node
//! remembers of servers and requests in `src/state.rs`; departures from the paper in `README.md`.

mod admission;
mod cold;
mod health;
mod lists;
mod repeats;
mod selection;

use crate::interface::*;
pub use crate::state::Balancer;
use crate::state::{Attempt, Request, Server};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

const TICK: u64 = u64::MAX; // the token of the housekeeping timer; a request's timers carry its id
/// The share of the service that probes, and connections, may cost: little beside what blind sends
/// cost.
const PRICE_SPEND: f64 = 0.01;
/// Further attempts, as a share of first attempts: the usual retry budget.
const RETRY_SHARE: f64 = 0.4;
/// One observation's weight in a smoothed value: the last handful of observations decide.
const SMOOTH: f64 = 1.0 / 8.0;
/// A server is to be seen so often within the memory of rates, or else fewer are used, but not
/// under a few.
const SIGHTINGS: f64 = 3.0;
const FEW: f64 = 6.0;
/// An attempt is silent after so many times the median answer: for exponential answer times one in
/// sixteen.
const SILENT: f64 = 4.0;
/// The most of the cold rule's allowance that is aimed at, and how many roots of its mean below the
/// bound the aim lies.
const COLD_SPEND: f64 = 0.75;
const COLD_ROOTS: f64 = 6.0;
/// A permit for a cold server lasts for so much of the time in which the server is judged: a node that
/// had nothing to send saves no more.
const COLD_SAVED: f64 = 0.5;
/// Of what arrives, where it is not known what a warm server carries: more may arrive than all can
/// carry.
const COLD_START: f64 = 0.5;
/// The longest body at the least rate takes less.
const ARRIVES: Duration = Duration::from_secs(1200);
/// A call for the list that failed is made again after so long at the most: what the list has
/// counts as told within seconds of when it could be had, whatever calls failed before.
const ASK_AGAIN: Duration = Duration::from_millis(400);
const HEAVY: f64 = 2.0; // nothing of more than so many times the usual work goes to a cold server
/// Crowding beyond this many requests is treated alike, and no more servers than this are compared.
const LEVELS: usize = 64;

/// A server's place on the ring: multiplied by the golden ratio's part of 2^64, neighbouring ids
/// fall apart.
fn scatter(id: ServerId) -> u64 {
    id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// One of them at random, as a draw between 0 and 1 falls.
fn any_of(among: &[&Server], draw: f64) -> Option<ServerId> {
    among
        .get((draw * among.len() as f64) as usize)
        .map(|server| server.entry.id)
}

impl Balancer {
    /// A node that has just started and holds no state.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let aim = settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or_default();
        let mut node = Balancer::empty(settings, Pcg32::seed_from_u64(seed));
        (node.answer_time, node.median) = (aim.as_secs_f64() / 2.0, aim.as_secs_f64() / 4.0);
        (node.sends, node.idle_signs, node.busy) = (1.0, 1.0, 0.5);
        (node.in_time, node.tried) = (vec![0.75; LEVELS], 1);
        (node.taken, node.retry_tokens) = (2.0, 1.0 / RETRY_SHARE);
        node
    }

    /// Takes in what happened at `now` and adds what is to be done to `actions`, in order.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let first = self.now.is_zero();
        self.now = now.max(self.now).max(Duration::from_nanos(1));
        if first && self.settings.poll_endpoint_list {
            // All nodes may have started together: they spread their first calls.
            self.ask_at = Some(
                self.now
                    + self
                        .settings
                        .safety
                        .max_poll_interval
                        .mul_f64(self.random() / 4.0),
            );
            self.on_tick(actions);
        }
        match event {
            Event::Settings(settings) => self.on_settings(*settings),
            Event::EndpointList {
                update: kind,
                endpoints: entries,
            } => self.on_list(kind, entries),
            Event::Request(new) => self.on_request(new, actions),
            Event::BodyComplete {
                id,
                body_consumed: spent,
            } => self.on_arrived(id, spent, actions),
            Event::ResponseStarted {
                id,
                attempt,
                server,
                report,
            } => {
                self.on_started(id, attempt, server, report, actions);
            }
            Event::AttemptEnded(end) => self.on_outcome(end, actions),
            Event::ClientGone { id } => self.close(id, actions),
            Event::Timer { token: TICK } => self.on_tick(actions),
            Event::Timer { token } => self.on_request_timer(RequestId(token), actions),
            Event::HealthChecked(end) => self.on_probed(end, actions),
            Event::PeerMessage { .. } => {}
        }
    }

    /// How many servers are listed, and how many of these are avoided for what they did. One that
    /// drains is not: it is on its way out as it should be.
    pub fn view(&self) -> (usize, usize) {
        let listed = self
            .servers
            .values()
            .filter(|s| s.entry.state != ServerState::Removed);
        let avoided = |s: &&Server| s.entry.state == ServerState::Ready && s.ejected.is_some();
        (listed.clone().count(), listed.filter(avoided).count())
    }

    /// The only place that gives a final answer: refused if to try again is harmless, else failed.
    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self
            .requests
            .get(&id)
            .filter(|r| !r.done && r.streaming.is_none())
        else {
            return;
        };
        if request.out() > 0 && self.now < request.until {
            return; // what is out may still be answered
        }
        let harmless = match request.repeat {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: Scope::All, ..
            } => true,
            _ => !request.attempts.iter().any(Attempt::may_have_run),
        };
        let retry_after = self.settings.limits.max_retry_after;
        actions.push(if harmless {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
        self.close(id, actions);
    }

    /// Nothing more is sent for a request. What is out is called off, and it is kept until that has
    /// ended.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.held.retain(|held| *held != id);
        self.waits(id, false);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.done && self.settings.limits.cancel_attempts && request.streaming.is_none() {
            let out = request
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, a)| a.outcome.is_none());
            actions.extend(out.map(|(i, _)| Action::CancelAttempt {
                id,
                attempt: i as u32,
            }));
        }
        request.done = true;
        if request.out() == 0 {
            self.requests.remove(&id);
        }
    }

    /// Takes new settings in; what was learnt of servers and times stays, since they are the same.
    fn on_settings(&mut self, settings: Settings) {
        self.allowances.resize_with(
            settings.tenants.len().max(self.allowances.len()),
            Default::default,
        );
        self.patience.resize(
            settings.classes.len().max(self.patience.len()),
            Duration::ZERO,
        );
        // A request keeps its class with its terms, but for a repeat kind that is stricter now, where nodes
        // have agreed on it.
        for request in self
            .requests
            .values_mut()
            .filter(|_| settings.tighten_open_requests)
        {
            let Some(class) = settings.classes.get(request.class) else {
                continue;
            };
            request.repeat = request.repeat.stricter(class.idempotency);
        }
        self.settings = settings;
    }

    fn on_request_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if now >= request.until {
            self.finish(id, actions);
        } else {
            // Whoever was held for probes, or for want of servers, has waited long enough.
            request.probed = true;
            self.held.retain(|held| *held != id);
            self.dispatch(id, actions);
        }
    }
}
