//! The members that are known, and what of them is known in common.

use crate::life::{About, Claim, Life, Name, State};
use crate::values::{self, Value, Values};
use crate::words::AboutWords;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Parts of the fleet by the hash of a name, so that two members find what differs without telling all they know.
pub const PARTS: usize = 64;

/// A suspicion that is not settled.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When it was first heard.
    pub since: Duration,
    /// Who suspects, by hashes of names; bounded by the number that counts.
    pub by: Vec<u32>,
}

/// A member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its life.
    pub life: Life,
    /// Its newest word against a suspicion.
    pub word: u32,
    /// What it is held to be.
    pub state: State,
    /// Since when it is.
    pub since: Duration,
    /// When a frame of its own last came, and was fresh.
    pub heard: Option<Duration>,
    /// The smoothed round trip to it.
    pub trip: Option<Duration>,
    /// Probes of it, and how many of them it did not answer itself.
    pub probes: (u32, u32),
    /// What it tells of itself.
    pub about: About,
    pub(crate) values: Values,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) print: u32,
}

impl Member {
    pub(crate) fn claim(&self) -> Claim {
        Claim {
            name: self.name.clone(),
            address: self.address,
            life: self.life,
            word: self.word,
            state: self.state,
            by: self
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
    /// A member is in a new life.
    Reborn,
    /// Its word or its state is another.
    State,
    /// There is no room for one more member.
    NoRoom,
}

/// All of them but this node itself.
#[derive(Default)]
pub struct Members {
    all: BTreeMap<Name, Member>,
    /// Names of the living, in no order, to draw from.
    living: Vec<Name>,
    prints: Vec<u32>,
    most: usize,
}

impl Members {
    /// At most so many, the gone among them.
    pub fn new(most: usize) -> Self {
        Members {
            most,
            prints: vec![0; PARTS],
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

    /// The prints of all parts, of the living.
    pub fn prints(&self) -> &[u32] {
        &self.prints
    }

    /// Which part a name stands in.
    pub fn part(name: &Name) -> usize {
        values::hash(&[name.as_str().as_bytes()]) as usize % PARTS
    }

    /// Takes a claim about another member in.
    pub fn take(&mut self, claim: &Claim, now: Duration) -> Change {
        let Some(member) = self.all.get_mut(&claim.name) else {
            if self.all.len() >= self.most && !self.make_room() {
                return Change::NoRoom;
            }
            // What is unknown here and gone already is told by nobody who means this node: it is only noted.
            let member = Member {
                name: claim.name.clone(),
                address: claim.address,
                life: claim.life,
                word: claim.word,
                state: claim.state,
                since: now,
                heard: None,
                trip: None,
                probes: (0, 0),
                about: About::default(),
                values: Values::default(),
                suspicion: None,
                print: 0,
            };
            self.all.insert(claim.name.clone(), member);
            self.placed(&claim.name, claim, now);
            return if claim.state.is_living() {
                Change::Born
            } else {
                Change::State
            };
        };
        if !claim.outdoes(member.life, member.word, member.state) {
            // One more who suspects what is suspected: told on, as it shortens the wait.
            let same = (claim.life, claim.word, claim.state)
                == (member.life, member.word, State::Suspected);
            if let (true, Some(suspicion)) = (
                same && member.state == State::Suspected,
                &mut member.suspicion,
            ) {
                if suspicion.by.len() < 8 && claim.by != 0 && !suspicion.by.contains(&claim.by) {
                    suspicion.by.push(claim.by);
                    return Change::State;
                }
            }
            return Change::Nothing;
        }
        let reborn = claim.life != member.life;
        if reborn {
            member.values = Values::default();
            member.about = About::default();
            member.heard = None;
        }
        if member.state != claim.state || reborn {
            member.since = now;
        }
        (member.address, member.life) = (claim.address, claim.life);
        (member.word, member.state) = (claim.word, claim.state);
        if !claim.state.is_living() {
            member.values = Values::default(); // dropped with the member
        }
        let name = claim.name.clone();
        self.placed(&name, claim, now);
        if reborn {
            Change::Reborn
        } else {
            Change::State
        }
    }

    /// Brings what is derived from a member in line with it.
    fn placed(&mut self, name: &Name, claim: &Claim, now: Duration) {
        let Some(member) = self.all.get_mut(name) else {
            return;
        };
        member.suspicion = (member.state == State::Suspected).then(|| Suspicion {
            since: now,
            by: vec![claim.by],
        });
        let print = if member.state.is_living() {
            values::print(name, member.life, &member.values)
        } else {
            0
        };
        self.prints[Self::part(name)] ^= member.print ^ print;
        member.print = print;
        let living = member.state.is_living();
        let place = self.living.iter().position(|other| other == name);
        match (living, place) {
            (true, None) => self.living.push(name.clone()),
            (false, Some(place)) => drop(self.living.swap_remove(place)),
            _ => {}
        }
    }

    /// Takes a value in, if it is of the life that is known and newer. True if it was news.
    pub fn take_value(&mut self, name: &Name, life: Life, value: Value) -> bool {
        let Some(member) = self.all.get_mut(name) else {
            return false;
        };
        if member.life != life || !member.state.is_living() || !member.values.take(value) {
            return false;
        }
        if let Some(about) = member
            .values
            .get("about")
            .and_then(|value| AboutWords::read(&value.bytes))
        {
            member.about = about;
        }
        let print = values::print(name, life, &member.values);
        self.prints[Self::part(name)] ^= member.print ^ print;
        member.print = print;
        true
    }

    /// Forgets those that ended before `before`; returns how many.
    pub fn forget(&mut self, before: Duration) -> usize {
        let count = self.all.len();
        self.all
            .retain(|_, member| member.state.is_living() || member.since >= before);
        count - self.all.len()
    }

    /// Forgets the one that ended first, if any did.
    fn make_room(&mut self) -> bool {
        let ended = self.all.values().filter(|member| !member.state.is_living());
        let first = ended
            .min_by_key(|member| member.since)
            .map(|member| member.name.clone());
        first.is_some_and(|name| self.all.remove(&name).is_some())
    }
}
