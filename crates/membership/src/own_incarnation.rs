//! This node's own incarnation: when a new one begins, and how suspicions of the present one are refuted.

use crate::digest::name_hash;
use crate::incarnation::Incarnation;
use crate::node::Node;
use crate::settings::InjectedBug;
use crate::update::{MemberState, MemberUpdate};
use std::collections::VecDeque;
use std::time::Duration;

/// More new incarnations than this within [`NAME_CONFLICT_WINDOW`], because another process uses the name, are a name conflict.
const MAX_RECENT_NAME_CONFLICTS: usize = 4;
/// The window of a name conflict, and the shortest time that the node is silent because of one.
const NAME_CONFLICT_WINDOW: Duration = Duration::from_secs(30);

/// The epoch of an incarnation that has to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NextEpoch(pub(crate) u32);

impl NextEpoch {
    pub(crate) fn after(epoch: u32) -> Self {
        NextEpoch(epoch.saturating_add(1))
    }
}

/// Watches over this node's incarnation.
pub(crate) struct OwnIncarnation {
    /// When another process under this node's name made it begin a new incarnation.
    recent_name_conflicts: VecDeque<Duration>,
    /// The end of the silence after a name conflict.
    silent_until: Duration,
}

impl OwnIncarnation {
    pub(crate) fn new() -> Self {
        OwnIncarnation {
            recent_name_conflicts: VecDeque::new(),
            silent_until: Duration::ZERO,
        }
    }

    /// Whether the node is silent because of a name conflict.
    pub(crate) fn is_silent(&self, now: Duration) -> bool {
        self.silent_until > now
    }

    /// Notes that an event is handled. A pause that is longer than a suspicion may last ends the incarnation, since others
    /// may have declared it dead.
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
        node.log(format_args!("was not running for {} ms", pause.as_millis()));
        Some(NextEpoch::after(node.local.incarnation.epoch))
    }

    /// Handles an update that another member sent about this node.
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
            // An earlier incarnation that the state directory has lost, or another process under this name.
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
            "was declared dead in incarnation {incarnation}"
        ));
        Some(NextEpoch::after(incarnation.epoch))
    }

    /// Counts a clash of names; falls silent if there were too many.
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
            "another process claims the name {name} at {}",
            update.address
        ));
    }
}

/// Refutes a suspicion of the present incarnation. One that was refuted already is answered by gossip again.
fn refute(node: &mut Node, update: &MemberUpdate) {
    let is_suspicion = update.state == MemberState::Suspect;
    let known = node.local.refutation;
    let needs_refutation =
        update.refutation > known || (update.refutation == known && is_suspicion);
    if needs_refutation {
        node.local.refutation = update.refutation.saturating_add(1);
        node.counters.refutations += 1;
        node.health.degrade(1);
    }
    if needs_refutation || is_suspicion {
        let name = node.local.identity.name.clone();
        node.dissemination.queue_member(name);
    }
}

/// Begins an incarnation of the shared state: with a new salt, no refutations, and frames of this incarnation yet to come.
/// What is known of other members stays.
pub(crate) fn begin_incarnation(node: &mut Node, epoch: NextEpoch) {
    let salt = if node.injects(InjectedBug::ReusedIncarnation) {
        name_hash(&node.local.identity.name) // the same in each process of the name
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

/// Queues this node's state and values for gossip. Versions go on rising over incarnations, so that no value is published
/// twice under one version of an incarnation.
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
