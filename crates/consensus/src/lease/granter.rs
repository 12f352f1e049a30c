//! A voter's side of leases.

use crate::messages::{LeaseRequest, LeaseResponse};
use crate::timing::{InjectedBug, Timing};
use sillward_membership::Name;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A node by its name, and the session of its process.
type Session<N> = (N, u64);

/// The most leases on different versions that are distinguished for one session.
const MAX_GRANTS: usize = 8;

/// The lease on one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    /// The newest version that the response named.
    version: u64,
    /// When the lease ends for certain.
    until: Duration,
}

/// The leases of one session. A response may be lost: an earlier lease stays outstanding beside a later one until it has
/// expired or the node reports that it knows of a newer version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grants {
    /// By rising version.
    grants: VecDeque<Grant>,
    /// The number of the newest request that was answered.
    last_request: u64,
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

    /// Merges the two oldest into one that is no shorter than either.
    fn merge_oldest(&mut self) {
        if let (Some(oldest), Some(next)) = (self.grants.pop_front(), self.grants.pop_front()) {
            self.grants.push_front(Grant {
                version: oldest.version,
                until: oldest.until.max(next.until),
            });
        }
    }

    /// The node acts on nothing older any more.
    fn drop_older_than(&mut self, version: u64) {
        self.grants.retain(|grant| grant.version >= version);
    }

    /// Drops what has expired. Returns whether anything is left.
    fn expire(&mut self, now: Duration) -> bool {
        self.grants.retain(|grant| grant.until > now);
        !self.grants.is_empty()
    }
}

/// A lease that keeps a voter from consenting to the newest version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockingLease<N> {
    /// The node that has it.
    pub node: N,
    /// The newest version that the node may act on.
    pub version: u64,
    /// How long at the most.
    pub remaining: Duration,
}

/// The leases that a voter has granted. They are not stored on disk: a restarted voter waits as if it had granted every
/// possible lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGranter<N: Ord = Name> {
    timing: Timing,
    log_id: u64,
    /// Until when leases of an earlier process may be outstanding.
    restart_wait_until: Duration,
    newest: u64,
    consented: u64,
    outstanding: BTreeMap<Session<N>, Grants>,
    /// How many requests were rejected because there were [`Timing::max_leases`].
    pub rejected: u64,
}

impl<N: Ord + Clone> LeaseGranter<N> {
    /// The granter of a process that starts now, with `newest` as the newest version on its disk.
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
            // Version 0 conflicts with nothing.
            consented: 0,
            outstanding: BTreeMap::new(),
            rejected: 0,
        }
    }

    /// A version is committed, and on this voter's disk.
    pub fn on_committed(&mut self, newest: u64) {
        self.newest = self.newest.max(newest);
    }

    /// Grants a lease, or rejects it if there are too many.
    pub fn handle_request(
        &mut self,
        now: Duration,
        from: &N,
        request: &LeaseRequest,
    ) -> LeaseResponse {
        self.expire(now);
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
            last_request: 0,
        });
        grants.last_request = grants.last_request.max(request.number);
        grants.drop_older_than(request.known_version);
        // A node that knows of a newer version than this voter learns of it from one that has it committed.
        grants.add(self.newest.max(request.known_version), until);
    }

    /// Notifications of the present state, without a lease, for all nodes that have one.
    pub fn notifications(&mut self, now: Duration) -> Vec<(N, LeaseResponse)> {
        self.expire(now);
        let sessions: Vec<(N, u64, u64)> = self
            .outstanding
            .iter()
            .map(|((name, session), grants)| (name.clone(), *session, grants.last_request))
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

    fn expire(&mut self, now: Duration) {
        self.outstanding.retain(|_, grants| grants.expire(now));
    }

    /// The newest version below which no lease is outstanding. It never falls.
    pub fn consented(&mut self, now: Duration) -> u64 {
        self.expire(now);
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

    /// When the next lease expires that blocks the newest version; `None` if nothing blocks it.
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
