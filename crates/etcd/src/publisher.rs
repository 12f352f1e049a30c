//! Turns keys and their values into the events of an endpoint source.

use bytes::Bytes;
use sillward_balancer::ServerId;
use sillward_endpoint_updates::SourceEvent;
use sillward_forwarding::{Backend, LiveSettings};
use sillward_logging::log_peer;
use sillward_runtime::time::sleep;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Endpoints in one event; between two events other work is scheduled.
const MAX_BATCH: usize = 25;
/// At least this long between two events of a complete list, so that a large one does not delay requests.
const LIST_BATCH_INTERVAL: Duration = Duration::from_millis(1);

pub(crate) struct Publisher {
    live: Rc<LiveSettings>,
    events: mpsc::Sender<SourceEvent>,
    /// The last readable value of each key.
    current: BTreeMap<Bytes, Backend>,
    /// Those from before the list that is being read.
    previous: BTreeMap<Bytes, Backend>,
    /// What the next event will have.
    batch: Vec<Backend>,
    is_listing: bool,
}

impl Publisher {
    pub(crate) fn new(live: Rc<LiveSettings>, events: mpsc::Sender<SourceEvent>) -> Self {
        Publisher {
            live,
            events,
            current: BTreeMap::new(),
            previous: BTreeMap::new(),
            batch: Vec::new(),
            is_listing: false,
        }
    }

    /// A complete list begins.
    pub(crate) async fn begin_list(&mut self) {
        // A list that broke off has left some of them in `previous`.
        self.previous.append(&mut self.current);
        self.is_listing = true;
        self.send(SourceEvent::ResyncStarted).await;
    }

    /// The complete list has been read.
    pub(crate) async fn end_list(&mut self) {
        self.flush().await;
        self.previous.clear();
        self.is_listing = false;
        self.send(SourceEvent::ResyncFinished).await;
    }

    /// A key has this value. If it can't be read, the key's last readable one stays.
    pub(crate) async fn put(&mut self, key: Bytes, value: &[u8]) {
        let Some(backend) = self.read(&key, value) else {
            return;
        };
        let id = backend.endpoint.id;
        let old = self.current.insert(key, backend.clone());
        if let Some(old) = old.filter(|old| old.endpoint.id != id) {
            self.remove(old.endpoint.id).await;
        }
        self.batch.push(backend);
        if self.batch.len() >= MAX_BATCH {
            self.flush().await;
            if self.is_listing {
                sleep(LIST_BATCH_INTERVAL).await;
            }
        }
    }

    /// A key is deleted.
    pub(crate) async fn delete(&mut self, key: &Bytes) {
        if let Some(old) = self.current.remove(key) {
            self.remove(old.endpoint.id).await;
        }
    }

    /// Sends what has been batched.
    pub(crate) async fn flush(&mut self) {
        if !self.batch.is_empty() {
            let batch = std::mem::take(&mut self.batch);
            self.send(SourceEvent::Updated(batch)).await;
        }
    }

    /// etcd is connected, and has sent something.
    pub(crate) async fn connected(&self) {
        self.send(SourceEvent::Connected).await;
    }

    /// The connection broke. What was batched is dropped: the next list or watch brings it again.
    pub(crate) async fn disconnected(&mut self) {
        self.is_listing = false;
        self.batch.clear();
        self.send(SourceEvent::Disconnected).await;
    }

    fn read(&self, key: &Bytes, value: &[u8]) -> Option<Backend> {
        match sillward_discovery::read_entry(&self.live.get(), value) {
            Ok(backend) => Some(backend),
            Err(error) => {
                let name = String::from_utf8_lossy(key).into_owned();
                log_peer(format_args!(
                    "etcd: the value of {name:?} can't be read, its last readable one stays: {error}"
                ));
                let last = self.previous.get(key).or_else(|| self.current.get(key));
                last.cloned()
            }
        }
    }

    /// A key no longer names that endpoint; unless another key does, it is gone.
    async fn remove(&mut self, id: ServerId) {
        self.flush().await;
        if !self
            .current
            .values()
            .any(|backend| backend.endpoint.id == id)
        {
            self.send(SourceEvent::Removed(id)).await;
        }
    }

    async fn send(&self, event: SourceEvent) {
        let _ = self.events.send(event).await; // fails only if the node has ended
    }
}
