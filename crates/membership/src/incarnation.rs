//! Incarnations: successive runs of a member under one name.

use std::fmt;

/// One incarnation of a member. Incarnations are ordered by epoch, then by salt; a newer one supersedes all older ones.
///
/// Each incarnation has a higher epoch than the one before, as long as the state directory or another member still has
/// that epoch. The salt is drawn at random for each incarnation, so that two incarnations with the same epoch differ
/// even if no one has the earlier epoch any more (except with probability 2^-32).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The epoch, at least 1.
    pub epoch: u32,
    /// The random salt, never 0.
    pub salt: u32,
}

impl Incarnation {
    /// Whether both the epoch and the salt are other than 0, as in every incarnation that a node begins.
    pub fn is_valid(self) -> bool {
        self.epoch > 0 && self.salt > 0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:08x}", self.epoch, self.salt)
    }
}
