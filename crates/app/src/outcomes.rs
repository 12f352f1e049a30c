//! What this node sees, counted and told to its fleet, and what all see, read from it. A loop of its own carries it; the node
//! only adds to counts, and waits for nobody.

use hyper::Method;
use serde_json::json;
use sillward_admin::{Reply, Route};
use sillward_balancer::{Outcome, ServerId};
use sillward_forwarding::{AttemptTimes, LiveSettings, NodeObserver};
use sillward_membership::{Incarnation, Name};
use sillward_outcome_stats::{
    Action, AttemptOutcome, BackendClass, BackendId, ClassId, StatsConfig, StatsExchange,
};
use sillward_peer_transport::PeerTransport;
use sillward_peer_transport::send_queue::OutboundMessage;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::{sleep_until, timeout_at};
use sillward_runtime::{Clock, random};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The topic of its messages between members.
const TOPIC: u32 = 8;
/// The memory that it takes at the worst, in bytes: 4 KiB for the words of two lives of 48 nodes, for three sums of each group of
/// 2048 members and their lives, and for what is under way.
pub const BYTES: usize = 4 << 20;
/// A turn at least this often, so that who lives is known, and as seldom as this where nothing is due.
const TURN: Duration = Duration::from_millis(200);
const LEAST: Duration = Duration::from_millis(20);

/// This node's part.
pub struct Outcomes {
    clock: Clock,
    spread: RefCell<StatsExchange>,
    fleet: Rc<PeerTransport>,
    live: Rc<LiveSettings>,
    /// A message came: something may be due.
    sooner: Notify,
}

/// Takes part; it ends when `stop` is over.
///
/// # Errors
/// The system has no random numbers.
pub fn start(
    clock: Clock,
    config: &StatsConfig,
    fleet: &Rc<PeerTransport>,
    live: &Rc<LiveSettings>,
    stop: impl Future<Output = ()> + 'static,
) -> Result<Rc<Outcomes>, String> {
    let seed = random::entropy().map_err(|e| format!("no random numbers for the outcomes: {e}"))?;
    let (me, life) =
        fleet.with_membership(|peers| (peers.local_node().name.clone(), peers.incarnation()));
    let spread = StatsExchange::new(config.clone(), me, life, seed, clock.now()).into();
    let (fleet, live) = (fleet.clone(), live.clone());
    let outcomes = Rc::new(Outcomes {
        clock,
        spread,
        fleet,
        live,
        sooner: Notify::new(),
    });
    let own = outcomes.clone();
    outcomes
        .fleet
        .on_message(TOPIC, move |name, life, bytes| own.heard(name, life, bytes));
    spawn_local(outcomes.clone().run(stop));
    Ok(outcomes)
}

impl Outcomes {
    fn heard(&self, name: &Name, life: Incarnation, bytes: &[u8]) {
        let actions = self
            .spread
            .borrow_mut()
            .handle_message(self.clock.now(), name, life, bytes);
        self.act(actions);
        self.sooner.notify_one();
    }

    fn act(&self, actions: Vec<Action>) {
        for Action::Send { to, slot, bytes } in actions {
            let address = self
                .fleet
                .with_membership(|peers| peers.member(&to).map(|member| member.address));
            if let Some(address) = address {
                self.fleet.send_message(
                    &to,
                    address,
                    OutboundMessage {
                        topic: TOPIC,
                        slot,
                        bytes,
                    },
                );
            }
        }
    }

    async fn run(self: Rc<Self>, stop: impl Future<Output = ()>) {
        let mut stop = std::pin::pin!(stop);
        loop {
            // Not less often than this: who lives may change without a message. Nor more often, whatever is due.
            let now = self.clock.now();
            let due = self
                .spread
                .borrow()
                .next_wakeup()
                .clamp(now + LEAST, now + TURN);
            let wait = timeout_at(self.clock.instant(now + LEAST), stop.as_mut()).await;
            if wait.is_ok() {
                return;
            }
            tokio::select! {
                biased;
                () = stop.as_mut() => return,
                () = sleep_until(self.clock.instant(due)) => {}
                () = self.sooner.notified() => {}
            }
            let now = self.clock.now();
            let life = self.fleet.incarnation();
            let living: Vec<(Name, Incarnation)> = self.fleet.with_membership(|peers| {
                let living = peers.members().filter(|member| member.state.is_active());
                living
                    .map(|member| (member.name.clone(), member.incarnation))
                    .collect()
            });
            let living = living.iter().map(|(name, life)| (name, *life));
            let actions = self.spread.borrow_mut().tick(now, life, living);
            self.act(actions);
        }
    }

    fn class(&self, class: usize) -> ClassId {
        self.live
            .get()
            .class_names
            .get(class)
            .map_or(ClassId(0), |name| ClassId::of(name))
    }

    /// What all nodes see, for operators. Rates are a second, times in milliseconds.
    fn page(&self) -> String {
        let now = self.clock.now();
        let spread = self.spread.borrow();
        let (view, figures) = (spread.estimate(now), spread.counters());
        let site = self.live.get();
        let named = |class: &ClassId| {
            let known = site
                .class_names
                .iter()
                .find(|name| ClassId::of(name) == *class);
            known.cloned().unwrap_or_else(|| format!("{:08x}", class.0))
        };
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let rate = |rate: f64| (rate * 100.0).round() / 100.0;
        let demand: serde_json::Map<String, serde_json::Value> = view
            .demand
            .iter()
            .map(|(class, demand)| {
                let told = json!({
                    "first": rate(demand.first), "again": rate(demand.retries), "turned_away": rate(demand.rejected),
                    "sent": rate(demand.sent), "in_time": rate(demand.in_time), "error": rate(demand.error),
                });
                (named(class), told)
            })
            .collect();
        let judged: Vec<serde_json::Value> = view
            .backends
            .iter()
            .map(|(cell, judged)| {
                json!({
                    "backend": format!("{:08x}", cell.backend.0), "class": named(&cell.class),
                    "sent": rate(judged.sent), "in_time": rate(judged.in_time), "failed": rate(judged.failed),
                    "rests_on": rate(judged.evidence), "judges": judged.observers,
                    "median_ms": judged.latencies.quantile(0.5).map(ms),
                })
            })
            .collect();
        let share = view.coverage;
        json!({
            "living": share.living, "heard": share.reporting, "weight": rate(share.weight),
            "age_ms": ms(share.age).round(), "oldest_ms": ms(share.oldest).round(),
            "demand": demand, "judged": judged,
            "asks": figures.requests, "answered": figures.responses, "words": figures.reports, "fresh": figures.new_reports,
            "nonsense": figures.invalid, "unanswered": figures.unanswered, "bytes": figures.bytes,
        })
        .to_string()
    }
}

/// What all nodes see, for operators.
pub fn page(outcomes: &Rc<Outcomes>) -> Route {
    let outcomes = outcomes.clone();
    Route::new(Method::GET, "/admin/outcomes", move || {
        Reply::json(outcomes.page())
    })
}

impl NodeObserver for Outcomes {
    fn request_accepted(&self, now: Duration, class: usize, again: bool) {
        let class = self.class(class);
        self.spread
            .borrow_mut()
            .counts(now)
            .record_call(class, again);
    }

    fn request_rejected(&self, now: Duration, class: usize) {
        let class = self.class(class);
        self.spread.borrow_mut().counts(now).record_rejection(class);
    }

    fn attempt_ended(
        &self,
        now: Duration,
        class: usize,
        at: ServerId,
        outcome: Outcome,
        times: AttemptTimes,
    ) {
        // What was never sent says nothing, and what its own client or this node called off says little.
        let end = match outcome {
            Outcome::NotSent => return,
            Outcome::Cancelled => None,
            Outcome::Served => {
                let aim = self
                    .live
                    .get()
                    .settings
                    .classes
                    .get(class)
                    .map_or(Duration::ZERO, |class| class.latency_objective);
                Some(if times.since_request <= aim {
                    AttemptOutcome::InTime
                } else {
                    AttemptOutcome::Late
                })
            }
            Outcome::TimedOut => Some(AttemptOutcome::Late),
            Outcome::Rejected => Some(AttemptOutcome::Rejected),
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
                Some(AttemptOutcome::Failed)
            }
        };
        let cell = BackendClass {
            backend: BackendId::of(at.0),
            class: self.class(class),
        };
        let mut spread = self.spread.borrow_mut();
        let counts = spread.counts(now);
        counts.record_attempt(cell, Duration::ZERO);
        if let Some(end) = end {
            counts.record_outcome(
                cell,
                end,
                (outcome == Outcome::Served).then_some(times.since_sent),
            );
        }
    }

    fn health_check_started(&self, now: Duration, at: ServerId) {
        self.spread
            .borrow_mut()
            .counts(now)
            .record_health_check(BackendId::of(at.0));
    }
}
