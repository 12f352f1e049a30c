//! The node's side of the lease protocol.

use crate::messages::{LeaseRequest, LeaseResponse};
use crate::timing::{InjectedBug, Timing, majority};
use sillward_fleet_settings::VersionStatus;
use std::collections::VecDeque;
use std::time::Duration;

/// The most requests whose responses are still accepted: more than a node sends during one lease.
const MAX_OPEN_REQUESTS: usize = 16;

/// The state that a voter's responses have established.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct VoterGrant {
    /// When the newest request that this voter granted was sent.
    requested_at: Option<Duration>,
    /// The newest version to which the voter consents.
    consented: u64,
}

/// A request whose responses are still accepted.
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
    last_request_number: u64,
    open_requests: VecDeque<OpenRequest>,
    grants_by_voter: Vec<VoterGrant>,
    /// The newest version that is known to be committed.
    newest: u64,
    in_force: u64,
    next_request_at: Duration,
}

impl LeaseHolder {
    /// Creates the holder at the start of a process. It has no lease until a majority has granted one.
    pub fn new(
        timing: Timing,
        log_id: u64,
        voter_count: usize,
        session: u64,
        now: Duration,
    ) -> Self {
        LeaseHolder {
            timing,
            log_id,
            session,
            last_request_number: 0,
            open_requests: VecDeque::new(),
            grants_by_voter: vec![VoterGrant::default(); voter_count],
            newest: 0,
            in_force: 0,
            next_request_at: now,
        }
    }

    /// When the next request is due.
    pub fn next_request_at(&self) -> Duration {
        self.next_request_at
    }

    /// Returns the request to send to every voter, if one is due.
    pub fn take_request(&mut self, now: Duration) -> Option<LeaseRequest> {
        if now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + self.timing.renew_interval;
        self.last_request_number += 1;
        self.open_requests.push_back(OpenRequest {
            number: self.last_request_number,
            sent_at: now,
        });
        while self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_front();
        }
        Some(LeaseRequest {
            log_id: self.log_id,
            session: self.session,
            number: self.last_request_number,
            known_version: self.newest,
        })
    }

    fn request_now(&mut self, now: Duration) {
        self.next_request_at = self.next_request_at.min(now);
    }

    /// Handles the response of a voter, by its index in the list of voters. Returns whether the status has changed.
    pub fn handle_response(
        &mut self,
        now: Duration,
        voter_index: usize,
        response: &LeaseResponse,
    ) -> bool {
        let is_for_this_session =
            response.log_id == self.log_id && response.session == self.session;
        if !is_for_this_session || voter_index >= self.grants_by_voter.len() {
            return false;
        }
        let before = self.status(now);
        self.observe_version(response.newest, now);
        let requested_at = self
            .open_requests
            .iter()
            .find(|request| request.number == response.number)
            .map(|request| request.sent_at);
        let grant = &mut self.grants_by_voter[voter_index];
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
        let mut consented: Vec<u64> = self
            .grants_by_voter
            .iter()
            .map(|voter| voter.consented)
            .collect();
        consented.sort_unstable_by(|a, b| b.cmp(a));
        let consented_by_majority = consented[majority(consented.len()) - 1];
        self.in_force = self.in_force.max(consented_by_majority);
        self.observe_version(self.in_force, now);
    }

    /// Records that a version is committed. From now on it affects the status, whether the node has its contents or not.
    pub fn observe_version(&mut self, newest: u64, now: Duration) {
        if newest > self.newest {
            self.newest = newest;
            self.request_now(now);
        }
    }

    /// When the lease expires; `None` without grants from a majority of the voters.
    pub fn expires_at(&self) -> Option<Duration> {
        let mut requested_at: Vec<Option<Duration>> = self
            .grants_by_voter
            .iter()
            .map(|voter| voter.requested_at)
            .collect();
        requested_at.sort_unstable_by(|a, b| b.cmp(a));
        let oldest_of_majority = requested_at[majority(requested_at.len()) - 1];
        oldest_of_majority.map(|at| at + self.timing.lease_duration())
    }

    /// The versions that the node knows of, and whether it holds a lease.
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
        self.grants_by_voter.iter().filter(is_valid).count()
    }
}
