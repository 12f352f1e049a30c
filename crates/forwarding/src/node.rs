//! The node's event loop: the only owner of the decision module and of the request table.
//!
//! It passes events to the decision module and carries out the actions that the module returns; it decides nothing
//! itself. The request table alone gives final responses, and gives each request exactly one.

mod actions;
mod active_settings;
mod events;
mod pending_request;
mod timers;

use crate::{BackendProtocol, DiscoveryCommand, Message, NodeObserver, SettingsLease};
use active_settings::ActiveSettings;
use pending_request::PendingRequest;
use sillward_balancer::{Balancer, Event, RequestId, Settings};
use sillward_metrics::Counters;
use sillward_runtime::Clock;
use sillward_runtime::time::sleep_until;
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use timers::{TimerKind, Timers};
use tokio::sync::mpsc;

/// How full the request table is, kept up to date while the node runs.
#[derive(Default)]
pub struct NodeGauges {
    /// Requests without a final response, or with an attempt in flight.
    pub requests: Cell<usize>,
    /// Timers of requests and of the decision module.
    pub timers: Cell<usize>,
    /// Attempts in flight.
    pub attempts: Cell<usize>,
}

/// The node.
pub struct Node {
    clock: Clock,
    balancer: Balancer,
    backends: Rc<dyn BackendProtocol>,
    messages: mpsc::Sender<Message>,
    discovery: mpsc::Sender<DiscoveryCommand>,
    timer_resolution: Duration,
    max_attempts: usize,
    requests: BTreeMap<RequestId, PendingRequest>,
    timers: Timers,
    /// Requests that the decision module has just given up, which may be removed from the table.
    given_up: Vec<RequestId>,
    gauges: Rc<NodeGauges>,
    counters: Rc<Counters>,
    observer: Option<Rc<dyn NodeObserver>>,
    active_settings: ActiveSettings,
}

impl Node {
    /// A node that receives `messages` (the sending end of the channel given to [`Node::run`]).
    pub fn new(
        clock: Clock,
        settings: Settings,
        seed: u64,
        backends: Rc<dyn BackendProtocol>,
        messages: mpsc::Sender<Message>,
        discovery: mpsc::Sender<DiscoveryCommand>,
        counters: Rc<Counters>,
    ) -> Self {
        Node {
            clock,
            backends,
            messages,
            discovery,
            timer_resolution: settings.timer_resolution,
            max_attempts: max_attempts(&settings),
            balancer: Balancer::new(settings, seed),
            requests: BTreeMap::new(),
            timers: Timers::default(),
            given_up: Vec::new(),
            gauges: Rc::default(),
            counters,
            observer: None,
            active_settings: ActiveSettings::without_lease(),
        }
    }

    /// With a lease on all settings but those of the start, which must be the lease's fallback.
    pub fn with_settings_lease(self, lease: Option<Rc<SettingsLease>>) -> Self {
        Node {
            active_settings: ActiveSettings::new(lease),
            ..self
        }
    }

    /// With an observer.
    pub fn with_observer(self, observer: Option<Rc<dyn NodeObserver>>) -> Self {
        Node { observer, ..self }
    }

    /// How full the request table is.
    pub fn gauges(&self) -> Rc<NodeGauges> {
        self.gauges.clone()
    }

    /// Runs the event loop until all senders of messages are dropped.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        loop {
            let due = self.timers.next_due();
            let wait = sleep_until(self.clock.instant(due.unwrap_or_default()));
            // Both branches are cancellation safe: a message that is not received stays in the channel.
            tokio::select! {
                biased;
                message = inbox.recv() => match message {
                    Some(message) => {
                        self.check_settings_lease();
                        self.on_message(message);
                    }
                    None => return,
                },
                () = wait, if due.is_some() => {}
            }
            self.check_settings_lease();
            self.fire_due_timers();
            self.gauges.requests.set(self.requests.len());
            self.gauges.timers.set(self.timers.len());
        }
    }

    /// Passes an event to the decision module and carries out its actions, and those of the events they cause.
    fn handle_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions {
                if let Some(event) = self.carry_out(action) {
                    events.push_back(event);
                }
            }
        }
        while let Some(id) = self.given_up.pop() {
            self.remove_if_done(id);
        }
    }

    /// Sets a timer, which is removed with its request.
    fn set_timer(&mut self, due: Duration, kind: TimerKind) {
        let timer = self.timers.set(due, kind);
        if let Some(request) = self.requests.get_mut(&kind.request()) {
            request.timers.push(timer);
        }
    }

    /// Removes a request that has its final response and no attempt in flight.
    fn remove_if_done(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(PendingRequest::is_done) {
            return;
        }
        if let Some(request) = self.requests.remove(&id) {
            for timer in request.timers {
                self.timers.cancel(timer);
            }
        }
    }
}

/// The most attempts of a request; at least one, however few the settings allow.
fn max_attempts(settings: &Settings) -> usize {
    settings.limits.max_attempts.max(1) as usize
}
