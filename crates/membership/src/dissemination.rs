//! Dissemination of updates and values by gossip: piggybacked on the failure detector's frames, and sent in gossip
//! rounds.

mod queue;

use crate::local_node::LocalState;
use crate::members::{Member, Members};
use crate::name::Name;
use crate::wire::{Frame, MemberValue, Update};
use prost::Message;
use queue::{Topic, UpdateQueue};
use std::rc::Rc;
use std::time::Duration;

/// The number of members that a gossip round sends to.
const FAN_OUT: usize = 3;
/// The rate limit on frames of gossip rounds, and its burst. A frame has up to 256 bytes and 28 bytes of IP and UDP
/// headers, so that gossip rounds and probes together stay below 4 kB/s per node, however much there is to disseminate.
const FRAMES_PER_SECOND: f64 = 9.0;
const FRAME_BURST: f64 = 40.0;
/// With more queued topics than this, each is transmitted fewer times; anti-entropy repairs what some members miss.
const LONG_QUEUE_TOPICS: usize = 16;
const MIN_TRANSMISSIONS: u32 = 3;
/// The number of queued topics considered for one frame.
const TOPICS_PER_FRAME: usize = 12;
/// The bytes of a field number and a one-byte length.
const FIELD_OVERHEAD_BYTES: usize = 2;
/// The smallest encoded size whose length prefix takes two bytes.
const MIN_TWO_BYTE_LENGTH: usize = 128;

/// The queue of topics to disseminate, and the rate limit on gossip rounds.
pub(crate) struct Dissemination {
    queue: UpdateQueue,
    next_round: Duration,
    /// Frames that gossip rounds may still send, as of `budget_at`.
    budget: f64,
    budget_at: Duration,
}

impl Dissemination {
    /// Creates an empty queue for a table of up to `max_members` members.
    pub(crate) fn new(max_members: usize, now: Duration) -> Self {
        Dissemination {
            queue: UpdateQueue::new(max_members * 2),
            next_round: now,
            budget: FRAME_BURST,
            budget_at: now,
        }
    }

    /// Queues the state of a member, or of this node if `name` is its own.
    pub(crate) fn queue_member(&mut self, name: Name) {
        self.queue.add(Topic::Member(name));
    }

    /// Queues the value that a member publishes under a key.
    pub(crate) fn queue_value(&mut self, name: Name, key: Rc<str>) {
        self.queue.add(Topic::Value(name, key));
    }

    /// The number of queued topics.
    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// When the next round may begin.
    pub(crate) fn next_round(&self) -> Duration {
        self.next_round
    }

    /// Moves the next round forward to `at` if it is due later.
    pub(crate) fn expedite(&mut self, at: Duration) {
        self.next_round = self.next_round.min(at);
    }

    /// Begins a round if one is due; returns the number of frames that it may send.
    pub(crate) fn begin_round(&mut self, now: Duration, interval: Duration) -> Option<usize> {
        if now < self.next_round || self.queue.is_empty() {
            return None;
        }
        self.next_round = now + interval;
        let elapsed = now.saturating_sub(self.budget_at).as_secs_f64();
        let available = (self.budget + elapsed * FRAMES_PER_SECOND).min(FRAME_BURST);
        let frames = FAN_OUT.min(available as usize);
        self.budget = available - frames as f64;
        self.budget_at = now;
        Some(frames)
    }

    /// Adds gossip to a frame, up to `max_bytes` in all. A topic that does not fit the remaining space is skipped, so
    /// that shorter ones behind it can use the space.
    pub(crate) fn piggyback(
        &mut self,
        frame: &mut Frame,
        local: &LocalState,
        members: &Members,
        max_bytes: usize,
    ) {
        let limit = self.transmission_limit(members.active().len());
        let mut size = frame.encoded_len();
        let mut sent = Vec::new();
        for topic in self.queue.first(TOPICS_PER_FRAME) {
            let Some(content) = TopicContent::of(&topic, local, members) else {
                self.queue.remove(&topic);
                continue;
            };
            let bytes = content.encoded_len();
            if size + bytes <= max_bytes {
                size += bytes;
                content.add_to(frame);
                sent.push(topic);
            }
        }
        for topic in sent {
            self.queue.mark_sent(&topic, limit);
        }
    }

    /// The number of transmissions after which a topic is dropped. It grows with the logarithm of the fleet size, and
    /// shrinks while many topics are queued.
    fn transmission_limit(&self, active_members: usize) -> u32 {
        let usual = 4 * (active_members as f64 + 2.0).log10().ceil() as u32;
        let queued = self.queue.len().max(LONG_QUEUE_TOPICS) as u32;
        (usual * LONG_QUEUE_TOPICS as u32 / queued).max(MIN_TRANSMISSIONS)
    }
}

/// The content of a topic, looked up when a frame is sent so that superseded content is never sent.
enum TopicContent {
    Update(Update),
    Value(MemberValue),
}

impl TopicContent {
    fn of(topic: &Topic, local: &LocalState, members: &Members) -> Option<Self> {
        match topic {
            Topic::Member(name) if local.is_named(name) => {
                Some(TopicContent::Update(Update::from(&local.update())))
            }
            Topic::Member(name) => {
                let update = members.get(name).map(Member::update)?;
                Some(TopicContent::Update(Update::from(&update)))
            }
            Topic::Value(name, key) if local.is_named(name) => {
                local.wire_value(key).map(TopicContent::Value)
            }
            Topic::Value(name, key) => members
                .get(name)
                .and_then(|member| member.wire_value(key))
                .map(TopicContent::Value),
        }
    }

    /// The number of bytes that the content adds to a frame.
    fn encoded_len(&self) -> usize {
        match self {
            TopicContent::Update(update) => update.encoded_len() + FIELD_OVERHEAD_BYTES,
            TopicContent::Value(value) => {
                let encoded = value.encoded_len();
                encoded + FIELD_OVERHEAD_BYTES + usize::from(encoded >= MIN_TWO_BYTE_LENGTH)
            }
        }
    }

    fn add_to(self, frame: &mut Frame) {
        match self {
            TopicContent::Update(update) => frame.updates.push(update),
            TopicContent::Value(value) => frame.values.push(value),
        }
    }
}

#[cfg(test)]
mod tests;
