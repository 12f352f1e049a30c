//! Dissemination of updates and values by gossip, piggybacked on frames that are sent anyway and on rounds of their own.

mod queue;

use crate::local_node::LocalState;
use crate::members::{Member, Members};
use crate::name::Name;
use crate::wire::{Frame, MemberValue, Update};
use prost::Message;
use queue::{Topic, UpdateQueue};
use std::rc::Rc;
use std::time::Duration;

/// Members that a round of gossip goes to.
const FAN_OUT: usize = 3;
/// Frames of gossip rounds a second, and at once: a frame has 256 bytes and 28 of headers, so that together with the probes
/// a node sends less than 4 kB/s, however much there is to disseminate.
const FRAMES_PER_SECOND: f64 = 9.0;
const FRAME_BURST: f64 = 40.0;
/// Beyond so many queued topics each is transmitted less often; anti-entropy repairs what some members miss.
const LONG_QUEUE_TOPICS: usize = 16;
const MIN_TRANSMISSIONS: u32 = 3;
/// Topics that are considered for one frame.
const TOPICS_PER_FRAME: usize = 12;
/// The field number and a length of one byte.
const FIELD_OVERHEAD_BYTES: usize = 2;
/// Encoded lengths from here on take a second byte.
const MIN_TWO_BYTE_LENGTH: usize = 128;

/// The queue of what is to be disseminated, and the budget of gossip rounds.
pub(crate) struct Dissemination {
    queue: UpdateQueue,
    next_round: Duration,
    /// Frames that may be sent, as of `budget_at`.
    budget: f64,
    budget_at: Duration,
}

impl Dissemination {
    /// For a table of `max_members`.
    pub(crate) fn new(max_members: usize, now: Duration) -> Self {
        Dissemination {
            queue: UpdateQueue::new(max_members * 2),
            next_round: now,
            budget: FRAME_BURST,
            budget_at: now,
        }
    }

    /// Queues the present state of a member; this node goes by its own name.
    pub(crate) fn queue_member(&mut self, name: Name) {
        self.queue.add(Topic::Member(name));
    }

    /// Queues the present value of a member under a key.
    pub(crate) fn queue_value(&mut self, name: Name, key: Rc<str>) {
        self.queue.add(Topic::Value(name, key));
    }

    /// Topics that are queued.
    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing is queued.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// When the next round may begin.
    pub(crate) fn next_round(&self) -> Duration {
        self.next_round
    }

    /// Lets the next round begin at `at`, if it was to begin later.
    pub(crate) fn expedite(&mut self, at: Duration) {
        self.next_round = self.next_round.min(at);
    }

    /// Begins a round if one is due, and returns how many frames it may send.
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

    /// Adds as much gossip to a frame as fits `max_bytes`. Topics that are too long for the remaining space give way to
    /// shorter ones behind them.
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

    /// How often a topic is transmitted before it is dropped: it grows with the logarithm of the fleet's size and shrinks
    /// while many topics are queued.
    fn transmission_limit(&self, active_members: usize) -> u32 {
        let usual = 4 * (active_members as f64 + 2.0).log10().ceil() as u32;
        let queued = self.queue.len().max(LONG_QUEUE_TOPICS) as u32;
        (usual * LONG_QUEUE_TOPICS as u32 / queued).max(MIN_TRANSMISSIONS)
    }
}

/// What is known of a topic when a frame is sent; nothing superseded is ever sent.
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

    /// The bytes that it adds to a frame.
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
