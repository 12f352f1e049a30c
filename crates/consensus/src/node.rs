//! The part that runs on every node: requests leases, fetches missing versions and tracks which versions the node may act on.

use crate::lease::LeaseHolder;
use crate::messages::{LeaseRequest, LeaseResponse};
use crate::timing::Timing;
use sillward_fleet_settings::{History, Version, VersionStatus};
use std::time::Duration;

/// The interval between two attempts to fetch versions.
const FETCH_INTERVAL: Duration = Duration::from_millis(150);
/// Fetch attempts from voters before each one from an arbitrary member.
const VOTER_FETCH_ATTEMPTS: u64 = 2;

/// An input to a [`Node`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A voter's response, with the voter's index in the list of voters.
    LeaseResponse(usize, LeaseResponse),
    /// Versions were received, from any sender.
    Versions(Vec<Version>),
    /// Another member has reported that the version of this number is committed.
    VersionObserved(u64),
}

/// What the caller must do for a [`Node`].
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to every voter.
    RequestLease(LeaseRequest),
    /// Request newer versions.
    Fetch {
        /// The number of the newest version that the node has.
        after: u64,
        /// Whether to request them from a voter drawn at random, or from any member.
        from_voter: bool,
    },
    /// The versions that the node has or may act on have changed.
    StatusChanged,
}

/// A node's lease and versions.
pub struct Node {
    lease: LeaseHolder,
    history: History,
    next_fetch_at: Duration,
    fetch_attempts: u64,
    /// The status and the newest version at the last event.
    last_status: VersionStatus,
    last_newest: u64,
}

impl Node {
    /// Creates the node at the start of a process. It knows no version, and uses conservative values until it holds a
    /// lease.
    pub fn new(
        timing: Timing,
        log_id: u64,
        voter_count: usize,
        session: u64,
        now: Duration,
    ) -> Self {
        Node {
            lease: LeaseHolder::new(timing, log_id, voter_count, session, now),
            history: History::default(),
            next_fetch_at: now,
            fetch_attempts: 0,
            last_status: VersionStatus::default(),
            last_newest: 0,
        }
    }

    /// The versions that the node has.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The node's lease.
    pub fn lease(&self) -> &LeaseHolder {
        &self.lease
    }

    /// The versions that the node knows of, and whether it holds a lease. While it does, no version that it does not know
    /// of can be in force.
    pub fn status(&self, now: Duration) -> VersionStatus {
        self.lease.status(now)
    }

    fn is_missing_versions(&self, now: Duration) -> bool {
        self.status(now).newest > self.history.newest()
    }

    /// When [`Event::Tick`] is due.
    pub fn next_wakeup(&self, now: Duration) -> Duration {
        let mut at = self.lease.next_request_at();
        if let Some(expires_at) = self.lease.expires_at().filter(|at| *at > now) {
            at = at.min(expires_at);
        }
        if self.is_missing_versions(now) {
            at = at.min(self.next_fetch_at);
        }
        at.max(now)
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::LeaseResponse(voter_index, response) => {
                self.lease.handle_response(now, voter_index, &response);
            }
            Event::Versions(versions) => {
                if self.history.merge(versions) {
                    self.next_fetch_at = now;
                    self.fetch_attempts = 0;
                }
                self.lease.observe_version(self.history.newest(), now);
            }
            Event::VersionObserved(newest) => self.lease.observe_version(newest, now),
        }
        let mut actions = Vec::new();
        actions.extend(self.lease.take_request(now).map(Action::RequestLease));
        actions.extend(self.fetch(now));
        actions.extend(self.status_change(now));
        actions
    }

    fn fetch(&mut self, now: Duration) -> Option<Action> {
        if !self.is_missing_versions(now) || now < self.next_fetch_at {
            return None;
        }
        let from_voter = self.fetch_attempts % (VOTER_FETCH_ATTEMPTS + 1) < VOTER_FETCH_ATTEMPTS;
        self.next_fetch_at = now + FETCH_INTERVAL;
        self.fetch_attempts += 1;
        Some(Action::Fetch {
            after: self.history.newest(),
            from_voter,
        })
    }

    fn status_change(&mut self, now: Duration) -> Option<Action> {
        let status = self.status(now);
        let newest = self.history.newest();
        if status == self.last_status && newest == self.last_newest {
            return None;
        }
        self.last_status = status;
        self.last_newest = newest;
        Some(Action::StatusChanged)
    }
}
