//! The table of the other members, with its digests.

use crate::digest::{member_digest, name_hash};
use crate::incarnation::Incarnation;
use crate::metadata::NodeMetadata;
use crate::name::Name;
use crate::update::{MemberState, MemberUpdate};
use crate::values::{Value, Values};
use crate::wire::{METADATA_KEY, MemberValue, MetadataMessage};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The number of buckets that members are divided into by the hash of their name, so that two members can locate their
/// differences without sending their whole tables. A set of buckets is a `u64` with one bit for each.
pub(crate) const BUCKETS: usize = 64;
/// The most suspecting members that are recorded for one suspicion.
const MAX_SUSPECTED_BY: usize = 8;

/// A suspicion that is neither refuted nor expired.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When the timeout began.
    pub(crate) timeout_start: Duration,
    /// Name hashes of the suspecting members; at most [`MAX_SUSPECTED_BY`].
    pub(crate) suspecting: Vec<u32>,
}

impl Suspicion {
    /// Records another suspecting member; returns whether it was added.
    fn confirm(&mut self, suspected_by: u32) -> bool {
        let is_new = self.suspecting.len() < MAX_SUSPECTED_BY
            && suspected_by != 0
            && !self.suspecting.contains(&suspected_by);
        if is_new {
            self.suspecting.push(suspected_by);
        }
        is_new
    }
}

/// The numbers of probes of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeCounts {
    /// Probes sent to the member.
    pub sent: u32,
    /// Probes that got no direct ack.
    pub unanswered: u32,
}

/// Another member.
#[derive(Clone, Debug)]
pub struct Member {
    /// The member's name.
    pub name: Name,
    /// The address at which the member can be reached.
    pub address: SocketAddr,
    /// The newest known incarnation of the member.
    pub incarnation: Incarnation,
    /// The highest known refutation counter of that incarnation.
    pub refutation: u32,
    /// The state of that incarnation.
    pub state: MemberState,
    /// When the incarnation entered that state, as this node learned of it.
    pub state_since: Duration,
    /// When the last frame of that incarnation arrived.
    pub last_heard: Option<Duration>,
    /// The smoothed round-trip time to the member.
    pub round_trip: Option<Duration>,
    /// The numbers of probes of the member.
    pub probes: ProbeCounts,
    /// The member's metadata.
    pub metadata: NodeMetadata,
    pub(crate) values: Values,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) digest: u32,
}

impl Member {
    /// Creates an entry for a member that was unknown.
    fn new(update: &MemberUpdate, now: Duration) -> Self {
        Member {
            name: update.name.clone(),
            address: update.address,
            incarnation: update.incarnation,
            refutation: update.refutation,
            state: update.state,
            state_since: now,
            last_heard: None,
            round_trip: None,
            probes: ProbeCounts::default(),
            metadata: NodeMetadata::default(),
            values: Values::default(),
            suspicion: None,
            digest: 0,
        }
    }

    /// The state of the member, as an update to send to others.
    pub(crate) fn update(&self) -> MemberUpdate {
        let suspected_by = self
            .suspicion
            .as_ref()
            .and_then(|suspicion| suspicion.suspecting.last().copied());
        MemberUpdate {
            name: self.name.clone(),
            address: self.address,
            incarnation: self.incarnation,
            refutation: self.refutation,
            state: self.state,
            suspected_by: suspected_by.unwrap_or_default(),
        }
    }

    /// The value that the member publishes under a key.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }

    /// The wire form of one of the member's values.
    pub(crate) fn wire_value(&self, key: &str) -> Option<MemberValue> {
        let value = self.values.get(key)?;
        Some(MemberValue::new(&self.name, self.incarnation, value))
    }

    /// Whether an incarnation of the member has ended: a newer one is known, or it has left or died.
    pub(crate) fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.incarnation > incarnation
            || (self.incarnation == incarnation && !self.state.is_active())
    }

    /// Replaces the known state with an update that supersedes it.
    fn replace_with(&mut self, update: &MemberUpdate, now: Duration) -> Change {
        let is_new_incarnation = update.incarnation != self.incarnation;
        if is_new_incarnation {
            self.values = Values::default();
            self.metadata = NodeMetadata::default();
            self.last_heard = None;
        }
        if self.state != update.state || is_new_incarnation {
            self.state_since = now;
        }
        self.address = update.address;
        self.incarnation = update.incarnation;
        self.refutation = update.refutation;
        self.state = update.state;
        if !update.state.is_active() {
            self.values = Values::default();
        }
        if is_new_incarnation {
            Change::NewIncarnation
        } else {
            Change::Updated
        }
    }

    /// Records another suspecting member if the update confirms the current suspicion.
    fn confirm_suspicion(&mut self, update: &MemberUpdate) -> Change {
        let is_same_suspicion = self.state == MemberState::Suspect
            && update.state == MemberState::Suspect
            && update.incarnation == self.incarnation
            && update.refutation == self.refutation;
        let is_confirmed = is_same_suspicion
            && self
                .suspicion
                .as_mut()
                .is_some_and(|suspicion| suspicion.confirm(update.suspected_by));
        if is_confirmed {
            Change::Updated
        } else {
            Change::Unchanged
        }
    }
}

/// The effect of an update on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing changed.
    Unchanged,
    /// An active member was added.
    Added,
    /// A member is in a new incarnation.
    NewIncarnation,
    /// A member's state, refutation or suspicion changed.
    Updated,
    /// The table is full, so that the update was dropped.
    Rejected,
}

/// All known members except this node itself.
#[derive(Default)]
pub(crate) struct Members {
    by_name: BTreeMap<Name, Member>,
    /// Names of the active members, from which members are drawn at random. Their order has no meaning, but must be
    /// reproducible.
    active: Vec<Name>,
    digests: Vec<u32>,
    max_members: usize,
}

impl Members {
    /// Creates an empty table of at most `max_members` members, including those that left or died.
    pub(crate) fn new(max_members: usize) -> Self {
        Members {
            max_members,
            digests: vec![0; BUCKETS],
            ..Members::default()
        }
    }

    pub(crate) fn get(&self, name: &Name) -> Option<&Member> {
        self.by_name.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &Name) -> Option<&mut Member> {
        self.by_name.get_mut(name)
    }

    /// All members, by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_name.values()
    }

    /// The state of a member, if it is known.
    pub(crate) fn state(&self, name: &Name) -> Option<MemberState> {
        self.get(name).map(|member| member.state)
    }

    /// The active members, in an order without meaning.
    pub(crate) fn active(&self) -> &[Name] {
        &self.active
    }

    /// The digests of the active members in each bucket.
    pub(crate) fn digests(&self) -> &[u32] {
        &self.digests
    }

    /// The digest of all active members.
    pub(crate) fn digest(&self) -> u32 {
        self.digests.iter().fold(0, |all, digest| all ^ digest)
    }

    /// The bucket of a name.
    pub(crate) fn bucket(name: &Name) -> usize {
        name_hash(name) as usize % BUCKETS
    }

    /// Applies an update about another member.
    pub(crate) fn apply(&mut self, update: &MemberUpdate, now: Duration) -> Change {
        let change = match self.by_name.get_mut(&update.name) {
            None => return self.add(update, now),
            Some(member)
                if update.supersedes(member.incarnation, member.refutation, member.state) =>
            {
                member.replace_with(update, now)
            }
            Some(member) => return member.confirm_suspicion(update),
        };
        self.update_derived_state(update, now);
        change
    }

    /// Adds an unknown member. One that has already left or died is stored too, but is not reported as added.
    fn add(&mut self, update: &MemberUpdate, now: Duration) -> Change {
        if self.by_name.len() >= self.max_members && !self.evict_oldest_inactive() {
            return Change::Rejected;
        }
        self.by_name
            .insert(update.name.clone(), Member::new(update, now));
        self.update_derived_state(update, now);
        if update.state.is_active() {
            Change::Added
        } else {
            Change::Updated
        }
    }

    /// Updates the suspicion, the list of active members and the digests after an update of a member.
    fn update_derived_state(&mut self, update: &MemberUpdate, now: Duration) {
        let name = &update.name;
        let Some(member) = self.by_name.get_mut(name) else {
            return;
        };
        member.suspicion = (member.state == MemberState::Suspect).then(|| Suspicion {
            timeout_start: now,
            suspecting: vec![update.suspected_by],
        });
        let is_active = member.state.is_active();
        let index = self.active.iter().position(|other| other == name);
        match (is_active, index) {
            (true, None) => self.active.push(name.clone()),
            (false, Some(index)) => drop(self.active.swap_remove(index)),
            _ => {}
        }
        self.update_digest(name);
    }

    fn update_digest(&mut self, name: &Name) {
        let Some(member) = self.by_name.get_mut(name) else {
            return;
        };
        let digest = if member.state.is_active() {
            member_digest(name, member.incarnation, &member.values)
        } else {
            0
        };
        self.digests[Self::bucket(name)] ^= member.digest ^ digest;
        member.digest = digest;
    }

    /// Stores a value if it is newer and belongs to the current incarnation of an active member; returns whether it was
    /// stored.
    pub(crate) fn store_value(
        &mut self,
        name: &Name,
        incarnation: Incarnation,
        value: Value,
    ) -> bool {
        let Some(member) = self.by_name.get_mut(name) else {
            return false;
        };
        let is_current = member.incarnation == incarnation && member.state.is_active();
        if !is_current || !member.values.store(value) {
            return false;
        }
        let metadata = member
            .values
            .get(METADATA_KEY)
            .and_then(|value| MetadataMessage::parse(&value.bytes));
        if let Some(metadata) = metadata {
            member.metadata = metadata;
        }
        self.update_digest(name);
        true
    }

    /// Removes members that left or died before `before`.
    pub(crate) fn remove_inactive_before(&mut self, before: Duration) {
        self.by_name
            .retain(|_, member| member.state.is_active() || member.state_since >= before);
    }

    /// Removes the member that left or died first; returns `false` if there is none.
    fn evict_oldest_inactive(&mut self) -> bool {
        let oldest = self
            .by_name
            .values()
            .filter(|member| !member.state.is_active())
            .min_by_key(|member| member.state_since)
            .map(|member| member.name.clone());
        oldest.is_some_and(|name| self.by_name.remove(&name).is_some())
    }
}

#[cfg(test)]
mod tests;
