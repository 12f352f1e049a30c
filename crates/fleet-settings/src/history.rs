//! The versions that were confirmed, in their order, as far back as they are kept.

use crate::{Key, Rules, Value};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Versions that are kept. One that is older can't be gone back to.
pub const MOST_KEPT: usize = 64;

/// A version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// From 1 on, one more each time; 0 is what stands before the first, where nothing is named.
    pub number: u64,
    /// The proposal's own, by which it is there once however often it was sent.
    pub id: u64,
    /// Who proposed it.
    pub author: String,
    /// Why, in a line.
    pub why: String,
    /// What it holds, as [`Rules::text`] says it: kept as text, so that a build that can't read it still keeps it.
    pub rules: String,
}

impl Version {
    /// What it holds, if this build can read it.
    pub fn read(&self) -> Option<Rules> {
        Rules::read(&self.rules).ok()
    }
}

/// What is to become of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It became that version.
    New(u64),
    /// It is that version already.
    Already(u64),
    /// It was made on another version than the newest.
    Stale(u64),
}

/// The versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    kept: VecDeque<Version>,
}

/// A key on which two versions differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The key.
    pub key: Key,
    /// Before.
    pub from: Value,
    /// After.
    pub to: Value,
    /// Whether acting on one contradicts acting on the other.
    pub contradicts: bool,
}

/// On what two sets of rules differ.
pub fn differences(from: &Rules, to: &Rules) -> Vec<Difference> {
    let keys: BTreeSet<Key> = from.keys().union(&to.keys()).cloned().collect();
    let all = keys.into_iter().filter_map(|key| {
        let (from, to) = (from.get(&key), to.get(&key));
        let contradicts = key.contradicts(&from, &to);
        (from != to).then_some(Difference {
            key,
            from,
            to,
            contradicts,
        })
    });
    all.collect()
}

impl History {
    /// Of what another keeps. What makes no sense is an error, not a history.
    ///
    /// # Errors
    /// The numbers do not follow each other, or too many.
    pub fn of(kept: Vec<Version>) -> Result<Self, &'static str> {
        let follows = kept
            .windows(2)
            .all(|pair| pair[0].number.checked_add(1) == Some(pair[1].number));
        if !follows || kept.len() > MOST_KEPT || kept.first().is_some_and(|first| first.number == 0)
        {
            return Err("versions that do not follow each other");
        }
        Ok(History { kept: kept.into() })
    }

    /// The newest version's number.
    pub fn newest(&self) -> u64 {
        self.kept.back().map_or(0, |version| version.number)
    }

    /// A version that is kept.
    pub fn get(&self, number: u64) -> Option<&Version> {
        let first = self.kept.front()?.number;
        self.kept
            .get(usize::try_from(number.checked_sub(first)?).ok()?)
    }

    /// Those that are kept.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.kept.iter()
    }

    /// The version that a proposal became.
    pub fn by_id(&self, id: u64) -> Option<&Version> {
        self.kept.iter().rev().find(|version| version.id == id)
    }

    /// Takes a proposal in the order of the log, the same on every node: compare and set on the base.
    pub fn take(&mut self, base: u64, mut version: Version) -> Taken {
        if let Some(there) = self.by_id(version.id) {
            return Taken::Already(there.number);
        }
        let newest = self.newest();
        if base != newest {
            return Taken::Stale(newest);
        }
        version.number = newest + 1;
        self.push(version);
        Taken::New(newest + 1)
    }

    fn push(&mut self, version: Version) {
        self.kept.push_back(version);
        while self.kept.len() > MOST_KEPT {
            self.kept.pop_front();
        }
    }

    /// Takes a version as another has it, if it is the next; what is known stays as it is.
    pub fn learn(&mut self, version: Version) -> bool {
        let next = self.kept.is_empty() || version.number == self.newest() + 1;
        if next && version.number > 0 {
            self.push(version);
        }
        next
    }
}

impl History {
    /// Takes versions as another has them. Those that do not follow what is here take its place if they are newer: what lies
    /// between is kept by nobody any more.
    pub fn catch_up(&mut self, versions: Vec<Version>) -> bool {
        let Ok(other) = History::of(versions) else {
            return false;
        };
        let before = self.newest();
        let Some(first) = other.kept.front().map(|version| version.number) else {
            return false;
        };
        if first > before + 1 {
            *self = other;
        } else {
            other
                .kept
                .into_iter()
                .filter(|version| version.number > before)
                .for_each(|version| {
                    self.learn(version);
                });
        }
        self.newest() > before
    }

    /// The versions after that one, as many as have so many bytes, and the first in any case.
    pub fn after(&self, number: u64, most: usize) -> Vec<Version> {
        let mut bytes = 0;
        let newer = self.kept.iter().filter(|version| version.number > number);
        let fit = newer.take_while(|version| {
            let first = bytes == 0;
            bytes += version.rules.len() + version.why.len() + version.author.len() + 64;
            first || bytes <= most
        });
        fit.cloned().collect()
    }
}
