//! The members that are known, and what of them is known in common.

use crate::incarnation::{Incarnation, MemberState, MemberUpdate, Name, NodeMetadata};
use crate::values::{self, Value, Values};
use crate::wire::MetadataMessage;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Parts of the fleet by the hash of a name, so that two members find what differs without telling all they know.
pub const BUCKETS: usize = 64;

/// A suspicion that is not settled.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When it was first heard.
    pub since: Duration,
    /// Who suspects, by hashes of names; bounded by the number that counts.
    pub by: Vec<u32>,
}

/// Probes of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeCounts {
    /// Probes sent to it.
    pub sent: u32,
    /// Probes that it did not answer itself.
    pub unanswered: u32,
}

/// A member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its newest refutation against a suspicion.
    pub refutation: u32,
    /// What it is held to be.
    pub state: MemberState,
    /// Since when it is.
    pub state_since: Duration,
    /// When a frame of its own last came, and was fresh.
    pub last_heard: Option<Duration>,
    /// The smoothed round trip to it.
    pub round_trip: Option<Duration>,
    /// Probes of it, and how many of them it did not answer itself.
    pub probes: ProbeCounts,
    /// What it tells of itself.
    pub metadata: NodeMetadata,
    pub(crate) values: Values,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) digest: u32,
}

impl Member {
    pub(crate) fn claim(&self) -> MemberUpdate {
        MemberUpdate {
            name: self.name.clone(),
            address: self.address,
            incarnation: self.incarnation,
            refutation: self.refutation,
            state: self.state,
            suspected_by: self
                .suspicion
                .as_ref()
                .and_then(|s| s.by.last().copied())
                .unwrap_or_default(),
        }
    }

    /// A value that it tells of itself.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }
}

/// What a claim changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that was not known.
    Nothing,
    /// A member that was not there is.
    Born,
    /// A member is in a new incarnation.
    Reborn,
    /// Its refutation or its state is another.
    Updated,
    /// There is no room for one more member.
    NoRoom,
}

/// All of them but this node itself.
#[derive(Default)]
pub struct Members {
    all: BTreeMap<Name, Member>,
    /// Names of the living, in no order, to draw from.
    living: Vec<Name>,
    digests: Vec<u32>,
    most: usize,
}

impl Members {
    /// At most so many, the gone among them.
    pub fn new(most: usize) -> Self {
        Members {
            most,
            digests: vec![0; BUCKETS],
            ..Members::default()
        }
    }

    pub fn get(&self, name: &Name) -> Option<&Member> {
        self.all.get(name)
    }

    pub fn get_mut(&mut self, name: &Name) -> Option<&mut Member> {
        self.all.get_mut(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.all.values()
    }

    /// The living, in no order that means anything.
    pub fn living(&self) -> &[Name] {
        &self.living
    }

    /// The digests of all parts, of the living.
    pub fn digests(&self) -> &[u32] {
        &self.digests
    }

    /// Which part a name stands in.
    pub fn bucket(name: &Name) -> usize {
        values::hash(&[name.as_str().as_bytes()]) as usize % BUCKETS
    }

    /// Takes a claim about another member in.
    pub fn take(&mut self, claim: &MemberUpdate, now: Duration) -> Change {
        let Some(member) = self.all.get_mut(&claim.name) else {
            if self.all.len() >= self.most && !self.make_room() {
                return Change::NoRoom;
            }
            // What is unknown here and gone already is told by nobody who means this node: it is only noted.
            let member = Member {
                name: claim.name.clone(),
                address: claim.address,
                incarnation: claim.incarnation,
                refutation: claim.refutation,
                state: claim.state,
                state_since: now,
                last_heard: None,
                round_trip: None,
                probes: ProbeCounts::default(),
                metadata: NodeMetadata::default(),
                values: Values::default(),
                suspicion: None,
                digest: 0,
            };
            self.all.insert(claim.name.clone(), member);
            self.placed(&claim.name, claim, now);
            return if claim.state.is_active() {
                Change::Born
            } else {
                Change::Updated
            };
        };
        if !claim.supersedes(member.incarnation, member.refutation, member.state) {
            // One more who suspects what is suspected: told on, as it shortens the wait.
            let same = (claim.incarnation, claim.refutation, claim.state)
                == (member.incarnation, member.refutation, MemberState::Suspect);
            if let (true, Some(suspicion)) = (
                same && member.state == MemberState::Suspect,
                &mut member.suspicion,
            ) {
                if suspicion.by.len() < 8
                    && claim.suspected_by != 0
                    && !suspicion.by.contains(&claim.suspected_by)
                {
                    suspicion.by.push(claim.suspected_by);
                    return Change::Updated;
                }
            }
            return Change::Nothing;
        }
        let reborn = claim.incarnation != member.incarnation;
        if reborn {
            member.values = Values::default();
            member.metadata = NodeMetadata::default();
            member.last_heard = None;
        }
        if member.state != claim.state || reborn {
            member.state_since = now;
        }
        (member.address, member.incarnation) = (claim.address, claim.incarnation);
        (member.refutation, member.state) = (claim.refutation, claim.state);
        if !claim.state.is_active() {
            member.values = Values::default(); // dropped with the member
        }
        let name = claim.name.clone();
        self.placed(&name, claim, now);
        if reborn {
            Change::Reborn
        } else {
            Change::Updated
        }
    }

    /// Brings what is derived from a member in line with it.
    fn placed(&mut self, name: &Name, claim: &MemberUpdate, now: Duration) {
        let Some(member) = self.all.get_mut(name) else {
            return;
        };
        member.suspicion = (member.state == MemberState::Suspect).then(|| Suspicion {
            since: now,
            by: vec![claim.suspected_by],
        });
        let digest = if member.state.is_active() {
            values::digest(name, member.incarnation, &member.values)
        } else {
            0
        };
        self.digests[Self::bucket(name)] ^= member.digest ^ digest;
        member.digest = digest;
        let living = member.state.is_active();
        let place = self.living.iter().position(|other| other == name);
        match (living, place) {
            (true, None) => self.living.push(name.clone()),
            (false, Some(place)) => drop(self.living.swap_remove(place)),
            _ => {}
        }
    }

    /// Takes a value in, if it is of the incarnation that is known and newer. True if it was news.
    pub fn take_value(&mut self, name: &Name, incarnation: Incarnation, value: Value) -> bool {
        let Some(member) = self.all.get_mut(name) else {
            return false;
        };
        if member.incarnation != incarnation
            || !member.state.is_active()
            || !member.values.take(value)
        {
            return false;
        }
        if let Some(about) = member
            .values
            .get("about")
            .and_then(|value| MetadataMessage::parse(&value.bytes))
        {
            member.metadata = about;
        }
        let digest = values::digest(name, incarnation, &member.values);
        self.digests[Self::bucket(name)] ^= member.digest ^ digest;
        member.digest = digest;
        true
    }

    /// Forgets those that ended before `before`; returns how many.
    pub fn forget(&mut self, before: Duration) -> usize {
        let count = self.all.len();
        self.all
            .retain(|_, member| member.state.is_active() || member.state_since >= before);
        count - self.all.len()
    }

    /// Forgets the one that ended first, if any did.
    fn make_room(&mut self) -> bool {
        let ended = self.all.values().filter(|member| !member.state.is_active());
        let first = ended
            .min_by_key(|member| member.state_since)
            .map(|member| member.name.clone());
        first.is_some_and(|name| self.all.remove(&name).is_some())
    }
}
