//! Settings of the membership protocol.

use std::time::Duration;

/// A bug that test builds inject to verify that the checks detect it. Ignored without the feature `faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A process that was paused or declared dead continues in its old incarnation, and a restarted process reuses its
    /// previous incarnation.
    ReusedIncarnation,
    /// A member that misses an ack is declared dead, without indirect probes or a chance to refute.
    NoIndirectProbes,
    /// Dead members are never removed.
    DeadKeptForever,
}

/// Intervals and limits of the membership protocol.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// The interval between probes sent by a healthy node. Default 500 ms.
    pub probe_interval: Duration,
    /// The shortest ack timeout. Default 100 ms.
    pub min_ack_timeout: Duration,
    /// The shortest suspicion timeout; a longer pause of the process ends the incarnation. Default 1 s.
    pub min_suspicion_timeout: Duration,
    /// The interval between gossip rounds. Default 100 ms.
    pub gossip_interval: Duration,
    /// How long members that left or died are kept in the table. Default 10 min.
    pub dead_retention: Duration,
    /// The most members in the table, including those that left or died. Default 2048.
    pub max_members: usize,
    /// The largest frame without its envelope, in bytes. Default 160.
    pub max_frame_bytes: usize,
    /// The number of members asked for indirect probes of a member that sends no ack. Default 3.
    pub indirect_probes: usize,
    /// An injected bug; ignored without the feature `faults`.
    pub injected_bug: Option<InjectedBug>,
}

impl MembershipSettings {
    /// Whether this build injects the bug.
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
