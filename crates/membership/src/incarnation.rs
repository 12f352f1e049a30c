//! A member's name, the incarnation it is in, and what is claimed of that.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// A member's name: 1 to [`Name::MAX_BYTES`] bytes. Cheap to copy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Rc<str>);

impl Name {
    /// The longest name, in bytes: an update must fit a frame of 256 bytes several times.
    pub const MAX_BYTES: usize = 24;

    /// A name; `None` if it is empty, too long, or has control characters.
    pub fn new(text: &str) -> Option<Self> {
        let good = !text.is_empty()
            && text.len() <= Self::MAX_BYTES
            && !text.chars().any(char::is_control);
        good.then(|| Name(text.into()))
    }

    /// As text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One incarnation of a process under its name: its incarnation. Ordered by epoch, then salt; a newer incarnation ends every older one.
///
/// The epoch rises from incarnation to incarnation, as far as the folder and the other members remember. The salt is drawn anew for each:
/// where both memories are lost, a incarnation of an equal epoch is still another incarnation (but for 1 in 2^32).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// From 1.
    pub epoch: u32,
    /// Never 0.
    pub salt: u32,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:08x}", self.epoch, self.salt)
    }
}

/// What a incarnation is held to be. Among claims of one incarnation and refutation the later one here counts more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// Somebody had no answer; it may still speak for itself.
    Suspect,
    /// It said goodbye.
    Left,
    /// It did not answer for long enough. Final: it must come back in a new incarnation.
    Dead,
}

impl MemberState {
    /// Whether it is counted among the fleet.
    pub fn is_active(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// What somebody claims of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberUpdate {
    /// Whom it is about.
    pub name: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// In which incarnation.
    pub incarnation: Incarnation,
    /// A number that the member itself raises to speak against a suspicion.
    pub refutation: u32,
    /// What is claimed.
    pub state: MemberState,
    /// Who suspects (a hash of the name), so that independent suspicions can be told apart; 0 else.
    pub suspected_by: u32,
}

impl MemberUpdate {
    /// Whether it says more than what is known: a newer incarnation, a newer refutation, or worse of the same. An end is final for its
    /// incarnation, whatever the refutation.
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

/// What a member tells of itself once, at the start of a incarnation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeMetadata {
    /// Its zone; empty if it has none.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The build it runs.
    pub build: String,
    /// Names of what it capabilities, so that nobody asks it for what it does not know.
    pub capabilities: Vec<String>,
}
