//! Anti-entropy: two members whose digests go on differing exchange what the other lacks, over a connection.

mod exchange;

use crate::event::{Action, ReceivedSync};
use crate::name::Name;
use crate::node::Node;
use crate::update::MemberUpdate;
use crate::wire::{SyncMessage, Update};
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// Digests may differ for so long before members exchange what they know: gossip is faster than that.
const MIN_DIFFERENCE_TIME: Duration = Duration::from_millis(1000);
/// The interval between exchanges that this node begins: doubled up to the maximum while they change nothing.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_EXCHANGE_INTERVAL: Duration = Duration::from_secs(4);
/// Bytes a second that exchanges may cost a node, both as the one that begins and as the one that answers: after a large
/// exchange the next one waits. A request that comes too early is not answered, and its sender tries another member.
const EXCHANGE_BYTES_PER_SECOND: f64 = 4_000.0;

/// When this node begins exchanges, and answers them.
pub(crate) struct AntiEntropy {
    /// Since when received digests have differed from this node's.
    differs_since: Option<Duration>,
    next_exchange: Duration,
    interval: Duration,
    /// The end of the time in which no request is answered.
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

    /// Compares the digest of a received frame, and begins an exchange if digests have differed for too long. 0 is no
    /// digest.
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

    /// Whether a message may be handled now: requests are rate limited.
    pub(crate) fn accepts(&self, message: &SyncMessage, now: Duration) -> bool {
        message.step != SyncMessage::STEP_BUCKET_DIGESTS || now >= self.requests_rejected_until
    }

    /// Answers a message whose updates and values have been applied.
    pub(crate) fn respond(&mut self, node: &mut Node, now: Duration, received: &ReceivedSync) {
        let request = &received.message;
        if request.step == SyncMessage::STEP_MEMBER_DIGESTS {
            self.interval = MIN_EXCHANGE_INTERVAL; // the exchange did find a difference
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

    /// Delays further exchanges by the cost of this one.
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

/// The valid updates of a message, and how many are invalid.
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
