//! Joining the fleet, rejoining members that were cut off, and the answers to nodes that join.

use crate::counters::Counters;
use crate::event::Action;
use crate::name::Name;
use crate::node::Node;
use crate::update::{MemberState, MemberUpdate};
use crate::wire::{Frame, FrameKind, Update};
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// The backoff between attempts to join: doubled from the first up to the last.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
const LAST_BACKOFF: Duration = Duration::from_secs(2);
/// Seeds, and members known before, that one attempt goes to.
const SEEDS_PER_ATTEMPT: usize = 2;
const MEMBERS_PER_ATTEMPT: usize = 2;
/// How often a dead member, or a seed that is no member's address, is asked to join.
const REJOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Answers a second to senders that know no present incarnation of this node, or are in an ended one.
const MAX_REPLIES_PER_SECOND: u32 = 100;
/// Members that a welcome lists, besides what is known of itself.
const WELCOME_MEMBERS: usize = 4;

/// The state of joining.
pub(crate) struct Joining {
    /// Whether another member has answered the present incarnation.
    joined: bool,
    next_attempt: Duration,
    backoff: Duration,
    next_rejoin: Duration,
    replies: ReplyLimiter,
}

impl Joining {
    pub(crate) fn new(now: Duration) -> Self {
        Joining {
            joined: false,
            next_attempt: now,
            backoff: FIRST_BACKOFF,
            next_rejoin: now + REJOIN_INTERVAL,
            replies: ReplyLimiter {
                window_start: now,
                replies: 0,
            },
        }
    }

    /// Begins anew with an incarnation of this node.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.joined = false;
        self.next_attempt = now;
        self.backoff = FIRST_BACKOFF;
    }

    pub(crate) fn is_joined(&self) -> bool {
        self.joined
    }

    /// Notes that another member has answered this incarnation.
    pub(crate) fn complete(&mut self) {
        self.joined = true;
    }

    /// When the next attempt to join, or to let others rejoin, is due.
    pub(crate) fn next_deadline(&self) -> Duration {
        if self.joined {
            self.next_rejoin
        } else {
            self.next_rejoin.min(self.next_attempt)
        }
    }

    /// Sends the joins that are due.
    pub(crate) fn tick(&mut self, node: &mut Node, now: Duration) {
        self.attempt(node, now);
        self.rejoin(node, now);
    }

    /// Asks seeds and members known before, until one answers.
    fn attempt(&mut self, node: &mut Node, now: Duration) {
        if self.joined || now < self.next_attempt {
            return;
        }
        self.next_attempt = now + node.random.jitter(self.backoff);
        self.backoff = (self.backoff * 2).min(LAST_BACKOFF);
        let seeds: Vec<SocketAddr> = node.local.node.other_seeds().collect();
        let mut targets = Vec::new();
        if !seeds.is_empty() {
            for _ in 0..SEEDS_PER_ATTEMPT {
                targets.push(seeds[node.random.below(seeds.len())]);
            }
        }
        for name in node.random_members(MEMBERS_PER_ATTEMPT, None) {
            targets.extend(node.members.get(&name).map(|member| member.address));
        }
        targets.sort();
        targets.dedup();
        for to in targets {
            send_join(node, to);
        }
    }

    /// Asks one dead member or unanswered seed to join: it may only have been cut off, or be up by now.
    fn rejoin(&mut self, node: &mut Node, now: Duration) {
        if now < self.next_rejoin {
            return;
        }
        self.next_rejoin = now + node.random.jitter(REJOIN_INTERVAL);
        let lost = lost_addresses(node);
        if !lost.is_empty() {
            let to = lost[node.random.below(lost.len())];
            send_join(node, to);
        }
    }

    /// Answers a node that does not know this node's incarnation: with what is known of itself, then some other members.
    pub(crate) fn send_welcome(&mut self, node: &mut Node, now: Duration, joiner: &MemberUpdate) {
        if !self.replies.allow(now, &mut node.counters) {
            return;
        }
        let mut frame = Frame {
            kind: FrameKind::Welcome as i32,
            ..Frame::default()
        };
        frame.updates.extend(known_update(node, &joiner.name));
        for name in node.random_members(WELCOME_MEMBERS, Some(&joiner.name)) {
            frame.updates.extend(known_update(node, &name));
            if frame.encoded_len() > node.settings.max_frame_bytes {
                frame.updates.pop();
                break;
            }
        }
        node.actions.push(Action::Send {
            to: joiner.address,
            to_salt: joiner.incarnation.salt,
            frame,
        });
    }

    /// Notifies a sender that its incarnation has ended; it has to begin a new one.
    pub(crate) fn send_ended(
        &mut self,
        node: &mut Node,
        now: Duration,
        sender: &MemberUpdate,
        known: Update,
    ) {
        if !self.replies.allow(now, &mut node.counters) {
            return;
        }
        let frame = Frame {
            updates: vec![known],
            ..Frame::default()
        };
        node.actions.push(Action::Send {
            to: sender.address,
            to_salt: sender.incarnation.salt,
            frame,
        });
    }
}

/// Limits answers that no member relies on.
struct ReplyLimiter {
    window_start: Duration,
    replies: u32,
}

impl ReplyLimiter {
    /// Whether one more answer may be sent; counts those that may not.
    fn allow(&mut self, now: Duration, counters: &mut Counters) -> bool {
        if now.saturating_sub(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.replies = 0;
        }
        self.replies += 1;
        let is_allowed = self.replies <= MAX_REPLIES_PER_SECOND;
        if !is_allowed {
            counters.rate_limited_responses += 1;
        }
        is_allowed
    }
}

/// Seeds that are no active member's address, then the addresses of dead members.
fn lost_addresses(node: &Node) -> Vec<SocketAddr> {
    let is_active = |address: SocketAddr| {
        node.members
            .iter()
            .any(|member| member.state.is_active() && member.address == address)
    };
    let seeds = node
        .local
        .node
        .other_seeds()
        .filter(|seed| !is_active(*seed));
    let dead = node
        .members
        .iter()
        .filter(|member| member.state == MemberState::Dead)
        .map(|member| member.address);
    seeds.chain(dead).collect()
}

fn known_update(node: &Node, name: &Name) -> Option<Update> {
    node.members
        .get(name)
        .map(|member| Update::from(&member.update()))
}

fn send_join(node: &mut Node, to: SocketAddr) {
    let frame = Frame {
        kind: FrameKind::Join as i32,
        ..Frame::default()
    };
    node.actions.push(Action::Send {
        to,
        to_salt: 0,
        frame,
    });
}

#[cfg(test)]
mod tests;
