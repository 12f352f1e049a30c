//! Durations and limits of the lease protocol, and the bugs that tests inject into it.

use std::time::Duration;

/// A bug that tests inject to show that their checks detect it. The shipped program has no way to inject one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A lease is counted from the arrival of the response instead of the sending of the request.
    LeaseFromArrival,
    /// A voter sends messages before the state that they depend on is on its disk.
    SendBeforeSync,
    /// A voter consents to a version without waiting for the leases that it granted.
    SkipLeaseWait,
    /// A restarted voter does not wait for the leases that it may have granted before.
    ForgetLeases,
}

/// Durations and limits of the lease protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// The longest time for which two nodes may act on conflicting values. A lease lasts half of it.
    pub conflict_bound: Duration,
    /// The interval between two lease requests of a node.
    pub renew_interval: Duration,
    /// The most by which the rates of two clocks may differ, in parts per thousand. Leases are shortened and waits for them
    /// lengthened by as much.
    pub clock_drift_permille: u32,
    /// The most sessions of nodes that may hold leases of one voter at a time.
    pub max_leases: usize,
    /// The bug that a test injects, if any.
    pub injected_bug: Option<InjectedBug>,
}

impl Default for Timing {
    fn default() -> Self {
        Timing::with_bound(Duration::from_secs(2))
    }
}

impl Timing {
    /// Derives the other values from a [`Timing::conflict_bound`].
    pub fn with_bound(conflict_bound: Duration) -> Self {
        Timing {
            conflict_bound,
            renew_interval: conflict_bound / 6,
            clock_drift_permille: 10,
            max_leases: 4096,
            injected_bug: None,
        }
    }

    /// How long a lease lasts for its holder, from the sending of the request.
    pub fn lease_duration(&self) -> Duration {
        let half = self.conflict_bound / 2;
        half - half * self.clock_drift_permille / 1000
    }

    /// How long a voter waits for the expiry of a lease, from the time of the grant.
    pub fn grant_duration(&self) -> Duration {
        let half = self.conflict_bound / 2;
        half + half * self.clock_drift_permille / 1000
    }

    pub(crate) fn has_bug(&self, bug: InjectedBug) -> bool {
        self.injected_bug == Some(bug)
    }
}

/// The number of voters that form a majority.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
