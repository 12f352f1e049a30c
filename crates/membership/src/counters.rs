//! What the membership protocol counts.

/// Counters since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Incarnations begun.
    pub incarnations: u64,
    /// Members that this node itself suspected.
    pub suspected: u64,
    /// Members that this node declared dead when its own suspicion timeout expired.
    pub declared_dead: u64,
    /// Suspicions of this node that it refuted.
    pub refutations: u64,
    /// Frames addressed to an earlier incarnation of this node.
    pub to_earlier_incarnation: u64,
    /// Frames from an incarnation that has ended.
    pub from_ended_incarnation: u64,
    /// Frames from senders that do not know this node's incarnation.
    pub to_unknown_incarnation: u64,
    /// Frames under this node's own name.
    pub name_conflicts: u64,
    /// Updates and values that were invalid.
    pub invalid: u64,
    /// Updates about new members that were rejected because the member table was full.
    pub capacity_rejections: u64,
    /// Replies that were suppressed by a rate limit.
    pub rate_limited_responses: u64,
    /// Anti-entropy exchanges begun by this node.
    pub sync_exchanges: u64,
    /// Anti-entropy messages that changed what this node knows.
    pub productive_sync_messages: u64,
    /// Pauses of the process that ended an incarnation.
    pub pauses: u64,
}
