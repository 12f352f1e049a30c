//! A node's side of leases.

use crate::messages::{LeaseRequest, LeaseResponse};
use crate::timing::{InjectedBug, Timing, majority};
use sillward_fleet_settings::VersionStatus;
use std::collections::VecDeque;
use std::time::Duration;

/// The most requests whose responses still count: more than are sent during a lease.
const MAX_OPEN_REQUESTS: usize = 16;

/// What a node has from a voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct VoterGrant {
    /// When the newest request was sent for which this voter granted a lease.
    requested_at: Option<Duration>,
    consented: u64,
}

/// A request that may still be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OpenRequest {
    number: u64,
    sent_at: Duration,
}

/// The lease of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    timing: Timing,
    log_id: u64,
    session: u64,
    /// The number of the last request.
    number: u64,
    open_requests: VecDeque<OpenRequest>,
    voters: Vec<VoterGrant>,
    newest: u64,
    in_force: u64,
    next_request_at: Duration,
}

impl LeaseHolder {
    /// The holder of a process that starts now, with that many voters. It has no lease before it has requested one.
    pub fn new(timing: Timing, log_id: u64, voters: usize, session: u64, now: Duration) -> Self {
        LeaseHolder {
            timing,
            log_id,
            session,
            number: 0,
            open_requests: VecDeque::new(),
            voters: vec![VoterGrant::default(); voters],
            newest: 0,
            in_force: 0,
            next_request_at: now,
        }
    }

    /// When the next request is due.
    pub fn next_request_at(&self) -> Duration {
        self.next_request_at
    }

    /// The request to send to every voter, if one is due.
    pub fn take_request(&mut self, now: Duration) -> Option<LeaseRequest> {
        if now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + self.timing.renew_interval;
        self.number += 1;
        self.open_requests.push_back(OpenRequest {
            number: self.number,
            sent_at: now,
        });
        while self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_front();
        }
        Some(LeaseRequest {
            log_id: self.log_id,
            session: self.session,
            number: self.number,
            known_version: self.newest,
        })
    }

    fn request_now(&mut self, now: Duration) {
        self.next_request_at = self.next_request_at.min(now);
    }

    /// Takes the response of the voter at that place, counted from 0. Returns whether the status has changed.
    pub fn handle_response(
        &mut self,
        now: Duration,
        voter: usize,
        response: &LeaseResponse,
    ) -> bool {
        let is_own = response.log_id == self.log_id && response.session == self.session;
        if !is_own || voter >= self.voters.len() {
            return false;
        }
        let before = self.status(now);
        self.observe_version(response.newest, now);
        let requested_at = self
            .open_requests
            .iter()
            .find(|request| request.number == response.number)
            .map(|request| request.sent_at);
        let grant = &mut self.voters[voter];
        if let (Some(requested_at), true) = (requested_at, response.granted) {
            let counts_from = if self.timing.has_bug(InjectedBug::LeaseFromArrival) {
                now
            } else {
                requested_at
            };
            grant.requested_at = grant.requested_at.max(Some(counts_from));
        }
        grant.consented = grant.consented.max(response.consented);
        self.update_in_force(now);
        before != self.status(now)
    }

    /// A version is in force once a majority consents to it or to a newer one.
    fn update_in_force(&mut self, now: Duration) {
        let mut consented: Vec<u64> = self.voters.iter().map(|voter| voter.consented).collect();
        consented.sort_unstable_by(|a, b| b.cmp(a));
        let by_majority = consented[majority(consented.len()) - 1];
        self.in_force = self.in_force.max(by_majority);
        self.observe_version(self.in_force, now);
    }

    /// A version is known to be committed. It counts from now on, whether the node has its contents or not.
    pub fn observe_version(&mut self, newest: u64, now: Duration) {
        if newest > self.newest {
            self.newest = newest;
            self.request_now(now);
        }
    }

    /// When the lease expires; `None` without grants of a majority.
    pub fn expires_at(&self) -> Option<Duration> {
        let mut requested_at: Vec<Option<Duration>> =
            self.voters.iter().map(|voter| voter.requested_at).collect();
        requested_at.sort_unstable_by(|a, b| b.cmp(a));
        let oldest_of_majority = requested_at[majority(requested_at.len()) - 1];
        oldest_of_majority.map(|at| at + self.timing.lease_duration())
    }

    /// The versions that the node knows of, and whether it has a lease.
    pub fn status(&self, now: Duration) -> VersionStatus {
        VersionStatus {
            in_force: self.in_force,
            newest: self.newest,
            has_lease: self.expires_at().is_some_and(|expires_at| now < expires_at),
        }
    }

    /// The number of voters whose grants have not expired.
    pub fn responding_voters(&self, now: Duration) -> usize {
        let is_valid = |voter: &&VoterGrant| {
            voter
                .requested_at
                .is_some_and(|at| at + self.timing.lease_duration() > now)
        };
        self.voters.iter().filter(is_valid).count()
    }
}
