//! Whoever counts what the node does. It decides nothing and is told nothing that the module is not.

use sillward_balancer::{Outcome, ServerId};
use std::time::Duration;

/// Hears what happens in the node's own loop, so it has to be quick.
pub trait Witness {
    /// A call was taken.
    fn taken(&self, now: Duration, class: usize, again: bool);
    /// A call was turned away by the module.
    fn refused(&self, now: Duration, class: usize);
    /// An attempt has ended: so long after its call came, and so long after it was sent.
    fn ended(
        &self,
        now: Duration,
        class: usize,
        at: ServerId,
        outcome: Outcome,
        since: [Duration; 2],
    );
    /// A backend is probed.
    fn probed(&self, now: Duration, at: ServerId);
}
