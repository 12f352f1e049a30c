//! Times and bounds of the protocol, and the bugs that tests inject into it.

use std::time::Duration;

/// A bug that tests inject to see that their checks find it. The shipped program has no way to inject one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A lease counts from the arrival of the response instead of from its request.
    LeaseFromArrival,
    /// A voter sends messages before its disk has what they follow from.
    SendBeforeSync,
    /// A voter consents to a version without waiting for the leases that it granted.
    SkipLeaseWait,
    /// A restarted voter does not wait for the leases that it may have granted before.
    ForgetLeases,
}

/// Times and bounds of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// No two nodes act on conflicting values for longer. A lease lasts half of it.
    pub conflict_bound: Duration,
    /// Between two lease requests of a node.
    pub renew_interval: Duration,
    /// By how many parts in a thousand two clocks may differ in rate.
    pub clock_drift_permille: u32,
    /// The most nodes to which a voter grants leases at a time.
    pub max_leases: usize,
    /// An injected bug.
    pub injected_bug: Option<InjectedBug>,
}

impl Default for Timing {
    fn default() -> Self {
        Timing::with_bound(Duration::from_secs(2))
    }
}

impl Timing {
    /// The default times for a [`Timing::conflict_bound`].
    pub fn with_bound(conflict_bound: Duration) -> Self {
        Timing {
            conflict_bound,
            renew_interval: conflict_bound / 6,
            clock_drift_permille: 10,
            max_leases: 4096,
            injected_bug: None,
        }
    }

    /// How long a node acts on what is committed, from the time of its request.
    pub fn lease_duration(&self) -> Duration {
        let half = self.conflict_bound / 2;
        half - half * self.clock_drift_permille / 1000
    }

    /// How long a voter waits for a lease that it granted, from the time of the grant.
    pub fn grant_duration(&self) -> Duration {
        let half = self.conflict_bound / 2;
        half + half * self.clock_drift_permille / 1000
    }

    pub(crate) fn has_bug(&self, bug: InjectedBug) -> bool {
        self.injected_bug == Some(bug)
    }
}

/// The size of a majority of that many voters.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
