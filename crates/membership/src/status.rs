//! How a node stands towards its fleet.

/// The state of this node's membership. Whatever acts on behalf of the fleet checks it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipStatus {
    /// The node has asked to join in this incarnation and nobody has answered: it must not act on what it knew before.
    Joining,
    /// Another member has answered this incarnation, and frames are being received.
    Joined,
    /// No frames are received: the node keeps what it last knew of the others and declares nobody dead.
    Isolated,
    /// Another process uses this node's name; the node stays silent for a while.
    NameConflict,
}
