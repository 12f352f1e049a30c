//! The incarnations of voters, by which a voter detects that its storage was lost or replaced by an older copy.

use crate::messages::VoterIncarnation;
use crate::storage::MemoryStorage;
use crate::timing::majority;
use std::collections::BTreeSet;

/// The meaning of another voter's response to an announcement.
pub(super) enum AnnouncementResult {
    /// The response is to an earlier announcement.
    Outdated,
    /// The other voter has seen no newer incarnation.
    Confirmed,
    /// The other voter has seen this incarnation, which is newer or on another storage.
    Superseded(VoterIncarnation),
}

/// This voter's incarnation, and which voters have confirmed it.
pub(super) struct Incarnations {
    storage: MemoryStorage,
    own_id: usize,
    voter_count: usize,
    process_id: u64,
    /// The voters that have confirmed the incarnation.
    confirmed_by: BTreeSet<usize>,
}

impl Incarnations {
    /// Begins a new incarnation, which succeeds the stored one.
    pub(super) fn new(
        storage: MemoryStorage,
        own_id: usize,
        voter_count: usize,
        process_id: u64,
    ) -> Self {
        let incarnations = Incarnations {
            storage,
            own_id,
            voter_count,
            process_id,
            confirmed_by: BTreeSet::new(),
        };
        incarnations.renew();
        incarnations
    }

    /// Begins the next incarnation in this process.
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

    /// The numbers of the other voters.
    pub(super) fn others(&self) -> impl Iterator<Item = usize> + use<> {
        let own_id = self.own_id;
        (1..=self.voter_count).filter(move |id| *id != own_id)
    }

    /// Whether this is the number of another voter.
    pub(super) fn is_other(&self, voter_id: usize) -> bool {
        voter_id != self.own_id && (1..=self.voter_count).contains(&voter_id)
    }

    /// The identifiers that the engine uses for all voters: their numbers.
    pub(super) fn all_ids(&self) -> Vec<u64> {
        (1..=self.voter_count as u64).collect()
    }

    /// Records the announced incarnation of another voter. Returns the seen incarnation if it is newer or on another storage.
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

    /// Handles another voter's response to an announcement.
    pub(super) fn handle_response(
        &mut self,
        from: usize,
        incarnation: VoterIncarnation,
        newer: Option<VoterIncarnation>,
    ) -> AnnouncementResult {
        if Some(incarnation) != self.own() || incarnation.process_id != self.process_id {
            return AnnouncementResult::Outdated;
        }
        match newer {
            None => {
                self.confirmed_by.insert(from);
                AnnouncementResult::Confirmed
            }
            Some(newer) => AnnouncementResult::Superseded(newer),
        }
    }

    /// Whether a majority, counting this voter, has confirmed the incarnation.
    pub(super) fn is_confirmed(&self) -> bool {
        self.confirmed_by.len() + 1 >= majority(self.voter_count)
    }

    pub(super) fn clear_confirmations(&mut self) {
        self.confirmed_by.clear();
    }
}

/// Whether an announced incarnation is the seen one or follows it on the same storage.
fn succeeds(announced: &VoterIncarnation, seen: &VoterIncarnation) -> bool {
    let is_later = announced.number > seen.number;
    let is_same = announced.number == seen.number && announced.process_id == seen.process_id;
    announced.storage_id == seen.storage_id && (is_later || is_same)
}
