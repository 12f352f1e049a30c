//! What has been read of discovery's list, and its way to the node.

use crate::entry::{Entry, EntryError};
use crate::error::DiscoveryError;
use crate::list::List;
use crate::timing;
use serde_json::Value;
use sillward_balancer::EndpointUpdate;
use sillward_forwarding::{Backend, BackendUpdate, LiveSettings, Message};
use sillward_logging::{log, log_peer};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// So many older lists in a row are accepted as discovery's own rollback; fewer are a mistake of one of its replicas.
const OLDER_LISTS_FOR_ROLLBACK: u32 = 3;

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListOrigin {
    /// The node had it before it started.
    Cache,
    /// A poll, which returns complete lists.
    Poll,
    /// A watch, whose lists are complete or changes.
    Watch,
}

/// The feed of lists from discovery to the node.
pub(crate) struct ListFeed {
    address: SocketAddr,
    live: Rc<LiveSettings>,
    messages: mpsc::Sender<Message>,
    ready: Rc<Cell<bool>>,
    /// The version from which on a watch asks for changes.
    resume_index: u64,
    /// The version of discovery's list that the node has; 0 before the first.
    applied_version: u64,
    /// How many lists in a row were older than that.
    older_lists: u32,
}

impl ListFeed {
    pub(crate) fn new(
        address: SocketAddr,
        live: Rc<LiveSettings>,
        messages: mpsc::Sender<Message>,
    ) -> Self {
        ListFeed {
            address,
            live,
            messages,
            ready: Rc::default(),
            resume_index: 0,
            applied_version: 0,
            older_lists: 0,
        }
    }

    /// Whether the node knows enough to serve.
    pub(crate) fn ready(&self) -> Rc<Cell<bool>> {
        self.ready.clone()
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn resume_index(&self) -> u64 {
        self.resume_index
    }

    pub(crate) fn set_resume_index(&mut self, index: u64) {
        self.resume_index = index;
    }

    /// Whether the list is polled, by the settings of now.
    pub(crate) fn is_polled(&self) -> bool {
        self.live.get().settings.poll_endpoint_list
    }

    pub(crate) fn head_timeout(&self) -> Duration {
        if self.is_polled() {
            timing::POLL_HEAD_TIMEOUT
        } else {
            timing::PUSH_HEAD_TIMEOUT
        }
    }

    pub(crate) fn first_line_timeout(&self) -> Duration {
        if self.is_polled() {
            timing::POLL_FIRST_LINE_TIMEOUT
        } else {
            timing::PUSH_FIRST_LINE_TIMEOUT
        }
    }

    /// Discovery has moved. The node's list stays until the new one has sent its complete list, whose versions need not
    /// be the old one's.
    pub(crate) fn move_to(&mut self, address: SocketAddr) {
        self.address = address;
        self.resume_index = 0;
        self.applied_version = 0;
        self.older_lists = 0;
    }

    /// Sends a list to the node, and returns how many of its entries could be read; malformed entries are dropped.
    /// Cancellation safe: if the call is dropped, the list counts as not applied.
    pub(crate) async fn apply(
        &mut self,
        text: &[u8],
        origin: ListOrigin,
    ) -> Result<usize, DiscoveryError> {
        let list: List = serde_json::from_slice(text).map_err(DiscoveryError::MalformedList)?;
        let kind = match origin {
            ListOrigin::Cache => EndpointUpdate::Cached,
            ListOrigin::Poll => EndpointUpdate::Full,
            ListOrigin::Watch if list.snapshot => EndpointUpdate::Full,
            ListOrigin::Watch => EndpointUpdate::Incremental,
        };
        if origin != ListOrigin::Cache {
            self.check_version(list.index)?;
        }
        let backends = self.read_entries(list.endpoints);
        let count = backends.len();
        self.send(kind, backends).await;
        self.resume_index = list.index;
        if origin != ListOrigin::Cache {
            self.applied_version = list.index;
            self.older_lists = 0;
        }
        if origin != ListOrigin::Cache || self.is_polled() {
            self.ready.set(true);
        }
        Ok(count)
    }

    /// Reports to the node that a poll failed, or that the watch broke.
    pub(crate) async fn report_failure(&self) {
        self.send(EndpointUpdate::Failed, Vec::new()).await;
    }

    /// Rejects a list that is older than the one that was applied, unless discovery itself has been rolled back.
    fn check_version(&mut self, version: u64) -> Result<(), DiscoveryError> {
        if version >= self.applied_version {
            return Ok(());
        }
        self.older_lists += 1;
        if self.older_lists < OLDER_LISTS_FOR_ROLLBACK {
            return Err(DiscoveryError::OlderList {
                version,
                applied: self.applied_version,
            });
        }
        log(format_args!(
            "discovery at {} has gone back to version {version}",
            self.address
        ));
        Ok(())
    }

    fn read_entries(&self, entries: Vec<Value>) -> Vec<Backend> {
        let site = self.live.get();
        let read = |entry| -> Result<Backend, EntryError> {
            serde_json::from_value::<Entry>(entry)?.into_backend(&site)
        };
        let mut backends = Vec::new();
        for entry in entries {
            match read(entry) {
                Ok(backend) => backends.push(backend),
                Err(error) => log_peer(format_args!(
                    "a malformed line of the list of {} was dropped: {error}",
                    self.address
                )),
            }
        }
        backends
    }

    async fn send(&self, kind: EndpointUpdate, backends: Vec<Backend>) {
        let message = Message::EndpointList(BackendUpdate { kind, backends });
        let _ = self.messages.send(message).await; // fails only if the node has ended
    }
}
