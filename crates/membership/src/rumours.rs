//! What is told on: members and values that have changed, each so often, what was told least first. Only their names are
//! kept here; what is told of them is what is known when the frame goes out, so that nothing superseded ever does.

use crate::incarnation::Name;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What a rumour is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A member; this node itself under its own name.
    Member(Name),
    /// A value of a member's.
    Value(Name, Rc<str>),
}

type Rank = (u32, Reverse<u64>, Subject);

/// The rumours.
#[derive(Default)]
pub struct Rumours {
    ranked: BTreeSet<Rank>,
    known: BTreeMap<Subject, (u32, Reverse<u64>)>,
    made: u64,
    most: usize,
}

impl Rumours {
    /// At most so many at once; the one told most often makes room.
    pub fn new(most: usize) -> Self {
        Rumours {
            most,
            ..Rumours::default()
        }
    }

    /// There is news.
    pub fn add(&mut self, subject: Subject) {
        self.drop(&subject);
        if self.known.len() >= self.most {
            if let Some((_, _, oldest)) = self.ranked.last().cloned() {
                self.drop(&oldest);
            }
        }
        self.made += 1;
        let rank = (0, Reverse(self.made));
        self.known.insert(subject.clone(), rank);
        self.ranked.insert((rank.0, rank.1, subject));
    }

    /// It is not worth telling any more.
    pub fn drop(&mut self, subject: &Subject) {
        if let Some((sent, made)) = self.known.remove(subject) {
            self.ranked.remove(&(sent, made, subject.clone()));
        }
    }

    /// Those that go first, for a frame that can hold at most `count`.
    pub fn first(&self, count: usize) -> Vec<Subject> {
        self.ranked
            .iter()
            .take(count)
            .map(|(_, _, subject)| subject.clone())
            .collect()
    }

    /// It was told once more, and is dropped after `limit` times.
    pub fn told(&mut self, subject: &Subject, limit: u32) {
        let Some((sent, made)) = self.known.remove(subject) else {
            return;
        };
        self.ranked.remove(&(sent, made, subject.clone()));
        if sent + 1 < limit {
            self.known.insert(subject.clone(), (sent + 1, made));
            self.ranked.insert((sent + 1, made, subject.clone()));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }
}
