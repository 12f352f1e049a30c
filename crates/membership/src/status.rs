//! The status of a node's membership in its fleet.

/// The status of this node's membership. Code that acts on behalf of the fleet must check it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipStatus {
    /// No member has sent a frame addressed to the current incarnation yet: the node must not act on earlier state.
    Joining,
    /// The node has joined in its current incarnation and is receiving frames.
    Joined,
    /// The node receives no frames: it keeps the last known state of the other members and declares none of them dead.
    Isolated,
    /// Another process uses this node's name: the node is silent for a while.
    NameConflict,
}
