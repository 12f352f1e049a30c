//! The identifiers of calls that must not run twice, of all processes of one node.

use crate::call_message::{CallId, CallMessage};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// How long the identifiers of a process that has exited stay in use: backends may still be running its calls.
const EXITED_PROCESS_RETENTION: Duration = Duration::from_secs(60);
/// The maximum number of identifiers of one process.
const MAX_IDS_PER_PEER: usize = 1 << 16;

/// Another process of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PeerId(pub u64);

/// A process has more identifiers in use than can be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyCalls;

/// Which identifiers are in use, and at which process.
///
/// An identifier that any process has told of is in use until that process tells that it is not, or until some time after
/// that process has exited.
#[derive(Default)]
pub struct CallTable {
    own: HashSet<CallId>,
    peers: HashMap<PeerId, HashSet<CallId>>,
    /// Those of processes that have exited, with the time until which each is in use.
    retained: HashMap<CallId, Duration>,
}

impl CallTable {
    /// Registers a call of this process.
    pub fn open(&mut self, id: &[u8]) {
        self.own.insert(id.into());
    }

    /// Removes a call of this process; returns whether it was registered.
    pub fn close(&mut self, id: &[u8]) -> bool {
        self.own.remove(id)
    }

    /// Whether another process has the identifier in use, or had when it exited.
    pub fn is_in_use_elsewhere(&self, id: &[u8], now: Duration) -> bool {
        let is_retained = self.retained.get(id).is_some_and(|until| *until > now);
        is_retained || self.peers.values().any(|ids| ids.contains(id))
    }

    /// Whether any process but this peer has the identifier in use, or had when it exited.
    pub fn is_in_use_beside(&self, peer: PeerId, id: &[u8]) -> bool {
        let mut others = self.peers.iter().filter(|(other, _)| **other != peer);
        self.own.contains(id)
            || self.retained.contains_key(id)
            || others.any(|(_, ids)| ids.contains(id))
    }

    /// The identifiers to tell a process that has just connected.
    pub fn in_use(&self) -> impl Iterator<Item = &CallId> {
        let of_peers = self.peers.values().flatten();
        self.own.iter().chain(of_peers).chain(self.retained.keys())
    }

    /// Applies what another process tells. Returns whether that has changed what is known of it.
    ///
    /// # Errors
    /// The process has more calls open than can be kept; the last is not.
    pub fn apply(&mut self, peer: PeerId, message: &CallMessage) -> Result<bool, TooManyCalls> {
        let ids = self.peers.entry(peer).or_default();
        match message {
            CallMessage::Opened(id) => {
                if ids.len() >= MAX_IDS_PER_PEER {
                    return Err(TooManyCalls);
                }
                Ok(ids.insert(id.clone()))
            }
            CallMessage::Closed(id) => Ok(ids.remove(id)),
            CallMessage::Listed => Ok(false),
        }
    }

    /// Keeps the identifiers of a process that can't be heard any more for some time.
    pub fn peer_exited(&mut self, peer: PeerId, now: Duration) {
        let ids = self.peers.remove(&peer).unwrap_or_default();
        let until = now + EXITED_PROCESS_RETENTION;
        self.retained.extend(ids.into_iter().map(|id| (id, until)));
    }

    /// Whether identifiers of processes that have exited are kept.
    pub fn retains_ids(&self) -> bool {
        !self.retained.is_empty()
    }

    /// Removes the identifiers that were kept long enough, and returns them.
    pub fn release_expired(&mut self, now: Duration) -> Vec<CallId> {
        let is_expired = |(_, until): &(&CallId, &Duration)| **until <= now;
        let expired = self.retained.iter().filter(is_expired);
        let expired: Vec<CallId> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.retained.remove(id);
        }
        expired
    }
}
