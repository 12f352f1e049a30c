//! This node's own incarnation: when a new one begins, and how suspicions about the current one are refuted.

use crate::digest::name_hash;
use crate::incarnation::Incarnation;
use crate::node::Node;
use crate::settings::InjectedBug;
use crate::update::{MemberState, MemberUpdate};
use std::collections::VecDeque;
use std::time::Duration;

/// A name conflict is an update with a newer incarnation under this node's name; it makes the node begin a new
/// incarnation. With more than this number of name conflicts within [`NAME_CONFLICT_WINDOW`] the node becomes silent.
const MAX_RECENT_NAME_CONFLICTS: usize = 4;
/// The window in which name conflicts are counted, and the shortest time for which the node is silent after too many.
const NAME_CONFLICT_WINDOW: Duration = Duration::from_secs(30);

/// The epoch of a new incarnation that must begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NextEpoch(pub(crate) u32);

impl NextEpoch {
    pub(crate) fn after(epoch: u32) -> Self {
        NextEpoch(epoch.saturating_add(1))
    }
}

/// Decides when this node must begin a new incarnation, and when it is silent because of name conflicts.
pub(crate) struct OwnIncarnation {
    /// The times at which a newer incarnation under this node's name made it begin a new one.
    recent_name_conflicts: VecDeque<Duration>,
    /// The end of the silent period after too many name conflicts.
    silent_until: Duration,
}

impl OwnIncarnation {
    pub(crate) fn new() -> Self {
        OwnIncarnation {
            recent_name_conflicts: VecDeque::new(),
            silent_until: Duration::ZERO,
        }
    }

    /// Whether the node is silent because of name conflicts: it ignores ticks, frames and anti-entropy messages.
    pub(crate) fn is_silent(&self, now: Duration) -> bool {
        self.silent_until > now
    }

    /// Records the time of an event, and returns the next epoch if the process was paused before it. A pause longer
    /// than the minimum suspicion timeout ends the incarnation, since other members may have declared it dead.
    pub(crate) fn detect_pause(
        &self,
        node: &mut Node,
        now: Duration,
        max_event_gap: Duration,
    ) -> Option<NextEpoch> {
        let pause = now.saturating_sub(node.last_event);
        node.last_event = node.last_event.max(now);
        let limit = node.settings.min_suspicion_timeout.max(max_event_gap);
        if pause <= limit || node.injects(InjectedBug::ReusedIncarnation) {
            return None;
        }
        node.counters.pauses += 1;
        node.log(format_args!(
            "process was paused for {} ms; beginning a new incarnation",
            pause.as_millis()
        ));
        Some(NextEpoch::after(node.local.incarnation.epoch))
    }

    /// Handles an update that another member sent about this node; returns the next epoch if a new incarnation must
    /// begin.
    pub(crate) fn handle_update(
        &mut self,
        node: &mut Node,
        update: &MemberUpdate,
        now: Duration,
    ) -> Option<NextEpoch> {
        if update.incarnation < node.local.incarnation {
            return None;
        }
        if update.incarnation > node.local.incarnation {
            // An earlier incarnation that is missing from the state directory, or another process with this name.
            self.record_name_conflict(node, update, now);
            return Some(NextEpoch::after(update.incarnation.epoch));
        }
        if update.state.is_active() {
            refute(node, update);
            return None;
        }
        if node.injects(InjectedBug::ReusedIncarnation) {
            return None;
        }
        let incarnation = node.local.incarnation;
        node.log(format_args!(
            "this node was declared dead in incarnation {incarnation}; beginning a new one"
        ));
        Some(NextEpoch::after(incarnation.epoch))
    }

    /// Counts a name conflict, and makes the node silent if there were too many recently.
    fn record_name_conflict(&mut self, node: &mut Node, update: &MemberUpdate, now: Duration) {
        self.recent_name_conflicts
            .retain(|at| now.saturating_sub(*at) < NAME_CONFLICT_WINDOW);
        self.recent_name_conflicts.push_back(now);
        if self.recent_name_conflicts.len() <= MAX_RECENT_NAME_CONFLICTS {
            return;
        }
        self.recent_name_conflicts.clear();
        self.silent_until = now + NAME_CONFLICT_WINDOW + node.random.jitter(NAME_CONFLICT_WINDOW);
        let name = node.local.identity.name.clone();
        node.log(format_args!(
            "another process uses the name {name} at address {}; sending nothing for a while",
            update.address
        ));
    }
}

/// Refutes a suspicion about the current incarnation. If it has been refuted before, the refutation is gossiped again.
fn refute(node: &mut Node, update: &MemberUpdate) {
    let is_suspicion = update.state == MemberState::Suspect;
    let known = node.local.refutation;
    let needs_refutation =
        update.refutation > known || (update.refutation == known && is_suspicion);
    if needs_refutation {
        node.local.refutation = update.refutation.saturating_add(1);
        node.counters.refutations += 1;
        // A node that was suspected may be slow or partitioned.
        node.health.degrade(1);
    }
    if needs_refutation || is_suspicion {
        let name = node.local.identity.name.clone();
        node.dissemination.queue_member(name);
    }
}

/// Begins an incarnation in the shared state, with a new salt, no refutations and no frames received yet. The state of
/// the other members is kept.
pub(crate) fn begin_incarnation(node: &mut Node, epoch: NextEpoch) {
    let salt = if node.injects(InjectedBug::ReusedIncarnation) {
        name_hash(&node.local.identity.name) // the same in every process with this name
    } else {
        node.random.next_u32()
    };
    node.local.incarnation = Incarnation {
        epoch: epoch.0.max(1),
        salt: salt.max(1),
    };
    node.local.refutation = 0;
    node.last_heard = None;
    node.counters.incarnations += 1;
}

/// Queues this node's state and values for gossip. Versions keep rising across incarnations of a process, so that no
/// two values are published under the same version of one incarnation.
pub(crate) fn queue_own_state(node: &mut Node) {
    let name = node.local.identity.name.clone();
    node.dissemination.queue_member(name.clone());
    for value in node.local.values.iter() {
        node.dissemination
            .queue_value(name.clone(), value.key.clone());
    }
}

#[cfg(test)]
mod tests;
