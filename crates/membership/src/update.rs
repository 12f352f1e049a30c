//! What members assert about each other, and which of two assertions wins.

use crate::incarnation::Incarnation;
use crate::name::Name;
use std::net::SocketAddr;

/// The state of a member's incarnation. Among updates of one incarnation and refutation the greater state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// A probe of it failed; it can still refute the suspicion.
    Suspect,
    /// It left in an orderly way.
    Left,
    /// Its suspicion expired. Final for the incarnation: it has to come back in a new one.
    Dead,
}

impl MemberState {
    /// Whether a member in this state counts as part of the fleet.
    pub fn is_active(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// An assertion about the state of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberUpdate {
    /// The member it is about.
    pub name: Name,
    /// Where that member is reached.
    pub address: SocketAddr,
    /// The incarnation it is about.
    pub incarnation: Incarnation,
    /// A counter that the member itself raises to refute a suspicion.
    pub refutation: u32,
    /// The asserted state.
    pub state: MemberState,
    /// The hash of the name of the member that suspects, so that independent suspicions can be counted; 0 otherwise.
    pub suspected_by: u32,
}

impl MemberUpdate {
    /// Whether the update supersedes what is known: a newer incarnation, a newer refutation, or a greater state of the
    /// same. Leaving and death are final for an incarnation, whatever the refutation.
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
