//! Counters of the membership protocol.

/// Counters since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Incarnations that this node began.
    pub incarnations: u64,
    /// Members that this node suspected because its own probe failed.
    pub suspected: u64,
    /// Members that this node declared dead because a suspicion timeout expired here.
    pub declared_dead: u64,
    /// Suspicions about this node that it refuted.
    pub refutations: u64,
    /// Frames addressed to an earlier incarnation of this node.
    pub to_earlier_incarnation: u64,
    /// Frames from an incarnation that has ended.
    pub from_ended_incarnation: u64,
    /// Frames from senders that did not know this node's incarnation.
    pub to_unknown_incarnation: u64,
    /// Frames whose sender has this node's own name.
    pub name_conflicts: u64,
    /// Invalid updates and values.
    pub invalid: u64,
    /// Updates about unknown members that were rejected because the member table was full.
    pub capacity_rejections: u64,
    /// Responses that a rate limit suppressed.
    pub rate_limited_responses: u64,
    /// Anti-entropy exchanges that this node began.
    pub sync_exchanges: u64,
    /// Anti-entropy messages that changed this node's digest.
    pub productive_sync_messages: u64,
    /// Pauses of the process that ended an incarnation.
    pub pauses: u64,
}
