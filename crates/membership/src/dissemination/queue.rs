//! The queue of topics to disseminate: each is transmitted a limited number of times, those transmitted least first. Only
//! topics are queued; their content is looked up when a frame is sent.

use crate::name::Name;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What a piece of gossip is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Topic {
    /// The state of a member; this node goes by its own name.
    Member(Name),
    /// The value of a member under a key.
    Value(Name, Rc<str>),
}

/// The place of a topic in the queue: by transmissions, then the newest first.
pub(crate) type Rank = (u32, Reverse<u64>);

/// The queue.
#[derive(Default)]
pub(crate) struct UpdateQueue {
    ranked: BTreeSet<(Rank, Topic)>,
    ranks: BTreeMap<Topic, Rank>,
    /// Topics added so far.
    added: u64,
    max_topics: usize,
}

impl UpdateQueue {
    /// At most `max_topics`; the one transmitted most often is evicted for a new one.
    pub(crate) fn new(max_topics: usize) -> Self {
        UpdateQueue {
            max_topics,
            ..UpdateQueue::default()
        }
    }

    /// Queues a topic, whose count of transmissions begins anew.
    pub(crate) fn add(&mut self, topic: Topic) {
        self.remove(&topic);
        if self.ranks.len() >= self.max_topics {
            if let Some((_, last)) = self.ranked.last().cloned() {
                self.remove(&last);
            }
        }
        self.added += 1;
        self.insert(topic, (0, Reverse(self.added)));
    }

    /// Removes a topic and returns the place that it had.
    pub(crate) fn remove(&mut self, topic: &Topic) -> Option<Rank> {
        let rank = self.ranks.remove(topic)?;
        self.ranked.remove(&(rank, topic.clone()));
        Some(rank)
    }

    /// The first topics in order, at most `count`.
    pub(crate) fn first(&self, count: usize) -> Vec<Topic> {
        self.ranked
            .iter()
            .take(count)
            .map(|(_, topic)| topic.clone())
            .collect()
    }

    /// Counts a transmission of a topic; it is removed after `limit`.
    pub(crate) fn mark_sent(&mut self, topic: &Topic, limit: u32) {
        let Some((transmissions, added)) = self.remove(topic) else {
            return;
        };
        if transmissions + 1 < limit {
            self.insert(topic.clone(), (transmissions + 1, added));
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.ranks.len()
    }

    fn insert(&mut self, topic: Topic, rank: Rank) {
        self.ranks.insert(topic.clone(), rank);
        self.ranked.insert((rank, topic));
    }
}
