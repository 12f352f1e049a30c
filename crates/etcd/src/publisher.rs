//! Converts keys and their values to the events of an endpoint source.

use crate::listed_backends::ListedBackends;
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

/// The maximum number of endpoints in an event, so that other tasks can run between two events.
const MAX_BATCH_ENDPOINTS: usize = 25;
/// The minimum interval between two events of a complete list, so that a large list doesn't delay requests.
const LIST_BATCH_INTERVAL: Duration = Duration::from_millis(1);

/// Tracks the backend of each key and sends batches of changes.
pub(crate) struct Publisher {
    live: Rc<LiveSettings>,
    events: mpsc::Sender<SourceEvent>,
    /// The last valid value of each key.
    current: BTreeMap<Bytes, Backend>,
    /// The values from before the list that is being read.
    previous: BTreeMap<Bytes, Backend>,
    /// The backends of the list that is being read.
    listed: ListedBackends,
    /// The endpoints of the next event.
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
            listed: ListedBackends::default(),
            batch: Vec::new(),
            is_listing: false,
        }
    }

    /// Starts a complete list.
    pub(crate) async fn begin_list(&mut self) {
        // If an earlier list was interrupted, `previous` still holds values from before it.
        self.previous.append(&mut self.current);
        self.listed.clear();
        self.is_listing = true;
        self.send(SourceEvent::ResyncStarted).await;
    }

    /// Finishes the complete list.
    pub(crate) async fn end_list(&mut self) {
        self.flush().await;
        self.previous.clear();
        self.listed.clear();
        self.is_listing = false;
        self.send(SourceEvent::ResyncFinished).await;
    }

    /// Applies the value of a key. If the value is invalid, the last valid one of the key is kept.
    pub(crate) async fn put(&mut self, key: Bytes, value: &[u8]) {
        let Some(backend) = self.parse_or_last(&key, value) else {
            return;
        };
        let id = backend.endpoint.id;
        let old = self.current.insert(key, backend.clone());
        if let Some(old) = old.filter(|old| old.endpoint.id != id) {
            self.report_without_key(old.endpoint.id).await;
        }
        let reported = if self.is_listing {
            self.listed.add(backend)
        } else {
            backend
        };
        self.batch.push(reported);
        if self.batch.len() >= MAX_BATCH_ENDPOINTS {
            self.flush().await;
            if self.is_listing {
                sleep(LIST_BATCH_INTERVAL).await;
            }
        }
    }

    /// Applies the deletion of a key.
    pub(crate) async fn delete(&mut self, key: &Bytes) {
        if let Some(old) = self.current.remove(key) {
            self.report_without_key(old.endpoint.id).await;
        }
    }

    /// Sends the current batch, unless it is empty.
    pub(crate) async fn flush(&mut self) {
        if !self.batch.is_empty() {
            let batch = std::mem::take(&mut self.batch);
            self.send(SourceEvent::Updated(batch)).await;
        }
    }

    /// Reports that etcd is connected and that none of its changes is missing.
    pub(crate) async fn connected(&self) {
        self.send(SourceEvent::Connected).await;
    }

    /// Reports that the connection is broken. The current batch is dropped, because the next list or watch sends it
    /// again.
    pub(crate) async fn disconnected(&mut self) {
        self.is_listing = false;
        self.batch.clear();
        self.send(SourceEvent::Disconnected).await;
    }

    fn parse_or_last(&self, key: &Bytes, value: &[u8]) -> Option<Backend> {
        match sillward_discovery::read_entry(&self.live.get(), value) {
            Ok(backend) => Some(backend),
            Err(error) => {
                let name = String::from_utf8_lossy(key).into_owned();
                log_peer(format_args!(
                    "etcd: the value of {name:?} can't be read, keeping the last valid one: {error}"
                ));
                let last = self.previous.get(key).or_else(|| self.current.get(key));
                last.cloned()
            }
        }
    }

    /// Reports an endpoint that a key no longer names: its removal, or what the other keys say that name it.
    async fn report_without_key(&mut self, id: ServerId) {
        self.flush().await;
        let mut others = ListedBackends::default();
        let named = |backend: &&Backend| backend.endpoint.id == id;
        let merged = self
            .current
            .values()
            .filter(named)
            .map(|backend| others.add(backend.clone()))
            .last();
        match merged {
            Some(backend) => self.batch.push(backend),
            None => self.send(SourceEvent::Removed(id)).await,
        }
    }

    async fn send(&self, event: SourceEvent) {
        let _ = self.events.send(event).await; // fails only after the node has shut down
    }
}
