//! The task that applies the updates of the sources to the merged list and sends the changes to the node.

use crate::event::SourceEvent;
use sillward_balancer::EndpointUpdate;
use sillward_endpoints::{ListedEndpoint, MergedEndpoints, SourceId};
use sillward_forwarding::{Backend, BackendUpdate, Message};
use sillward_runtime::Clock;
use sillward_runtime::time::{Instant, sleep_until};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The interval at which withheld removals are checked.
const REMOVAL_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The index of discovery among the sources of the merged list.
const DISCOVERY: SourceId = SourceId(0);
/// The index of the additional source.
const ADDITIONAL: SourceId = SourceId(1);

/// Aggregates the endpoint updates of discovery and an additional source.
pub struct EndpointAggregator {
    clock: Clock,
    merged: Rc<RefCell<MergedEndpoints>>,
    node: mpsc::Sender<Message>,
    ready: Rc<Cell<bool>>,
}

impl EndpointAggregator {
    /// Creates an aggregator. The first source of `merged` must be discovery, the second the additional source. `ready`
    /// is set once the additional source has sent its complete list.
    pub fn new(
        clock: Clock,
        merged: Rc<RefCell<MergedEndpoints>>,
        node: mpsc::Sender<Message>,
        ready: Rc<Cell<bool>>,
    ) -> Self {
        EndpointAggregator {
            clock,
            merged,
            node,
            ready,
        }
    }

    /// Runs until the node shuts down. If the channel of one source is closed, the other source is still served.
    pub async fn run(
        self,
        mut discovery: mpsc::Receiver<Message>,
        mut additional: mpsc::Receiver<SourceEvent>,
    ) {
        let mut removal_check_at = Instant::now() + REMOVAL_CHECK_INTERVAL;
        loop {
            // Receiving from a channel is cancel safe: a branch that is dropped has consumed no message.
            let changed = tokio::select! {
                biased;
                () = sleep_until(removal_check_at) => {
                    removal_check_at = Instant::now() + REMOVAL_CHECK_INTERVAL;
                    self.merged.borrow_mut().apply_due_removals(self.clock.now())
                }
                Some(message) = discovery.recv() => self.apply_discovery_message(message).await,
                Some(event) = additional.recv() => self.apply_event(event),
            };
            if changed.is_empty() {
                continue;
            }
            let update = BackendUpdate {
                kind: EndpointUpdate::Incremental,
                backends: changed.into_iter().map(to_backend).collect(),
            };
            if self.node.send(Message::EndpointList(update)).await.is_err() {
                return;
            }
        }
    }

    async fn apply_discovery_message(&self, message: Message) -> Vec<ListedEndpoint> {
        match message {
            Message::EndpointList(update) if update.kind == EndpointUpdate::Failed => {
                self.merged.borrow_mut().mark_disconnected(DISCOVERY);
                self.forward(Message::EndpointList(update)).await;
                Vec::new()
            }
            Message::EndpointList(update) => self.apply_discovery_list(&update),
            other => {
                self.forward(other).await;
                Vec::new()
            }
        }
    }

    fn apply_discovery_list(&self, update: &BackendUpdate) -> Vec<ListedEndpoint> {
        let now = self.clock.now();
        let endpoints = to_listed(&update.backends);
        let mut merged = self.merged.borrow_mut();
        if update.kind == EndpointUpdate::Incremental {
            return merged.update(DISCOVERY, now, &endpoints);
        }
        merged.begin_resync(DISCOVERY, now);
        let mut changed = merged.update(DISCOVERY, now, &endpoints);
        changed.extend(merged.finish_resync(DISCOVERY, now));
        changed
    }

    fn apply_event(&self, event: SourceEvent) -> Vec<ListedEndpoint> {
        let now = self.clock.now();
        let mut merged = self.merged.borrow_mut();
        match event {
            SourceEvent::ResyncStarted => {
                merged.begin_resync(ADDITIONAL, now);
                Vec::new()
            }
            SourceEvent::Updated(backends) => merged.update(ADDITIONAL, now, &to_listed(&backends)),
            SourceEvent::Removed(id) => merged.remove(ADDITIONAL, now, id),
            SourceEvent::ResyncFinished => {
                self.ready.set(true);
                merged.finish_resync(ADDITIONAL, now)
            }
            SourceEvent::Connected => {
                merged.mark_connected(ADDITIONAL, now);
                Vec::new()
            }
            SourceEvent::Disconnected => {
                merged.mark_disconnected(ADDITIONAL);
                Vec::new()
            }
        }
    }

    async fn forward(&self, message: Message) {
        let _ = self.node.send(message).await; // fails only after the node has shut down
    }
}

fn to_listed(backends: &[Backend]) -> Vec<ListedEndpoint> {
    let listed = |backend: &Backend| ListedEndpoint {
        endpoint: backend.endpoint,
        address: backend.address,
    };
    backends.iter().map(listed).collect()
}

fn to_backend(listed: ListedEndpoint) -> Backend {
    Backend {
        endpoint: listed.endpoint,
        address: listed.address,
    }
}
