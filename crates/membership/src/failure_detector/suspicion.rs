//! Suspicion timeouts.

use crate::members::{Member, Members};
use crate::name::Name;
use crate::node::Node;
use crate::update::{MemberState, MemberUpdate};
use std::time::Duration;

/// So many independent confirmations shorten the timeout to its minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// The timeout of a suspicion that nobody confirms, in minimum timeouts.
const UNCONFIRMED_TIMEOUT_FACTOR: u32 = 3;

/// Suspicions whose timeout is over.
#[derive(Default)]
pub(crate) struct ExpiredSuspicions {
    /// Members that this node has heard since: only their refutation was lost.
    pub(crate) heard_since: Vec<Name>,
    /// The other members, as updates that declare them dead.
    pub(crate) dead: Vec<MemberUpdate>,
}

/// Lifeguard's timeout: the more members confirm a suspicion, the shorter. A node in poor health waits longer.
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

/// The suspicions among `suspects` whose timeout is over.
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

/// Begins the timeout of a suspicion anew.
pub(crate) fn restart_timeout(node: &mut Node, name: &Name, now: Duration) {
    let member = node.members.get_mut(name);
    if let Some(suspicion) = member.and_then(|member| member.suspicion.as_mut()) {
        suspicion.timeout_start = now;
    }
}

/// Whether the member with that hash is among those that suspect `name`.
pub(crate) fn is_suspected_by(members: &Members, name: &Name, suspected_by: u32) -> bool {
    members
        .get(name)
        .and_then(|member| member.suspicion.as_ref())
        .is_some_and(|suspicion| suspicion.suspecting.contains(&suspected_by))
}

fn was_heard_after(member: &Member, time: Duration) -> bool {
    member.last_heard.is_some_and(|heard| heard > time)
}
