//! The voter's side of the lease protocol.

use crate::messages::{LeaseRequest, LeaseResponse};
use crate::timing::{InjectedBug, Timing};
use sillward_membership::Name;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A node's name and the session of its process.
type Session<N> = (N, u64);

/// The most grants on different versions that are kept apart for one session; beyond that the oldest two are merged.
const MAX_GRANTS: usize = 8;

/// A granted lease on one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    /// The newest version that the response named.
    version: u64,
    /// When the lease has expired by the holder's clock too.
    until: Duration,
}

/// The grants to one session. The response to a later request may be lost, so an earlier grant stays outstanding beside a
/// later one until it expires or the node reports that it knows of a newer version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grants {
    /// In ascending order of versions.
    grants: VecDeque<Grant>,
    last_request_number: u64,
}

impl Grants {
    fn add(&mut self, version: u64, until: Duration) {
        let same_or_newer = self
            .grants
            .iter_mut()
            .find(|grant| grant.version >= version);
        match same_or_newer {
            Some(grant) => grant.until = until.max(grant.until),
            None => self.grants.push_back(Grant { version, until }),
        }
        if self.grants.len() > MAX_GRANTS {
            self.merge_oldest();
        }
    }

    /// Merges the two oldest grants into one that covers both.
    fn merge_oldest(&mut self) {
        if let (Some(oldest), Some(next)) = (self.grants.pop_front(), self.grants.pop_front()) {
            self.grants.push_front(Grant {
                version: oldest.version,
                until: oldest.until.max(next.until),
            });
        }
    }

    /// Drops grants on versions that the node no longer acts on.
    fn drop_older_than(&mut self, version: u64) {
        self.grants.retain(|grant| grant.version >= version);
    }

    /// Drops expired grants. Returns whether any is left.
    fn drop_expired(&mut self, now: Duration) -> bool {
        self.grants.retain(|grant| grant.until > now);
        !self.grants.is_empty()
    }
}

/// A lease that prevents a voter from consenting to the newest version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockingLease<N> {
    /// The node that holds the lease.
    pub node: N,
    /// The newest version that the node may act on.
    pub version: u64,
    /// The longest time for which the lease still blocks.
    pub remaining: Duration,
}

/// The leases that a voter has granted. They are not persisted: a restarted voter waits for [`Timing::grant_duration`], in
/// which every lease that an earlier process may have granted expires.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGranter<N: Ord = Name> {
    timing: Timing,
    log_id: u64,
    /// Until when leases that an earlier process granted may be outstanding.
    restart_wait_until: Duration,
    /// The newest version that is committed and on this voter's disk.
    newest: u64,
    /// The last result of [`LeaseGranter::consented`].
    consented: u64,
    outstanding: BTreeMap<Session<N>, Grants>,
    /// The number of requests that were rejected because [`Timing::max_leases`] were outstanding.
    pub rejected: u64,
}

impl<N: Ord + Clone> LeaseGranter<N> {
    /// Creates the granter at the start of a process; `newest` is the newest committed version on the voter's disk.
    pub fn new(timing: Timing, log_id: u64, newest: u64, now: Duration) -> Self {
        let restart_wait = if timing.has_bug(InjectedBug::ForgetLeases) {
            Duration::ZERO
        } else {
            timing.grant_duration()
        };
        LeaseGranter {
            timing,
            log_id,
            restart_wait_until: now + restart_wait,
            newest,
            // Version 0 is empty and conflicts with no other.
            consented: 0,
            outstanding: BTreeMap::new(),
            rejected: 0,
        }
    }

    /// Records that a version is committed and on this voter's disk.
    pub fn on_committed(&mut self, newest: u64) {
        self.newest = self.newest.max(newest);
    }

    /// Grants a lease, or rejects the request if too many sessions have one.
    pub fn handle_request(
        &mut self,
        now: Duration,
        from: &N,
        request: &LeaseRequest,
    ) -> LeaseResponse {
        self.drop_expired(now);
        let session = (from.clone(), request.session);
        let granted = self.outstanding.contains_key(&session)
            || self.outstanding.len() < self.timing.max_leases;
        if granted {
            self.grant(now, session, request);
        } else {
            self.rejected += 1;
        }
        self.response(now, request.session, request.number, granted)
    }

    fn grant(&mut self, now: Duration, session: Session<N>, request: &LeaseRequest) {
        let until = now + self.timing.grant_duration();
        let grants = self.outstanding.entry(session).or_insert(Grants {
            grants: VecDeque::new(),
            last_request_number: 0,
        });
        grants.last_request_number = grants.last_request_number.max(request.number);
        grants.drop_older_than(request.known_version);
        // The node may know of a newer version than this voter if another voter has told it that the version is committed.
        grants.add(self.newest.max(request.known_version), until);
    }

    /// Returns notifications of the current state, which grant no lease, for all nodes that hold one.
    pub fn notifications(&mut self, now: Duration) -> Vec<(N, LeaseResponse)> {
        self.drop_expired(now);
        let sessions: Vec<(N, u64, u64)> = self
            .outstanding
            .iter()
            .map(|((name, session), grants)| (name.clone(), *session, grants.last_request_number))
            .collect();
        sessions
            .into_iter()
            .map(|(name, session, number)| (name, self.response(now, session, number, false)))
            .collect()
    }

    fn response(
        &mut self,
        now: Duration,
        session: u64,
        number: u64,
        granted: bool,
    ) -> LeaseResponse {
        let consented = self.consented(now);
        LeaseResponse {
            log_id: self.log_id,
            session,
            number,
            newest: self.newest,
            consented,
            granted,
        }
    }

    fn drop_expired(&mut self, now: Duration) {
        self.outstanding
            .retain(|_, grants| grants.drop_expired(now));
    }

    /// The newest version to which this voter consents: no lease on an older one is outstanding. It never decreases.
    pub fn consented(&mut self, now: Duration) -> u64 {
        self.drop_expired(now);
        let skip_wait = self.timing.has_bug(InjectedBug::SkipLeaseWait);
        if now < self.restart_wait_until && !skip_wait {
            return self.consented;
        }
        let oldest_granted = self
            .outstanding
            .values()
            .flat_map(|grants| grants.grants.front())
            .map(|grant| grant.version)
            .min()
            .filter(|_| !skip_wait);
        let consented = oldest_granted.unwrap_or(self.newest).min(self.newest);
        self.consented = self.consented.max(consented);
        self.consented
    }

    /// When the next of the leases that block the newest version expires; `None` if nothing blocks it.
    pub fn next_expiry(&self, now: Duration) -> Option<Duration> {
        if self.consented >= self.newest {
            return None;
        }
        let grants = self.outstanding.values().flat_map(|grants| &grants.grants);
        let next_grant = grants
            .filter(|grant| grant.version < self.newest)
            .map(|grant| grant.until)
            .min();
        let restart_wait = (self.restart_wait_until > now).then_some(self.restart_wait_until);
        next_grant.into_iter().chain(restart_wait).min()
    }

    /// The leases that block the newest version.
    pub fn blocking_leases(&self, now: Duration) -> Vec<BlockingLease<N>> {
        let grants = self
            .outstanding
            .iter()
            .flat_map(|((name, _), grants)| grants.grants.iter().map(move |grant| (name, grant)));
        let blocking = grants.filter(|(_, grant)| grant.version < self.newest && grant.until > now);
        blocking
            .map(|(name, grant)| BlockingLease {
                node: name.clone(),
                version: grant.version,
                remaining: grant.until - now,
            })
            .collect()
    }

    /// The number of sessions with leases.
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }
}
