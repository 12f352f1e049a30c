//! Assertions of members about each other's states, and the precedence among them.

use crate::incarnation::Incarnation;
use crate::name::Name;
use std::net::SocketAddr;

/// The state of a member's incarnation. Of two updates with the same incarnation and refutation, the greater state
/// wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// The member is not suspected.
    Alive,
    /// A probe of the member failed; it can still refute the suspicion.
    Suspect,
    /// The member left gracefully.
    Left,
    /// The suspicion of the member expired. Final for the incarnation: the member must return in a new one.
    Dead,
}

impl MemberState {
    /// Whether a member in this state is part of the fleet.
    pub fn is_active(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// An assertion about the state of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberUpdate {
    /// The name of the member.
    pub name: Name,
    /// The address at which the member can be reached.
    pub address: SocketAddr,
    /// The incarnation of the member.
    pub incarnation: Incarnation,
    /// A counter that the member itself increments to refute a suspicion.
    pub refutation: u32,
    /// The asserted state.
    pub state: MemberState,
    /// The name hash of the suspecting member, so that independent suspicions can be counted; 0 if there is none.
    pub suspected_by: u32,
}

impl MemberUpdate {
    /// Whether the update supersedes the known state: it has a newer incarnation, a higher refutation counter, or a
    /// greater state with the same counter. [`MemberState::Left`] and [`MemberState::Dead`] are final for an
    /// incarnation, whatever the counter.
    pub fn supersedes(
        &self,
        incarnation: Incarnation,
        refutation: u32,
        state: MemberState,
    ) -> bool {
        if self.incarnation != incarnation {
            return self.incarnation > incarnation;
        }
        match (self.state.is_active(), state.is_active()) {
            (_, false) => false,
            (false, true) => true,
            (true, true) => (self.refutation, self.state) > (refutation, state),
        }
    }
}

#[cfg(test)]
mod tests;
