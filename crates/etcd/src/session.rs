//! What the source does next, and what it knows: without I/O and without a clock.
//!
//! A complete list (a Range in pages, all at the revision of the first) is followed by a watch from its revision + 1.
//! After a broken connection the watch resumes at the last known revision. Where it can't, the complete list is read
//! again: the revision is compacted, or in the future (etcd came back older), or the cluster is another.

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

/// The revision of a Range that reads the newest.
const NEWEST: i64 = 0;
/// The revision that is known before the first complete list.
const UNKNOWN: i64 = 0;

/// What the session wants done.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// Read the page of the list with the keys after `after` (all if empty), at that revision (0: the newest).
    ReadPage { after: Bytes, revision: i64 },
    /// Open a watch from that revision on.
    OpenWatch { from: i64 },
    /// A complete list begins.
    BeginList,
    /// A key has this value.
    Put { key: Bytes, value: Bytes },
    /// A key is deleted.
    Delete { key: Bytes },
    /// The complete list has been read.
    EndList,
    /// Close the connection; the reason is for the log.
    Disconnect(ProtocolError),
}

/// The states of a session.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// No connection.
    Disconnected,
    /// A list is being read, at that revision: [`NEWEST`] until the first page has shown which that is.
    Listing { revision: i64 },
    /// A watch is being opened.
    OpeningWatch,
    /// The watch runs.
    Watching,
}

/// An event of the watch.
struct KeyEvent {
    revision: i64,
    key: Bytes,
    /// `None`: the key is deleted.
    value: Option<Bytes>,
}

/// A session with one etcd cluster, over connections to its members in turn.
pub(crate) struct Session {
    state: State,
    /// Every event up to here has been passed on.
    revision: i64,
    /// The cluster of the last complete list.
    cluster: Option<u64>,
    keys: KeyRevisions,
    /// The events of a response that comes in fragments, until its last.
    fragments: Vec<KeyEvent>,
    random: Random,
    backoff: Backoff,
    endpoints: usize,
    endpoint: usize,
}

impl Session {
    /// For so many endpoints. `seed` spreads the attempts of nodes that lost their watches together.
    pub(crate) fn new(endpoints: usize, timeouts: Timeouts, seed: u64) -> Self {
        let endpoints = endpoints.max(1);
        let mut random = Random::seeded(seed);
        let endpoint = random.next_u32() as usize % endpoints;
        Session {
            state: State::Disconnected,
            revision: UNKNOWN,
            cluster: None,
            keys: KeyRevisions::default(),
            fragments: Vec::new(),
            random,
            backoff: Backoff::new(timeouts.initial_backoff, timeouts.max_backoff),
            endpoints,
            endpoint,
        }
    }

    /// The index of the endpoint to connect to.
    pub(crate) fn endpoint(&self) -> usize {
        self.endpoint
    }

    /// Whether a watch runs, so that all of etcd's changes are known.
    pub(crate) fn is_current(&self) -> bool {
        self.state == State::Watching
    }

    /// A connection is open.
    pub(crate) fn on_connected(&mut self) -> Vec<Action> {
        self.fragments.clear();
        if self.revision == UNKNOWN {
            self.list()
        } else {
            self.watch()
        }
    }

    /// The complete list is to be read though the watch runs.
    pub(crate) fn resync(&mut self) -> Vec<Action> {
        self.list()
    }

    /// The connection broke, or was given up. Returns how long to wait before the next attempt, at the next endpoint.
    pub(crate) fn on_disconnected(&mut self) -> Duration {
        match self.state {
            State::Watching => self.backoff.reset(),
            // A partial list has replaced what was known: only a complete one will do.
            State::Listing { .. } => self.revision = UNKNOWN,
            State::Disconnected | State::OpeningWatch => {}
        }
        self.state = State::Disconnected;
        self.endpoint = (self.endpoint + 1) % self.endpoints;
        self.backoff.next_delay(&mut self.random)
    }

    /// A page of the list has come.
    pub(crate) fn on_page(&mut self, page: RangeResponse) -> Vec<Action> {
        let State::Listing { revision } = self.state else {
            return Vec::new();
        };
        let Some(header) = page.header else {
            return vec![Action::Disconnect(ProtocolError::PageWithoutHeader)];
        };
        let mut actions = Vec::new();
        let is_first_page = revision == NEWEST;
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
            self.keys.list(key.clone(), mod_revision);
            actions.push(Action::Put { key, value });
        }
        match last_key {
            Some(after) if page.more => actions.push(Action::ReadPage { after, revision }),
            _ => {
                self.revision = revision;
                self.keys.end_list(revision);
                actions.push(Action::EndList);
                actions.extend(self.watch());
            }
        }
        actions
    }

    /// A page can't be read: the list's revision was compacted meanwhile.
    pub(crate) fn on_page_compacted(&mut self) -> Vec<Action> {
        self.list()
    }

    /// A response of the watch has come.
    pub(crate) fn on_watch_response(&mut self, response: WatchResponse) -> Vec<Action> {
        if !matches!(self.state, State::OpeningWatch | State::Watching) {
            return Vec::new();
        }
        let Some(header) = &response.header else {
            return vec![Action::Disconnect(ProtocolError::WatchWithoutHeader)];
        };
        let (cluster, revision) = (header.cluster_id, header.revision);
        if self.cluster.is_some_and(|known| known != cluster) {
            return self.list();
        }
        if response.canceled {
            return self.on_watch_cancelled(response);
        }
        // Older than what is known: a watch would wait for a revision that may never come, or come with other content.
        if revision < self.revision && (response.created || response.events.is_empty()) {
            return self.list();
        }
        if response.created {
            self.state = State::Watching;
            self.backoff.reset();
            return Vec::new();
        }
        self.on_events(response, revision)
    }

    fn list(&mut self) -> Vec<Action> {
        self.state = State::Listing { revision: NEWEST };
        vec![Action::ReadPage {
            after: Bytes::new(),
            revision: NEWEST,
        }]
    }

    fn watch(&mut self) -> Vec<Action> {
        self.state = State::OpeningWatch;
        vec![Action::OpenWatch {
            from: self.revision + 1,
        }]
    }

    /// The first page shows at which revision the others must be read, and of which cluster the list is.
    fn begin_list(&mut self, header: &ResponseHeader) {
        self.state = State::Listing {
            revision: header.revision,
        };
        self.cluster = Some(header.cluster_id);
        self.keys.clear();
    }

    fn on_watch_cancelled(&mut self, response: WatchResponse) -> Vec<Action> {
        if response.compact_revision != 0 {
            return self.list();
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
        // A response without events reports progress: everything up to its header's revision has been sent.
        let newest = events
            .last()
            .map_or(header_revision, |event| event.revision);
        let actions = events
            .into_iter()
            .filter_map(|event| self.apply(event))
            .collect();
        self.revision = self.revision.max(newest);
        actions
    }

    /// An event counts if it is newer than what is known of its key, in whatever order events come.
    fn apply(&mut self, event: KeyEvent) -> Option<Action> {
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
