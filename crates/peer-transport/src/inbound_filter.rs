//! What a node lets in: each number of a incarnation once, so much of each member, so much of all. No I/O, bounded memory.

use crate::envelope::RejectReason;
use sillward_membership::{Incarnation, Name};
use std::collections::BTreeMap;
use std::time::Duration;

/// Frames of one member, a second, and at once.
const RATE: f64 = 400.0;
const BURST: f64 = 800.0;
/// Datagrams of all that are read, a second, and at once. What comes beyond that stays with the system, which drops it: at
/// about 3 us each they take no more than 3 % of the node's core.
const READS: f64 = 10_000.0;
const READ_BURST: f64 = 2_000.0;

/// So much a second, and so much at once.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    left: f64,
    at: Duration,
    rate: f64,
    burst: f64,
}

impl TokenBucket {
    /// A full one.
    pub fn new(rate: f64, burst: f64, now: Duration) -> Self {
        TokenBucket {
            left: burst,
            at: now,
            rate,
            burst,
        }
    }

    /// Takes one, if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        self.left = (self.left + passed.as_secs_f64() * self.rate).min(self.burst);
        let taken = self.left >= 1.0;
        self.left -= f64::from(u8::from(taken));
        taken
    }
}

/// The numbers of a incarnation that were seen: the highest, and which of the 127 before it.
struct Window {
    incarnation: Incarnation,
    highest: u64,
    seen: u128,
    bucket: TokenBucket,
    used: Duration,
}

/// The guard.
pub struct InboundFilter {
    windows: BTreeMap<Name, Window>,
    most: usize,
    reads: TokenBucket,
    rejected: BTreeMap<RejectReason, u64>,
    accepted: u64,
}

impl InboundFilter {
    /// For at most so many members.
    pub fn new(most: usize, now: Duration) -> Self {
        let reads = TokenBucket::new(READS, READ_BURST, now);
        InboundFilter {
            windows: BTreeMap::new(),
            most,
            reads,
            rejected: BTreeMap::new(),
            accepted: 0,
        }
    }

    /// Whether one more datagram is looked at.
    pub fn allow_read(&mut self, now: Duration) -> bool {
        self.reads.take(now)
    }

    /// Counts what was dropped.
    pub fn record_rejection(&mut self, why: RejectReason) {
        *self.rejected.entry(why).or_default() += 1;
    }

    /// How often something was dropped for that reason.
    pub fn rejected(&self, why: RejectReason) -> u64 {
        self.rejected.get(&why).copied().unwrap_or_default()
    }

    /// How many frames were let in.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Lets a frame in, whose hash was good, or says why not.
    ///
    /// # Errors
    /// Its number was seen, or its sender sends too much.
    pub fn admit(
        &mut self,
        now: Duration,
        name: &Name,
        incarnation: Incarnation,
        number: u64,
    ) -> Result<(), RejectReason> {
        if !self.windows.contains_key(name) {
            if self.windows.len() >= self.most {
                let oldest = self.windows.iter().min_by_key(|(_, window)| window.used);
                if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                    self.windows.remove(&name);
                }
            }
            let bucket = TokenBucket::new(RATE, BURST, now);
            self.windows.insert(
                name.clone(),
                Window {
                    incarnation,
                    highest: 0,
                    seen: 0,
                    bucket,
                    used: now,
                },
            );
        }
        let Some(window) = self.windows.get_mut(name) else {
            return Err(RejectReason::RateLimited);
        };
        window.used = now;
        if !window.bucket.take(now) {
            return Err(RejectReason::RateLimited);
        }
        if incarnation < window.incarnation {
            // Of an ended incarnation: its sender is told so at most, and nothing that it says is believed.
            self.accepted += 1;
            return Ok(());
        }
        if incarnation > window.incarnation {
            (window.incarnation, window.highest, window.seen) = (incarnation, 0, 0);
        }
        if number > window.highest {
            let by = number - window.highest;
            window.seen = if by < 128 { window.seen << by | 1 } else { 1 };
            window.highest = number;
        } else {
            let back = window.highest - number;
            if back >= 128 || window.seen & 1 << back != 0 {
                return Err(RejectReason::Replayed);
            }
            window.seen |= 1 << back;
        }
        self.accepted += 1;
        Ok(())
    }

    /// Whether that is the newest incarnation which was seen of a member.
    pub fn is_current_incarnation(&self, name: &Name, incarnation: Incarnation) -> bool {
        self.windows
            .get(name)
            .is_some_and(|window| window.incarnation == incarnation)
    }

    /// Members whose numbers are remembered.
    pub fn tracked_members(&self) -> usize {
        self.windows.len()
    }
}
