//! Incarnations: successive runs of a member under one name.

use std::fmt;

/// One incarnation of a member. Ordered by epoch, then by salt; a newer incarnation supersedes every older one.
///
/// The epoch rises from one incarnation to the next, as far as the state directory and the other members remember. The
/// salt is drawn at random for each incarnation, so that incarnations of equal epoch differ even where both memories are
/// lost (except with probability 2^-32).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Starts at 1.
    pub epoch: u32,
    /// Never 0.
    pub salt: u32,
}

impl Incarnation {
    /// Whether a process can be in this incarnation: neither part is 0.
    pub fn is_valid(self) -> bool {
        self.epoch > 0 && self.salt > 0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:08x}", self.epoch, self.salt)
    }
}
