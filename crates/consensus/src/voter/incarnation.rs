//! The incarnations of voters, by which a voter finds out that its storage was lost or replaced by an older copy.

use crate::messages::VoterIncarnation;
use crate::storage::MemoryStorage;
use crate::timing::majority;
use std::collections::BTreeSet;

/// What another voter's answer to an announcement means.
pub(super) enum Announcement {
    /// It answers an earlier announcement.
    Outdated,
    /// The other voter has seen no newer incarnation.
    Confirmed,
    /// The other voter has seen this newer or other one.
    Superseded(VoterIncarnation),
}

/// This voter's incarnation, and what the others know of it.
pub(super) struct Incarnations {
    storage: MemoryStorage,
    place: usize,
    voters: usize,
    process_id: u64,
    /// The places of the voters that have confirmed the incarnation.
    confirmed_by: BTreeSet<usize>,
}

impl Incarnations {
    /// Begins a new incarnation of the stored one.
    pub(super) fn new(
        storage: MemoryStorage,
        place: usize,
        voters: usize,
        process_id: u64,
    ) -> Self {
        let incarnations = Incarnations {
            storage,
            place,
            voters,
            process_id,
            confirmed_by: BTreeSet::new(),
        };
        incarnations.renew();
        incarnations
    }

    /// Begins a new incarnation of this process.
    pub(super) fn renew(&self) {
        let process_id = self.process_id;
        self.storage.update(|state| {
            state.incarnation = state.incarnation.map(|last| VoterIncarnation {
                number: last.number + 1,
                process_id,
                ..last
            });
        });
    }

    pub(super) fn own(&self) -> Option<VoterIncarnation> {
        self.storage.read(|state| state.incarnation)
    }

    /// The places of the other voters.
    pub(super) fn others(&self) -> impl Iterator<Item = usize> + use<> {
        let own = self.place;
        (1..=self.voters).filter(move |place| *place != own)
    }

    /// Whether that is the place of another voter.
    pub(super) fn is_other(&self, place: usize) -> bool {
        place != self.place && (1..=self.voters).contains(&place)
    }

    /// The engine's identifiers of all voters.
    pub(super) fn all_ids(&self) -> Vec<u64> {
        (1..=self.voters as u64).collect()
    }

    /// Records the announced incarnation of another voter. Returns a newer or other one, if one was seen.
    pub(super) fn observe(
        &self,
        from: usize,
        announced: VoterIncarnation,
    ) -> Option<VoterIncarnation> {
        let seen = self.storage.read(|state| state.seen_incarnations[from - 1]);
        let newer = seen.filter(|seen| !succeeds(&announced, seen));
        if newer.is_none() && seen != Some(announced) {
            self.storage
                .update(|state| state.seen_incarnations[from - 1] = Some(announced));
        }
        newer
    }

    /// Takes another voter's answer to an announcement.
    pub(super) fn confirm(
        &mut self,
        from: usize,
        incarnation: VoterIncarnation,
        newer: Option<VoterIncarnation>,
    ) -> Announcement {
        if Some(incarnation) != self.own() || incarnation.process_id != self.process_id {
            return Announcement::Outdated;
        }
        match newer {
            None => {
                self.confirmed_by.insert(from);
                Announcement::Confirmed
            }
            Some(newer) => Announcement::Superseded(newer),
        }
    }

    /// Whether a majority, with this voter, has confirmed the incarnation.
    pub(super) fn is_confirmed(&self) -> bool {
        self.confirmed_by.len() + 1 >= majority(self.voters)
    }

    pub(super) fn clear_confirmations(&mut self) {
        self.confirmed_by.clear();
    }
}

/// Whether an announced incarnation is the seen one or comes after it on the same storage.
fn succeeds(announced: &VoterIncarnation, seen: &VoterIncarnation) -> bool {
    let is_later = announced.number > seen.number;
    let is_same = announced.number == seen.number && announced.process_id == seen.process_id;
    announced.storage_id == seen.storage_id && (is_later || is_same)
}
