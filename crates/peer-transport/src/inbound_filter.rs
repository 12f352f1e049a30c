//! What a node accepts: each sequence number of an incarnation once, a rate of frames per member, and a rate of datagrams
//! in all. No I/O; memory is bounded.

use crate::envelope::RejectReason;
use crate::replay_window::ReplayWindow;
use crate::token_bucket::TokenBucket;
use sillward_membership::{Incarnation, Name};
use std::collections::BTreeMap;
use std::time::Duration;

/// Frames of one member, a second and at once.
const MEMBER_RATE: f64 = 400.0;
const MEMBER_BURST: f64 = 800.0;
/// Datagrams of all senders, a second and at once. What comes beyond that stays in the system's buffer, which drops it: at
/// about 3 us each they take no more than 3 % of the node's core.
const TOTAL_RATE: f64 = 10_000.0;
const TOTAL_BURST: f64 = 2_000.0;

/// What is remembered of a sender.
struct Sender {
    incarnation: Incarnation,
    replay_window: ReplayWindow,
    bucket: TokenBucket,
    last_used: Duration,
}

/// The filter.
pub struct InboundFilter {
    senders: BTreeMap<Name, Sender>,
    max_senders: usize,
    datagrams: TokenBucket,
    rejected: BTreeMap<RejectReason, u64>,
    accepted: u64,
}

impl InboundFilter {
    /// A filter that remembers at most `max_senders`.
    pub fn new(max_senders: usize, now: Duration) -> Self {
        InboundFilter {
            senders: BTreeMap::new(),
            max_senders,
            datagrams: TokenBucket::new(TOTAL_RATE, TOTAL_BURST, now),
            rejected: BTreeMap::new(),
            accepted: 0,
        }
    }

    /// Whether one more datagram may be read.
    pub fn allow_read(&mut self, now: Duration) -> bool {
        self.datagrams.try_take(now)
    }

    /// Counts a rejected datagram.
    pub fn record_rejection(&mut self, reason: RejectReason) {
        *self.rejected.entry(reason).or_default() += 1;
    }

    /// Datagrams rejected for that reason.
    pub fn rejected(&self, reason: RejectReason) -> u64 {
        self.rejected.get(&reason).copied().unwrap_or_default()
    }

    /// Frames accepted.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Accepts an authentic frame, or tells why not.
    ///
    /// # Errors
    /// Its sequence number was seen or is too old, or its sender sends too much.
    pub fn admit(
        &mut self,
        now: Duration,
        name: &Name,
        incarnation: Incarnation,
        sequence: u64,
    ) -> Result<(), RejectReason> {
        if !self.senders.contains_key(name) {
            self.add_sender(name, incarnation, now);
        }
        let Some(sender) = self.senders.get_mut(name) else {
            return Err(RejectReason::RateLimited);
        };
        sender.last_used = now;
        if !sender.bucket.try_take(now) {
            return Err(RejectReason::RateLimited);
        }
        if incarnation > sender.incarnation {
            sender.incarnation = incarnation;
            sender.replay_window = ReplayWindow::default();
        }
        // A frame of an ended incarnation is never believed, only answered by a notice; so it may be a replay.
        let is_ended = incarnation < sender.incarnation;
        if !is_ended && !sender.replay_window.accept(sequence) {
            return Err(RejectReason::Replayed);
        }
        self.accepted += 1;
        Ok(())
    }

    /// Whether that is the newest incarnation that was seen of a member.
    pub fn is_current_incarnation(&self, name: &Name, incarnation: Incarnation) -> bool {
        self.senders
            .get(name)
            .is_some_and(|sender| sender.incarnation == incarnation)
    }

    /// Members whose sequence numbers are remembered.
    pub fn tracked_members(&self) -> usize {
        self.senders.len()
    }

    /// Remembers a sender, in the place of the one that was idle longest if there are too many.
    fn add_sender(&mut self, name: &Name, incarnation: Incarnation, now: Duration) {
        if self.senders.len() >= self.max_senders {
            let idle = self
                .senders
                .iter()
                .min_by_key(|(_, sender)| sender.last_used)
                .map(|(name, _)| name.clone());
            if let Some(idle) = idle {
                self.senders.remove(&idle);
            }
        }
        let sender = Sender {
            incarnation,
            replay_window: ReplayWindow::default(),
            bucket: TokenBucket::new(MEMBER_RATE, MEMBER_BURST, now),
            last_used: now,
        };
        self.senders.insert(name.clone(), sender);
    }
}
