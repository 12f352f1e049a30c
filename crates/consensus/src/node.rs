//! The side of every node: it requests leases, fetches versions that it lacks, and knows what it may act on.

use crate::lease::LeaseHolder;
use crate::messages::{LeaseRequest, LeaseResponse};
use crate::timing::Timing;
use sillward_fleet_settings::{History, Version, VersionStatus};
use std::time::Duration;

/// Between two attempts to fetch versions.
const FETCH_INTERVAL: Duration = Duration::from_millis(150);
/// Attempts at voters before one at any member that knows of the versions.
const ATTEMPTS_AT_VOTERS: u64 = 2;

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A response of the voter at that place, counted from 0.
    LeaseResponse(usize, LeaseResponse),
    /// Versions have come, from any sender.
    Versions(Vec<Version>),
    /// Another member knows of a committed version.
    VersionObserved(u64),
}

/// What a node does.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends a request to every voter.
    RequestLease(LeaseRequest),
    /// Requests the versions after that one.
    Fetch {
        /// The number of the newest version that it has.
        after: u64,
        /// Whether to ask a voter, drawn at random, or any member.
        from_voter: bool,
    },
    /// What it may act on has changed.
    StatusChanged,
}

/// A node.
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
    /// The node of a process that starts now, with that many voters. It knows no version, and uses conservative values
    /// until it has a lease.
    pub fn new(timing: Timing, log_id: u64, voters: usize, session: u64, now: Duration) -> Self {
        Node {
            lease: LeaseHolder::new(timing, log_id, voters, session, now),
            history: History::default(),
            next_fetch_at: now,
            fetch_attempts: 0,
            last_status: VersionStatus::default(),
            last_newest: 0,
        }
    }

    /// The versions that it has.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Its lease.
    pub fn lease(&self) -> &LeaseHolder {
        &self.lease
    }

    /// The versions that it knows of, and whether it has a lease. A newer version that it does not know of cannot matter
    /// while it has one.
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

    /// Takes an event.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::LeaseResponse(voter, response) => {
                self.lease.handle_response(now, voter, &response);
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
        let from_voter = self.fetch_attempts % (ATTEMPTS_AT_VOTERS + 1) < ATTEMPTS_AT_VOTERS;
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
