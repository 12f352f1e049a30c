//! Anti-entropy: two members whose digests keep differing send each other the missing members and values over a
//! connection.

mod exchange;

use crate::event::{Action, ReceivedSync};
use crate::name::Name;
use crate::node::Node;
use crate::update::MemberUpdate;
use crate::wire::{SyncMessage, Update};
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// How long digests must differ before this node begins an exchange; gossip normally removes a difference sooner.
const MIN_DIFFERENCE_TIME: Duration = Duration::from_millis(1000);
/// The shortest interval between exchanges that this node begins. The interval doubles up to the maximum while
/// exchanges find no difference.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_EXCHANGE_INTERVAL: Duration = Duration::from_secs(4);
/// The rate limit on bytes of exchanges, both those that this node begins and those that it responds to: after a large
/// exchange the next one is delayed. A request that arrives too early gets no response, and its sender turns to another
/// member.
const EXCHANGE_BYTES_PER_SECOND: f64 = 4_000.0;

/// Decides when this node begins exchanges and when it responds to them.
pub(crate) struct AntiEntropy {
    /// When received digests began to differ from this node's; `None` if they are equal, or an exchange has begun since.
    differs_since: Option<Duration>,
    next_exchange: Duration,
    interval: Duration,
    /// Requests that arrive before this time get no response.
    requests_rejected_until: Duration,
}

impl AntiEntropy {
    pub(crate) fn new(now: Duration) -> Self {
        AntiEntropy {
            differs_since: None,
            next_exchange: now,
            interval: MIN_EXCHANGE_INTERVAL,
            requests_rejected_until: now,
        }
    }

    /// Compares the digest of a received frame with this node's, and begins an exchange if digests have differed for
    /// too long. A digest of 0 means that the frame has none.
    pub(crate) fn compare_digest(
        &mut self,
        node: &mut Node,
        now: Duration,
        sender: &MemberUpdate,
        digest: u32,
    ) {
        if digest == 0 {
            return;
        }
        if digest == node.digest() {
            self.differs_since = None;
            self.interval = MIN_EXCHANGE_INTERVAL;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.saturating_sub(since) >= MIN_DIFFERENCE_TIME && now >= self.next_exchange {
            self.begin_exchange(node, now, &sender.name, sender.address);
        }
    }

    /// Begins an exchange with a member.
    pub(crate) fn begin_exchange(
        &mut self,
        node: &mut Node,
        now: Duration,
        to: &Name,
        address: SocketAddr,
    ) {
        self.next_exchange = now + node.random.jitter(self.interval);
        self.interval = (self.interval * 2).min(MAX_EXCHANGE_INTERVAL);
        self.differs_since = None;
        node.counters.sync_exchanges += 1;
        let message = exchange::open(&node.members, &node.local);
        node.actions.push(Action::Sync {
            to: to.clone(),
            address,
            message,
        });
    }

    /// Whether a message may be handled now: messages that open an exchange are rate limited.
    pub(crate) fn accepts(&self, message: &SyncMessage, now: Duration) -> bool {
        message.step != SyncMessage::STEP_BUCKET_DIGESTS || now >= self.requests_rejected_until
    }

    /// Responds to a message whose updates and values have been applied.
    pub(crate) fn respond(&mut self, node: &mut Node, now: Duration, received: &ReceivedSync) {
        let request = &received.message;
        if request.step == SyncMessage::STEP_MEMBER_DIGESTS {
            self.interval = MIN_EXCHANGE_INTERVAL; // the exchange found a difference
        }
        let response = exchange::respond(&node.members, &node.local, request);
        let response_bytes = response.as_ref().map_or(0, Message::encoded_len);
        self.delay_further_exchanges(request, response_bytes + request.encoded_len(), now);
        if let Some(message) = response {
            let address = node
                .members
                .get(&received.sender)
                .map_or(node.local.identity.address, |member| member.address);
            node.actions.push(Action::Sync {
                to: received.sender.clone(),
                address,
                message,
            });
        }
    }

    /// Delays further exchanges in proportion to the bytes of this one.
    fn delay_further_exchanges(&mut self, request: &SyncMessage, bytes: usize, now: Duration) {
        let available = now + Duration::from_secs_f64(bytes as f64 / EXCHANGE_BYTES_PER_SECOND);
        match request.step {
            SyncMessage::STEP_BUCKET_DIGESTS | SyncMessage::STEP_DELIVER_AND_REQUEST => {
                self.requests_rejected_until = self.requests_rejected_until.max(available);
            }
            _ => self.next_exchange = self.next_exchange.max(available),
        }
    }
}

/// Returns the valid updates of a message and the number of invalid ones.
pub(crate) fn valid_updates(message: &SyncMessage) -> (Vec<MemberUpdate>, usize) {
    let updates: Vec<MemberUpdate> = message
        .updates
        .iter()
        .filter_map(Update::to_member_update)
        .collect();
    let invalid = message.updates.len() - updates.len();
    (updates, invalid)
}

#[cfg(test)]
mod tests;
