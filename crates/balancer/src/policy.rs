//! The policies, one per file, and the [`Balancer`], which composes them.
//!
//! | files | responsibility |
//! | --- | --- |
//! | `dispatch`, `selection` | select a server for a request, or hold the request |
//! | `join_up_to`, `subset`, `endpoint_table` | Join-Up-To(m) estimates and cap; size of the subset; the ring of servers |
//! | `concurrency`, `priority`, `deadline` | admission by server concurrency, by priority weight and quota, by deadline |
//! | `slow_start` | limit the requests sent to a server that is warming up |
//! | `outlier` | eject failing servers and readmit them |
//! | `retry`, `send_gate` | retries and hedged requests; the safety checks before each send |
//! | `health_check`, `polling` | schedule health checks and polls of the endpoint list |
//! | `final_response` | reject or fail a request |
//! | `arrival`, `completion` | pass requests and outcomes to the policies |

mod arrival;
mod completion;
mod concurrency;
mod context;
mod deadline;
mod dispatch;
mod endpoint_table;
mod estimators;
mod final_response;
mod health_check;
mod join_up_to;
mod outlier;
mod polling;
mod priority;
mod random;
mod request;
mod request_table;
mod retry;
mod selection;
mod send_gate;
mod server;
mod slow_start;
mod subset;

pub use dispatch::HoldReason;
pub use endpoint_table::EndpointCounts;
pub use final_response::FinishReason;
pub use send_gate::SendBlocked;

use crate::action::Action;
use crate::endpoint::{Endpoint, EndpointUpdate};
use crate::event::Event;
use crate::ids::RequestId;
use crate::settings::{RequestPolicy, Settings};
use concurrency::ConcurrencyGate;
use context::Context;
use deadline::FirstRequestTimeouts;
use endpoint_table::EndpointTable;
use estimators::{DecayedRate, LatencyEstimates};
use health_check::HealthChecks;
use join_up_to::JoinUpTo;
use outlier::OutlierDetector;
use polling::EndpointPoller;
use priority::{AverageWork, Priorities};
use random::RandomSource;
use request_table::RequestTable;
use retry::RetryBudget;
use slow_start::SlowStart;
use std::collections::BTreeMap;
use std::time::Duration;

/// The token of the housekeeping timer. Timers of a request carry its id.
const TICK_TOKEN: u64 = u64::MAX;

/// The earliest value of `now`: a time of zero means "never".
const EARLIEST: Duration = Duration::from_nanos(1);

/// The load balancer of one node.
pub struct Balancer {
    settings: Settings,
    random: RandomSource,
    now: Duration,
    /// Whether an event has been handled.
    started: bool,
    endpoints: EndpointTable,
    requests: RequestTable,
    latency: LatencyEstimates,
    /// Rate of attempts sent by this node.
    send_rate: DecayedRate,
    join_up_to: JoinUpTo,
    concurrency_gate: ConcurrencyGate,
    priorities: Priorities,
    average_work: AverageWork,
    first_request_timeouts: FirstRequestTimeouts,
    slow_start: SlowStart,
    outliers: OutlierDetector,
    retry_budget: RetryBudget,
    health_checks: HealthChecks,
    poller: EndpointPoller,
    finish_counts: BTreeMap<FinishReason, u64>,
    hold_counts: BTreeMap<HoldReason, u64>,
}

/// Builds a [`Context`] from single fields of a balancer, so that its other fields can be borrowed mutably.
fn context_of<'a>(
    settings: &'a Settings,
    now: Duration,
    latency: &LatencyEstimates,
) -> Context<'a> {
    Context {
        now,
        settings,
        mean_latency_s: latency.mean_s(),
    }
}

impl Balancer {
    /// The balancer of a node that has just started. `seed` initialises its random number generator.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.min().unwrap_or_default();
        Balancer {
            random: RandomSource::new(seed),
            now: Duration::ZERO,
            started: false,
            endpoints: EndpointTable::default(),
            requests: RequestTable::default(),
            latency: LatencyEstimates::new(shortest_objective),
            send_rate: DecayedRate::default(),
            join_up_to: JoinUpTo::new(),
            concurrency_gate: ConcurrencyGate::new(),
            priorities: Priorities::new(&settings),
            average_work: AverageWork::default(),
            first_request_timeouts: FirstRequestTimeouts::new(&settings),
            slow_start: SlowStart::default(),
            outliers: OutlierDetector::default(),
            retry_budget: RetryBudget::new(),
            health_checks: HealthChecks::default(),
            poller: EndpointPoller::default(),
            finish_counts: BTreeMap::new(),
            hold_counts: BTreeMap::new(),
            settings,
        }
    }

    /// Starts what does not wait for an event, and appends the resulting actions to `actions`. The first event does so as
    /// well; later calls do nothing.
    pub fn start(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.advance_to(now);
        let is_first = !std::mem::replace(&mut self.started, true);
        if is_first && self.settings.poll_endpoint_list {
            self.start_polling(actions);
        }
    }

    /// Time never moves backwards, even if the host's clock does.
    fn advance_to(&mut self, now: Duration) {
        self.now = now.max(self.now).max(EARLIEST);
    }

    /// Handles an event that happened at `now` and appends the resulting actions to `actions`, in order.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.start(now, actions);
        match event {
            Event::Settings(settings) => self.on_settings(*settings),
            Event::EndpointList { update, endpoints } => self.on_endpoint_list(update, endpoints),
            Event::Request(new) => self.on_request(new, actions),
            Event::BodyComplete {
                id,
                since_last_byte,
                body_consumed,
            } => self.on_body_complete(id, since_last_byte, body_consumed, actions),
            Event::BodyOverdue { id } => self.on_body_overdue(id, actions),
            Event::ResponseStarted {
                id,
                attempt,
                server,
                report,
            } => self.on_response_started(id, attempt, server, report, actions),
            Event::AttemptEnded(end) => self.on_attempt_end(end, actions),
            Event::ClientGone { id } => self.close(id, actions),
            Event::Timer { token: TICK_TOKEN } => self.on_tick(actions),
            Event::Timer { token } => self.on_request_timer(RequestId(token), actions),
            Event::HealthChecked(end) => self.on_health_check_end(end, actions),
            Event::PeerMessage { .. } => {}
        }
    }

    /// The policy of a request of the class at this position whose head is accepted now.
    pub fn request_policy(&self, class: usize) -> RequestPolicy {
        self.settings.request_policy(class)
    }

    /// The number of listed servers, and of ready servers that are ejected. Draining servers do not count as ejected.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        self.endpoints.counts()
    }

    /// The number of requests that this node rejected or failed, by reason. Only for tests; not exported as a metric.
    pub fn finish_counts(&self) -> &BTreeMap<FinishReason, u64> {
        &self.finish_counts
    }

    /// How many times requests were held, by reason. Only for tests; not exported as a metric.
    pub fn hold_counts(&self) -> &BTreeMap<HoldReason, u64> {
        &self.hold_counts
    }

    fn context(&self) -> Context<'_> {
        context_of(&self.settings, self.now, &self.latency)
    }

    /// The number of servers in this node's subset.
    fn subset_size(&self) -> usize {
        subset::size(
            &self.context(),
            self.endpoints.ready_count(),
            &self.send_rate,
        )
    }

    fn accrue_permits(&mut self) {
        let subset_size = self.subset_size();
        let context = context_of(&self.settings, self.now, &self.latency);
        let random = &mut self.random;
        self.slow_start
            .accrue_permits(&context, &mut self.endpoints, subset_size, random);
    }

    /// Applies new settings. Estimates for servers and latencies are kept.
    fn on_settings(&mut self, settings: Settings) {
        self.priorities.on_settings(&settings);
        self.first_request_timeouts.on_settings(&settings);
        if settings.tighten_open_requests {
            for request in self.requests.all_mut() {
                if let Some(class) = settings.classes.get(request.class) {
                    request.idempotency = request.idempotency.stricter(class.idempotency);
                }
            }
        }
        self.settings = settings;
    }

    /// A timer of a request has expired. It was set for the deadline, a held request, a wait for health checks or a hedged
    /// request. The token does not tell which, so a timer of an earlier step may end the wait for health checks early.
    fn on_request_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if self.now >= request.deadline {
            return self.finish(id, FinishReason::DeadlinePassed, actions);
        }
        request.skips_health_checks = true;
        self.health_checks.stop_waiting(id);
        self.dispatch(id, actions);
    }

    fn on_endpoint_list(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        match update {
            EndpointUpdate::Failed => {
                let draw = self.random.unit();
                return self.poller.on_failure(self.now, draw);
            }
            EndpointUpdate::Incremental | EndpointUpdate::Full => self.poller.on_success(),
            EndpointUpdate::Cached => {}
        }
        let subset_size = self.subset_size();
        let context = context_of(&self.settings, self.now, &self.latency);
        self.slow_start
            .before_endpoint_update(&context, &self.endpoints, subset_size);
        let initial_estimate = self.mean_estimate(subset_size);
        self.endpoints
            .apply(self.now, update, endpoints, initial_estimate);
    }

    /// The mean Join-Up-To(m) estimate of the servers in this node's subset.
    fn mean_estimate(&self, subset_size: usize) -> u32 {
        let count = subset_size.min(self.endpoints.ready_count());
        let subset = self.endpoints.in_ring_order(&self.settings).take(count);
        let sum: u32 = subset.map(|server| server.sends_since_idle).sum();
        sum / count.max(1) as u32
    }

    fn start_polling(&mut self, actions: &mut Vec<Action>) {
        let draw = self.random.unit();
        self.poller.start(self.now, &self.settings.safety, draw);
        self.on_tick(actions);
    }

    fn on_tick(&mut self, actions: &mut Vec<Action>) {
        self.poller
            .on_tick(self.now, &self.settings.safety, TICK_TOKEN, actions);
    }
}
