//! What is known of the words of nodes and groups: of each the newest. To take one in twice, or in another order, changes nothing.

use crate::counts::Counts;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A point in time by this node's monotonic clock, in microseconds; what others saw may lie before it began.
pub(crate) fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

/// A node's word.
#[derive(Clone, Debug)]
pub struct Word {
    /// Windows closed in its life.
    pub version: u64,
    /// Its last window ended no earlier than this.
    pub(crate) ended_us: i64,
    /// How long its windows are together.
    pub span: Duration,
    /// What they have.
    pub counts: Rc<Counts>,
    /// The same, as it goes on.
    pub packed: Rc<[u8]>,
    /// Of a group's sum: how many nodes the group has, for how many of them it stands, and the share of what is asked that
    /// the largest of them is asked. Of a node's own word 1, 1 and 1.
    pub nodes: f64,
    /// See there.
    pub heard: f64,
    /// See there.
    pub largest: f64,
    /// In the order in which words were learnt here.
    pub(crate) arrival: u64,
}

impl Word {
    /// How old it is at the most.
    pub fn age(&self, now: Duration) -> Duration {
        Duration::from_micros(micros(now).saturating_sub(self.ended_us).max(0) as u64)
    }
}

/// The words of all, by whose they are.
#[derive(Debug)]
pub struct Board<K> {
    words: BTreeMap<K, Word>,
    by_arrival: BTreeMap<u64, K>,
    arrivals: u64,
    most: usize,
}

impl<K: Ord + Clone> Board<K> {
    /// For so many words at the most.
    pub fn new(most: usize) -> Self {
        Board {
            words: BTreeMap::new(),
            by_arrival: BTreeMap::new(),
            arrivals: 0,
            most,
        }
    }

    /// Takes a word in if it says something new; of the same version the one that is known to be younger counts. False if
    /// nothing is new, or there is no room.
    pub fn take(&mut self, key: K, word: Word) -> bool {
        let room = self.words.len() < self.most;
        match self.words.get_mut(&key) {
            Some(known) if known.version > word.version => return false,
            Some(known) if known.version == word.version => {
                known.ended_us = known.ended_us.max(word.ended_us);
                return false;
            }
            Some(known) => drop(self.by_arrival.remove(&known.arrival)),
            None if !room => return false,
            None => {}
        }
        self.arrivals += 1;
        self.by_arrival.insert(self.arrivals, key.clone());
        self.words.insert(
            key,
            Word {
                arrival: self.arrivals,
                ..word
            },
        );
        true
    }

    /// Drops what is too old, and what is not wanted.
    pub fn retain(&mut self, wanted: impl Fn(&K, &Word) -> bool) {
        let by_arrival = &mut self.by_arrival;
        self.words.retain(|key, word| {
            let keep = wanted(key, word);
            if !keep {
                by_arrival.remove(&word.arrival);
            }
            keep
        });
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &Word)> {
        self.words.iter()
    }

    /// One of them.
    pub fn get(&self, key: &K) -> Option<&Word> {
        self.words.get(key)
    }

    /// Those that were learnt after some point, the last learnt first.
    pub fn since(&self, arrival: u64) -> impl Iterator<Item = (&K, &Word)> {
        let later = self.by_arrival.range(arrival.saturating_add(1)..).rev();
        later.filter_map(|(_, key)| self.words.get(key).map(|word| (key, word)))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.words.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// How many were learnt in all.
    pub fn arrivals(&self) -> u64 {
        self.arrivals
    }
}
