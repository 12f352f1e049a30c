//! Decodes discovery's endpoint lists, tracks their version, and sends updates to the node.

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

/// The number of consecutive lists with an older version after which discovery counts as rolled back, and the list is
/// accepted. Fewer are taken for a single stale replica of discovery, and rejected.
const OLDER_LISTS_FOR_ROLLBACK: u32 = 3;

/// The origin of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListOrigin {
    /// The list that the node was started with.
    Cache,
    /// A poll, which always returns a complete list.
    Poll,
    /// A watch, which sends complete lists and incremental changes.
    Watch,
}

/// Applies the lists of discovery and passes them to the node.
pub(crate) struct ListFeed {
    address: SocketAddr,
    live: Rc<LiveSettings>,
    messages: mpsc::Sender<Message>,
    ready: Rc<Cell<bool>>,
    /// The version from which a new watch requests changes.
    resume_version: u64,
    /// The version of the last list from discovery that was applied; 0 before the first.
    applied_version: u64,
    /// The number of consecutive lists with a version older than `applied_version`.
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
            resume_version: 0,
            applied_version: 0,
            older_lists: 0,
        }
    }

    /// A flag that is set once the node's endpoint list suffices to serve requests.
    pub(crate) fn ready(&self) -> Rc<Cell<bool>> {
        self.ready.clone()
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn resume_version(&self) -> u64 {
        self.resume_version
    }

    pub(crate) fn set_resume_version(&mut self, version: u64) {
        self.resume_version = version;
    }

    /// Whether the current settings select polled mode.
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

    /// Switches to a new address of discovery. The node keeps its list until a complete one arrives from the new
    /// address; version numbers are reset, because they may differ there.
    pub(crate) fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.resume_version = 0;
        self.applied_version = 0;
        self.older_lists = 0;
    }

    /// Sends a list to the node and returns the number of valid entries; malformed entries are dropped.
    /// Cancel safe: if the future is dropped, the list counts as not applied.
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
        if let Some(version) = list.version.filter(|_| origin != ListOrigin::Cache) {
            self.check_version(version)?;
        }
        let backends = self.read_entries(list.endpoints);
        let count = backends.len();
        self.send(kind, backends).await;
        if let Some(version) = list.version {
            self.on_applied(version, origin);
        }
        if origin != ListOrigin::Cache || self.is_polled() {
            self.ready.set(true);
        }
        Ok(count)
    }

    fn on_applied(&mut self, version: u64, origin: ListOrigin) {
        self.resume_version = version;
        if origin != ListOrigin::Cache {
            self.applied_version = version;
            self.older_lists = 0;
        }
    }

    /// Notifies the node that a poll failed or the watch broke.
    pub(crate) async fn report_failure(&self) {
        self.send(EndpointUpdate::Failed, Vec::new()).await;
    }

    /// Rejects a list older than the one applied last, unless enough older lists in a row show that discovery was
    /// rolled back.
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
            "discovery at {} was rolled back to list version {version}; accepting it",
            self.address
        ));
        Ok(())
    }

    fn read_entries(&self, entries: Vec<Value>) -> Vec<Backend> {
        let settings = self.live.get();
        let read = |entry| -> Result<Backend, EntryError> {
            serde_json::from_value::<Entry>(entry)?.into_backend(&settings)
        };
        let mut backends = Vec::new();
        for entry in entries {
            match read(entry) {
                Ok(backend) => backends.push(backend),
                Err(error) => log_peer(format_args!(
                    "a malformed line of the list of discovery at {} was dropped: {error}",
                    self.address
                )),
            }
        }
        backends
    }

    async fn send(&self, kind: EndpointUpdate, backends: Vec<Backend>) {
        let message = Message::EndpointList(BackendUpdate { kind, backends });
        let _ = self.messages.send(message).await; // fails only after the node has shut down
    }
}
