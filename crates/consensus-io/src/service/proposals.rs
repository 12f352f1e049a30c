//! Pending proposals of this node's operators: resent until they are committed, can no longer be, or time out.

use super::send::LINK_TOPIC;
use super::{ConsensusService, QueuedEvent};
use crate::error::ProposeError;
use sillward_consensus::messages::{Envelope, LinkMessage, Proposal};
use sillward_consensus::voter::MAX_PROPOSAL_BYTES;
use sillward_fleet_settings::{CAPABILITY, FleetSettings, Version};
use sillward_membership::MemberState;
use std::time::Duration;

/// The interval between two attempts to send a proposal to a voter.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// How long sending a proposal is retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(10);
/// The most pending proposals.
const MAX_PENDING_PROPOSALS: usize = 64;

/// A pending proposal.
pub(super) struct PendingProposal {
    proposal: Proposal,
    proposed_at: Duration,
    next_attempt_at: Duration,
}

impl ConsensusService {
    /// Proposes a version. The result shows in the node's history: the proposal is committed if a version has its identifier,
    /// and fails if another version is newer than its base. With `ignore_unreadable` it is proposed even if members cannot
    /// read it.
    ///
    /// # Errors
    /// The proposal is too long or not valid, too many are pending, or members cannot read it.
    pub fn propose(
        &self,
        base: u64,
        version: Version,
        ignore_unreadable: bool,
    ) -> Result<(), ProposeError> {
        let bytes = version.settings.len() + version.reason.len() + version.author.len();
        if bytes > MAX_PROPOSAL_BYTES {
            return Err(ProposeError::TooLong(bytes));
        }
        FleetSettings::from_json(&version.settings)?;
        let unable = self.members_unable_to_read();
        if !unable.is_empty() && !ignore_unreadable {
            return Err(ProposeError::UnreadableByMembers(unable));
        }
        let mut pending = self.pending_proposals.borrow_mut();
        let is_pending = pending
            .iter()
            .any(|pending| pending.proposal.version.id == version.id);
        if is_pending {
            return Ok(());
        }
        if pending.len() >= MAX_PENDING_PROPOSALS {
            return Err(ProposeError::TooManyPending);
        }
        let now = self.clock.now();
        pending.push(PendingProposal {
            proposal: Proposal { base, version },
            proposed_at: now,
            next_attempt_at: now,
        });
        self.wakeup.notify_one();
        Ok(())
    }

    /// The members whose builds are known to be unable to read these settings.
    fn members_unable_to_read(&self) -> Vec<String> {
        self.fleet.with_membership(|membership| {
            let present = membership.members().filter(|member| {
                member.state != MemberState::Dead && member.state != MemberState::Left
            });
            // A member that has announced no capabilities yet does not block a proposal: if its build cannot read the settings, it
            // uses conservative values.
            let unable = present.filter(|member| {
                let capabilities = &member.metadata.capabilities;
                let can_read = capabilities
                    .iter()
                    .any(|capability| capability == CAPABILITY);
                !capabilities.is_empty() && !can_read
            });
            unable
                .map(|member| format!("{} (build {})", member.name.as_str(), member.metadata.build))
                .collect()
        })
    }

    /// When the next attempt is due.
    pub(super) fn next_proposal_at(&self) -> Option<Duration> {
        let pending = self.pending_proposals.borrow();
        pending.iter().map(|pending| pending.next_attempt_at).min()
    }

    /// Sends each pending proposal to one voter after another, because a single one may be dead or partitioned.
    pub(super) fn send_pending_proposals(&self) {
        let now = self.clock.now();
        let newest = self.node.borrow().history().newest();
        let mut pending = self.pending_proposals.borrow_mut();
        pending.retain(|pending| {
            pending.proposal.base >= newest && now < pending.proposed_at + RETRY_TIMEOUT
        });
        let due = pending
            .iter_mut()
            .filter(|pending| now >= pending.next_attempt_at);
        for pending in due {
            let elapsed = pending.next_attempt_at.saturating_sub(pending.proposed_at);
            let attempt = elapsed.as_millis() / RETRY_INTERVAL.as_millis();
            pending.next_attempt_at = now + RETRY_INTERVAL;
            self.send_proposal(&pending.proposal, attempt as usize);
        }
    }

    fn send_proposal(&self, proposal: &Proposal, attempt: usize) {
        let first = self
            .own_voter_id
            .map_or(proposal.version.id as usize, |voter_id| voter_id - 1);
        let index = (first + attempt) % self.config.voters.len();
        if Some(index + 1) == self.own_voter_id {
            return self.enqueue(QueuedEvent::Propose(proposal.clone()));
        }
        let voter = &self.config.voters[index];
        if let Some(address) = self.address_of(voter) {
            let envelope = Envelope {
                log_id: self.log_id,
                message: LinkMessage::Propose(proposal.clone()),
            };
            self.send_over_link(voter, address, LINK_TOPIC, envelope.encode());
        }
    }
}
