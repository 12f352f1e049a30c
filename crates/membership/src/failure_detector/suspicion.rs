//! Suspicion timeouts.

use crate::members::{Member, Members};
use crate::name::Name;
use crate::node::Node;
use crate::update::{MemberState, MemberUpdate};
use std::time::Duration;

/// The number of independent confirmations that shorten the timeout to its minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// The timeout of a suspicion without confirmations, as a multiple of the minimum.
const UNCONFIRMED_TIMEOUT_FACTOR: u32 = 3;

/// The members whose suspicion has expired.
#[derive(Default)]
pub(crate) struct ExpiredSuspicions {
    /// Members from which this node has received frames since: it has merely missed their refutations.
    pub(crate) heard_since: Vec<Name>,
    /// Updates that declare the other members dead.
    pub(crate) dead: Vec<MemberUpdate>,
}

/// The suspicion timeout of Lifeguard: shorter the more members confirm the suspicion, longer the worse this node's
/// local health.
pub(crate) fn timeout(node: &Node, confirmations: usize) -> Duration {
    let min = node.min_suspicion_timeout();
    let max = min * UNCONFIRMED_TIMEOUT_FACTOR;
    let health_factor = node.health.score() + 1;
    let others = node.members.active().len().saturating_sub(1);
    let required = MAX_CONFIRMATIONS.min(others);
    if required == 0 {
        return min * health_factor;
    }
    let confirmations = confirmations.min(required);
    let fraction = ((confirmations + 1) as f64).ln() / ((required + 1) as f64).ln();
    let timeout = max.saturating_sub((max - min).mul_f64(fraction)).max(min);
    timeout * health_factor
}

/// Returns the members of `suspects` whose suspicion timeout has expired.
pub(crate) fn expired(node: &Node, suspects: &[Name], now: Duration) -> ExpiredSuspicions {
    let mut expired = ExpiredSuspicions::default();
    for member in suspects.iter().filter_map(|name| node.members.get(name)) {
        let Some(suspicion) = &member.suspicion else {
            continue;
        };
        let confirmations = suspicion.suspecting.len().saturating_sub(1);
        if now.saturating_sub(suspicion.timeout_start) < timeout(node, confirmations) {
            continue;
        }
        let refutation_possible_since =
            suspicion.timeout_start + node.health.base_ack_timeout() * 2;
        if was_heard_after(member, refutation_possible_since) {
            expired.heard_since.push(member.name.clone());
        } else {
            expired.dead.push(MemberUpdate {
                state: MemberState::Dead,
                ..member.update()
            });
        }
    }
    expired
}

/// Restarts the timeout of a suspicion.
pub(crate) fn restart_timeout(node: &mut Node, name: &Name, now: Duration) {
    let member = node.members.get_mut(name);
    if let Some(suspicion) = member.and_then(|member| member.suspicion.as_mut()) {
        suspicion.timeout_start = now;
    }
}

/// Whether the member whose name has the hash `suspected_by` suspects the member `name`.
pub(crate) fn is_suspected_by(members: &Members, name: &Name, suspected_by: u32) -> bool {
    members
        .get(name)
        .and_then(|member| member.suspicion.as_ref())
        .is_some_and(|suspicion| suspicion.suspecting.contains(&suspected_by))
}

fn was_heard_after(member: &Member, time: Duration) -> bool {
    member.last_heard.is_some_and(|heard| heard > time)
}
