//! The node's event loop: the only owner of the decision module and of the request table.
//!
//! It passes events to the decision module and executes the actions that the module returns; it makes no decisions of its
//! own. Only the request table gives final responses, exactly one per request.

mod actions;
mod active_settings;
mod events;
mod pending_request;
mod timers;

use crate::{
    BackendProtocol, DiscoveryCommand, Message, NodeHandle, NodeObserver, RequestMessage,
    SettingsLease,
};
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

/// The sizes of the request table and of the timer queue, updated while the node runs.
#[derive(Default)]
pub struct NodeGauges {
    /// Requests without a final response, or with an attempt in flight.
    pub requests: Cell<usize>,
    /// Pending timers of requests and of the decision module.
    pub timers: Cell<usize>,
    /// Attempts in flight.
    pub attempts: Cell<usize>,
}

/// The node: its event loop with the decision module and the request table.
pub struct Node {
    clock: Clock,
    balancer: Balancer,
    backends: Rc<dyn BackendProtocol>,
    messages: mpsc::Sender<Message>,
    request_messages: mpsc::UnboundedSender<RequestMessage>,
    request_inbox: mpsc::UnboundedReceiver<RequestMessage>,
    discovery: mpsc::Sender<DiscoveryCommand>,
    timer_resolution: Duration,
    max_attempts: usize,
    requests: BTreeMap<RequestId, PendingRequest>,
    timers: Timers,
    /// Requests that the decision module has just closed, to be removed from the table once no attempt is in flight.
    closed_requests: Vec<RequestId>,
    gauges: Rc<NodeGauges>,
    counters: Rc<Counters>,
    observer: Option<Rc<dyn NodeObserver>>,
    active_settings: ActiveSettings,
    /// Set by a shutdown: no request is open beyond it.
    responses_by: Option<Duration>,
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
        let (request_messages, request_inbox) = mpsc::unbounded_channel();
        Node {
            clock,
            backends,
            messages,
            request_messages,
            request_inbox,
            discovery,
            timer_resolution: settings.timer_resolution,
            max_attempts: max_attempts(&settings),
            balancer: Balancer::new(settings, seed),
            requests: BTreeMap::new(),
            timers: Timers::default(),
            closed_requests: Vec::new(),
            gauges: Rc::default(),
            counters,
            observer: None,
            active_settings: ActiveSettings::without_lease(),
            responses_by: None,
        }
    }

    /// Sets a lease on all settings except the initial ones, which must be the fallback of the lease.
    pub fn with_settings_lease(self, lease: Option<Rc<SettingsLease>>) -> Self {
        Node {
            active_settings: ActiveSettings::new(lease),
            ..self
        }
    }

    /// Sets the observer.
    pub fn with_observer(self, observer: Option<Rc<dyn NodeObserver>>) -> Self {
        Node { observer, ..self }
    }

    /// A handle by which front ends submit requests to this node.
    pub fn handle(&self) -> NodeHandle {
        NodeHandle::new(self.clock, self.request_messages.clone())
    }

    /// The gauges of this node.
    pub fn gauges(&self) -> Rc<NodeGauges> {
        self.gauges.clone()
    }

    /// Runs the event loop for as long as the process runs.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        self.start_balancer();
        loop {
            let due = self.timers.next_due();
            let wait = sleep_until(self.clock.instant(due.unwrap_or_default()));
            // All branches are cancel safe: a message that was not received stays in its channel. Settings that were sent
            // before a request are handled before it, since they are in the channel that is polled first.
            tokio::select! {
                biased;
                message = inbox.recv() => match message {
                    Some(message) => {
                        self.check_settings_lease();
                        self.on_message(message);
                    }
                    None => return,
                },
                Some(message) = self.request_inbox.recv() => {
                    self.check_settings_lease();
                    self.on_request_message(message);
                }
                () = wait, if due.is_some() => {}
            }
            self.check_settings_lease();
            self.fire_due_timers();
            self.gauges.requests.set(self.requests.len());
            self.counters.set_queued_messages(self.request_inbox.len());
            self.gauges.timers.set(self.timers.len());
        }
    }

    /// Lets the decision module begin before the first event: without a known list none may come until it has asked for one.
    fn start_balancer(&mut self) {
        let mut actions = Vec::new();
        self.balancer.start(self.clock.now(), &mut actions);
        for action in actions {
            if let Some(event) = self.execute(action) {
                self.handle_event(event);
            }
        }
    }

    /// Passes an event to the decision module and executes its actions, and those of the events that they cause.
    fn handle_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions {
                if let Some(event) = self.execute(action) {
                    events.push_back(event);
                }
            }
        }
        while let Some(id) = self.closed_requests.pop() {
            self.remove_if_done(id);
        }
    }

    /// Sets a timer, which is cancelled when its request is removed.
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
            for timer in request.timers.into_iter().chain(request.deadline_timer) {
                self.timers.cancel(timer);
            }
        }
    }
}

/// The maximum number of attempts of a request, which is at least one even if the settings say less.
fn max_attempts(settings: &Settings) -> usize {
    settings.limits.max_attempts.max(1) as usize
}
