//! The queue of topics to disseminate. Each is transmitted a limited number of times; those transmitted least often
//! come first. The queue holds only topics; their content is looked up when a frame is sent.

use crate::name::Name;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The subject of an update or a value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Topic {
    /// The state of a member or of this node.
    Member(Name),
    /// The value that a member publishes under a key.
    Value(Name, Rc<str>),
}

/// The position of a topic in the queue: fewest transmissions first, then newest first.
pub(crate) type Rank = (u32, Reverse<u64>);

/// Topics to disseminate, by rank.
#[derive(Default)]
pub(crate) struct UpdateQueue {
    ranked: BTreeSet<(Rank, Topic)>,
    ranks: BTreeMap<Topic, Rank>,
    /// The number of topics added so far, by which newer topics are distinguished from older ones.
    added: u64,
    max_topics: usize,
}

impl UpdateQueue {
    /// Creates a queue of at most `max_topics` topics. When it is full, the last topic is evicted for a new one.
    pub(crate) fn new(max_topics: usize) -> Self {
        UpdateQueue {
            max_topics,
            ..UpdateQueue::default()
        }
    }

    /// Queues a topic and resets its count of transmissions.
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

    /// Removes a topic; returns the rank that it had.
    pub(crate) fn remove(&mut self, topic: &Topic) -> Option<Rank> {
        let rank = self.ranks.remove(topic)?;
        self.ranked.remove(&(rank, topic.clone()));
        Some(rank)
    }

    /// The first `count` topics in order, or all if there are fewer.
    pub(crate) fn first(&self, count: usize) -> Vec<Topic> {
        self.ranked
            .iter()
            .take(count)
            .map(|(_, topic)| topic.clone())
            .collect()
    }

    /// Counts a transmission of a topic, and removes the topic after `limit` transmissions.
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
