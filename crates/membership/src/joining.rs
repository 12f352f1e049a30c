//! Joining the fleet, reconnecting to members that were unreachable, and responses to nodes that join.

use crate::counters::Counters;
use crate::event::Action;
use crate::name::Name;
use crate::node::Node;
use crate::update::{MemberState, MemberUpdate};
use crate::wire::{Frame, FrameKind, Update};
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// The shortest and the longest backoff between rounds of joins; it doubles after each round.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The number of seeds, and of members known from before, to which a round sends joins.
const SEEDS_PER_JOIN_ROUND: usize = 2;
const MEMBERS_PER_JOIN_ROUND: usize = 2;
/// The interval between joins sent to a dead member, or to a seed that is not the address of an active member.
const REJOIN_INTERVAL: Duration = Duration::from_secs(1);
/// The rate limit on responses to senders that do not know this node's current incarnation, or whose own has ended.
const MAX_RESPONSES_PER_SECOND: u32 = 100;
/// The number of members that a welcome lists besides the joiner.
const WELCOME_MEMBERS: usize = 4;

/// The state of joining.
pub(crate) struct Joining {
    /// Whether a member has sent a frame addressed to the current incarnation.
    joined: bool,
    next_join: Duration,
    backoff: Duration,
    next_rejoin: Duration,
    responses: ResponseLimiter,
}

impl Joining {
    pub(crate) fn new(now: Duration) -> Self {
        Joining {
            joined: false,
            next_join: now,
            backoff: MIN_BACKOFF,
            next_rejoin: now + REJOIN_INTERVAL,
            responses: ResponseLimiter {
                window_start: now,
                sent: 0,
            },
        }
    }

    /// Starts joining again, for a new incarnation of this node.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.joined = false;
        self.next_join = now;
        self.backoff = MIN_BACKOFF;
    }

    pub(crate) fn is_joined(&self) -> bool {
        self.joined
    }

    /// Records that a member has sent a frame addressed to this incarnation.
    pub(crate) fn mark_joined(&mut self) {
        self.joined = true;
    }

    /// When the next joins are due, whether to join the fleet or to reach members that were lost.
    pub(crate) fn next_deadline(&self) -> Duration {
        if self.joined {
            self.next_rejoin
        } else {
            self.next_rejoin.min(self.next_join)
        }
    }

    /// Sends the joins that are due.
    pub(crate) fn tick(&mut self, node: &mut Node, now: Duration) {
        self.send_due_joins(node, now);
        self.send_rejoin(node, now);
    }

    /// Sends joins to some seeds and members known from before, until this node has joined.
    fn send_due_joins(&mut self, node: &mut Node, now: Duration) {
        if self.joined || now < self.next_join {
            return;
        }
        self.next_join = now + node.random.jitter(self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        let seeds: Vec<SocketAddr> = node.local.identity.other_seeds().collect();
        let mut targets = Vec::new();
        if !seeds.is_empty() {
            for _ in 0..SEEDS_PER_JOIN_ROUND {
                targets.push(seeds[node.random.below(seeds.len())]);
            }
        }
        for name in node.random_members(MEMBERS_PER_JOIN_ROUND, None) {
            targets.extend(node.members.get(&name).map(|member| member.address));
        }
        targets.sort();
        targets.dedup();
        for to in targets {
            send_join(node, to);
        }
    }

    /// Sends a join to one dead member or inactive seed: it may only have been partitioned, or may be up again.
    fn send_rejoin(&mut self, node: &mut Node, now: Duration) {
        if now < self.next_rejoin {
            return;
        }
        self.next_rejoin = now + node.random.jitter(REJOIN_INTERVAL);
        let unreachable = unreachable_addresses(node);
        if !unreachable.is_empty() {
            let to = unreachable[node.random.below(unreachable.len())];
            send_join(node, to);
        }
    }

    /// Responds to a node that does not know this node's incarnation: with what is known of the node itself, and with
    /// some other members.
    pub(crate) fn send_welcome(&mut self, node: &mut Node, now: Duration, joiner: &MemberUpdate) {
        if !self.responses.allow(now, &mut node.counters) {
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

    /// Notifies a sender that its incarnation has ended, so that it begins a new one.
    pub(crate) fn notify_ended_incarnation(
        &mut self,
        node: &mut Node,
        now: Duration,
        sender: &MemberUpdate,
        known: Update,
    ) {
        if !self.responses.allow(now, &mut node.counters) {
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

/// A rate limit on responses; the protocol works without those that it suppresses.
struct ResponseLimiter {
    window_start: Duration,
    sent: u32,
}

impl ResponseLimiter {
    /// Whether a response may be sent now; counts those that may not.
    fn allow(&mut self, now: Duration, counters: &mut Counters) -> bool {
        if now.saturating_sub(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.sent = 0;
        }
        self.sent += 1;
        let is_allowed = self.sent <= MAX_RESPONSES_PER_SECOND;
        if !is_allowed {
            counters.rate_limited_responses += 1;
        }
        is_allowed
    }
}

/// The seeds that are not the address of an active member, then the addresses of dead members.
fn unreachable_addresses(node: &Node) -> Vec<SocketAddr> {
    let is_active = |address: SocketAddr| {
        node.members
            .iter()
            .any(|member| member.state.is_active() && member.address == address)
    };
    let seeds = node
        .local
        .identity
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
