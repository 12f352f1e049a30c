//! The state machine of the etcd source, without I/O or a clock.
//!
//! A complete list (a Range read in pages, all at the revision of the first page) is followed by a watch from its
//! revision + 1. After a broken connection the watch resumes from the last known revision. The complete list is read
//! again if that is impossible: the revision is compacted, it is in the future (etcd was restored to an older state),
//! or the cluster is a different one.

mod backoff;
mod revisions;
#[cfg(test)]
mod tests;

use crate::config::Timeouts;
use crate::error::ProtocolError;
use crate::proto::{EventType, KeyValue, RangeResponse, ResponseHeader, WatchResponse};
use backoff::Backoff;
use bytes::Bytes;
use revisions::KeyRevisions;
use sillward_runtime::random::Random;
use std::time::Duration;

/// The revision in a Range request for the latest state.
const LATEST_REVISION: i64 = 0;
/// The known revision before the first complete list.
const UNKNOWN_REVISION: i64 = 0;

/// An action that the source performs for the session.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// Read the page of the list that starts after the key `after` (at the first key if empty), at this revision (0 for
    /// the latest).
    ReadPage { after: Bytes, revision: i64 },
    /// Open a watch that starts at this revision.
    OpenWatch { start_revision: i64 },
    /// Start a complete list.
    BeginList,
    /// Publish the value of a key.
    Put { key: Bytes, value: Bytes },
    /// Publish the deletion of a key.
    Delete { key: Bytes },
    /// Finish the complete list.
    EndList,
    /// Close the connection because of this error.
    Disconnect(ProtocolError),
}

/// The state of a session.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// There is no connection.
    Disconnected,
    /// The list is being read at this revision, which is [`LATEST_REVISION`] until the first page arrives.
    Listing { revision: i64 },
    /// A watch is being opened.
    OpeningWatch,
    /// The watch is open, but etcd has not sent all changes up to this revision yet, and may have compacted them.
    CatchingUp { until: i64 },
    /// The watch is open, and all changes up to the revision at which it was opened have been received.
    Watching,
}

/// A change of a key, received on the watch.
struct KeyEvent {
    revision: i64,
    key: Bytes,
    /// The new value; `None` if the key was deleted.
    value: Option<Bytes>,
}

/// A session with an etcd cluster, which connects to the members in turn.
pub(crate) struct Session {
    state: State,
    /// The revision up to which all events have been applied.
    revision: i64,
    /// The id of the cluster that sent the last complete list.
    cluster_id: Option<u64>,
    keys: KeyRevisions,
    /// The events of a fragmented response, until its last fragment arrives.
    fragments: Vec<KeyEvent>,
    random: Random,
    backoff: Backoff,
    endpoint_count: usize,
    /// The index of the endpoint to connect to.
    endpoint: usize,
}

impl Session {
    /// Creates a session. `seed` selects the first endpoint and randomizes the backoff, so that nodes whose watches
    /// broke together don't reconnect at the same time.
    pub(crate) fn new(endpoint_count: usize, timeouts: Timeouts, seed: u64) -> Self {
        let endpoint_count = endpoint_count.max(1);
        let mut random = Random::seeded(seed);
        let endpoint = random.next_u32() as usize % endpoint_count;
        Session {
            state: State::Disconnected,
            revision: UNKNOWN_REVISION,
            cluster_id: None,
            keys: KeyRevisions::default(),
            fragments: Vec::new(),
            random,
            backoff: Backoff::new(timeouts.initial_backoff, timeouts.max_backoff),
            endpoint_count,
            endpoint,
        }
    }

    /// The index of the endpoint to connect to.
    pub(crate) fn endpoint(&self) -> usize {
        self.endpoint
    }

    /// Whether the watch is open and none of the changes before it is missing.
    pub(crate) fn is_watching(&self) -> bool {
        self.state == State::Watching
    }

    /// Handles a newly opened connection.
    pub(crate) fn on_connected(&mut self) -> Vec<Action> {
        self.fragments.clear();
        if self.revision == UNKNOWN_REVISION {
            self.start_list()
        } else {
            self.open_watch()
        }
    }

    /// Reads the complete list again while the watch is open.
    pub(crate) fn resync(&mut self) -> Vec<Action> {
        self.start_list()
    }

    /// Handles the loss of the connection: selects the next endpoint and returns the delay before connecting to it.
    pub(crate) fn on_disconnected(&mut self) -> Duration {
        match self.state {
            State::Watching => self.backoff.reset(),
            // The known keys were replaced by a partial list, so the complete list must be read again.
            State::Listing { .. } => self.revision = UNKNOWN_REVISION,
            State::Disconnected | State::OpeningWatch | State::CatchingUp { .. } => {}
        }
        self.state = State::Disconnected;
        self.endpoint = (self.endpoint + 1) % self.endpoint_count;
        self.backoff.next_delay(&mut self.random)
    }

    /// Handles a page of the list.
    pub(crate) fn on_page(&mut self, page: RangeResponse) -> Vec<Action> {
        let State::Listing { revision } = self.state else {
            return Vec::new();
        };
        let Some(header) = page.header else {
            return vec![Action::Disconnect(ProtocolError::PageWithoutHeader)];
        };
        let mut actions = Vec::new();
        let is_first_page = revision == LATEST_REVISION;
        if is_first_page {
            self.begin_list(&header);
            actions.push(Action::BeginList);
        }
        let revision = if is_first_page {
            header.revision
        } else {
            revision
        };
        let last_key = page.kvs.last().map(|kv| kv.key.clone());
        for KeyValue {
            key,
            value,
            mod_revision,
            ..
        } in page.kvs
        {
            self.keys.insert_listed(key.clone(), mod_revision);
            actions.push(Action::Put { key, value });
        }
        match last_key {
            Some(after) if page.more => actions.push(Action::ReadPage { after, revision }),
            _ => {
                self.revision = revision;
                self.keys.end_list(revision);
                actions.push(Action::EndList);
                actions.extend(self.open_watch());
            }
        }
        actions
    }

    /// Handles a page that can't be read because the revision of the list was compacted meanwhile.
    pub(crate) fn on_page_compacted(&mut self) -> Vec<Action> {
        self.start_list()
    }

    /// Handles a response of the watch.
    pub(crate) fn on_watch_response(&mut self, response: WatchResponse) -> Vec<Action> {
        if matches!(self.state, State::Disconnected | State::Listing { .. }) {
            return Vec::new();
        }
        let Some(header) = &response.header else {
            return vec![Action::Disconnect(ProtocolError::WatchWithoutHeader)];
        };
        let (cluster_id, revision) = (header.cluster_id, header.revision);
        if self.cluster_id.is_some_and(|known| known != cluster_id) {
            return self.start_list();
        }
        if response.canceled {
            return self.on_watch_cancelled(response);
        }
        // etcd is older than the known revision: a watch would wait for a revision that may never be reached, or that
        // may then have different content.
        if revision < self.revision && (response.created || response.events.is_empty()) {
            return self.start_list();
        }
        if response.created {
            self.on_watch_created(revision);
            return Vec::new();
        }
        self.on_events(response, revision)
    }

    fn start_list(&mut self) -> Vec<Action> {
        self.state = State::Listing {
            revision: LATEST_REVISION,
        };
        vec![Action::ReadPage {
            after: Bytes::new(),
            revision: LATEST_REVISION,
        }]
    }

    fn open_watch(&mut self) -> Vec<Action> {
        self.state = State::OpeningWatch;
        vec![Action::OpenWatch {
            start_revision: self.revision + 1,
        }]
    }

    /// Takes the revision for reading the other pages, and the cluster id, from the header of the first page.
    fn begin_list(&mut self, header: &ResponseHeader) {
        self.state = State::Listing {
            revision: header.revision,
        };
        self.cluster_id = Some(header.cluster_id);
        self.keys.clear();
    }

    /// Handles the creation of the watch at a revision of etcd. etcd accepts a watch before it reports that the first
    /// revision of the watch is compacted, which it can't be if nothing has changed since the known revision.
    fn on_watch_created(&mut self, revision: i64) {
        self.state = if revision == self.revision {
            State::Watching
        } else {
            State::CatchingUp { until: revision }
        };
        self.backoff.reset();
    }

    /// Ends the catching up once the known revision has reached that of etcd when it created the watch. etcd sends the
    /// changes that a resumed watch has missed in any number of responses.
    fn on_revision_known(&mut self, header_revision: i64) {
        let until = match self.state {
            State::CatchingUp { until } => until,
            State::OpeningWatch => header_revision,
            State::Disconnected | State::Listing { .. } | State::Watching => return,
        };
        self.state = if self.revision >= until {
            State::Watching
        } else {
            State::CatchingUp { until }
        };
    }

    fn on_watch_cancelled(&mut self, response: WatchResponse) -> Vec<Action> {
        if response.compact_revision != 0 {
            return self.start_list();
        }
        let reason = response.cancel_reason;
        let error = if reason.is_empty() {
            ProtocolError::WatchCancelled
        } else {
            ProtocolError::WatchCancelledBecause(reason)
        };
        vec![Action::Disconnect(error)]
    }

    fn on_events(&mut self, response: WatchResponse, header_revision: i64) -> Vec<Action> {
        for event in response.events {
            let Some(kv) = event.kv else { continue };
            let is_delete = event.r#type == EventType::Delete as i32;
            self.fragments.push(KeyEvent {
                revision: kv.mod_revision,
                key: kv.key,
                value: (!is_delete).then_some(kv.value),
            });
        }
        if response.fragment {
            return Vec::new();
        }
        let mut events = std::mem::take(&mut self.fragments);
        events.sort_by_key(|event| event.revision);
        // A response without events reports progress: all events up to the revision in its header have been sent.
        let latest = events
            .last()
            .map_or(header_revision, |event| event.revision);
        let actions = events
            .into_iter()
            .filter_map(|event| self.apply_event(event))
            .collect();
        self.revision = self.revision.max(latest);
        self.on_revision_known(header_revision);
        actions
    }

    /// Applies an event if it is newer than the known revision of its key, whatever the order of events.
    fn apply_event(&mut self, event: KeyEvent) -> Option<Action> {
        let KeyEvent {
            revision,
            key,
            value,
        } = event;
        if !self.keys.is_newer(&key, revision) {
            return None;
        }
        match value {
            Some(value) => {
                self.keys.put(key.clone(), revision);
                Some(Action::Put { key, value })
            }
            None => {
                self.keys.delete(key.clone(), revision);
                Some(Action::Delete { key })
            }
        }
    }
}
