//! Settings of the membership protocol.

use std::time::Duration;

/// A bug that test builds inject to show that the checks notice it. Ignored without the feature `faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A process that was paused or declared dead continues in its old incarnation, and a restarted process takes the
    /// incarnation that it had.
    ReusedIncarnation,
    /// A missing ack counts as a death: there are no indirect probes and no refutation.
    NoIndirectProbes,
    /// Dead members are never removed.
    DeadKeptForever,
}

/// Intervals and bounds of the membership protocol.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Interval between two probes of a healthy node. Default 500 ms.
    pub probe_interval: Duration,
    /// The shortest time that an ack is waited for. Default 100 ms.
    pub min_ack_timeout: Duration,
    /// The shortest time between a suspicion and its expiry; a pause that is longer ends the incarnation. Default 1 s.
    pub min_suspicion_timeout: Duration,
    /// Interval between two rounds of gossip. Default 100 ms.
    pub gossip_interval: Duration,
    /// How long members that left or died are remembered. Default 10 min.
    pub dead_retention: Duration,
    /// The most members, including those that left or died. Default 2048.
    pub max_members: usize,
    /// The most bytes of a frame without its envelope. Default 160.
    pub max_frame_bytes: usize,
    /// Members that are asked to probe one that does not answer. Default 3.
    pub indirect_probes: usize,
    /// An injected bug; ignored without the feature `faults`.
    pub injected_bug: Option<InjectedBug>,
}

impl MembershipSettings {
    /// Whether this build injects that bug.
    pub(crate) fn injects(&self, bug: InjectedBug) -> bool {
        cfg!(feature = "faults") && self.injected_bug == Some(bug)
    }
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            probe_interval: Duration::from_millis(500),
            min_ack_timeout: Duration::from_millis(100),
            min_suspicion_timeout: Duration::from_secs(1),
            gossip_interval: Duration::from_millis(100),
            dead_retention: Duration::from_secs(600),
            max_members: 2048,
            max_frame_bytes: 160,
            indirect_probes: 3,
            injected_bug: None,
        }
    }
}
