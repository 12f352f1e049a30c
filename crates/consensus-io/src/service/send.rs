//! Sends messages over the network.

use super::{ConsensusService, QueuedEvent};
use prost::Message;
use sillward_consensus::messages::{
    Datagram, Envelope, FetchVersions, LeaseRequest, LeaseResponse, LinkMessage,
};
use sillward_membership::{MemberState, Name};
use sillward_peer_transport::send_queue::OutboundMessage;
use std::net::SocketAddr;

/// The topic of datagrams between nodes and voters.
pub(super) const NODE_TOPIC: u32 = 2;
/// The topic of messages between voters, over links.
pub(super) const VOTER_TOPIC: u32 = 3;
/// The topic of messages that are too long for a datagram, over links.
pub(super) const LINK_TOPIC: u32 = 4;
/// The key of the gossiped value in which a voter announces its newest version to the fleet.
const NEWEST_KEY: &str = "agreement";
/// The longest encoded versions that are sent in a datagram, in bytes.
const MAX_DATAGRAM_VERSIONS: usize = 1000;
/// The longest versions that are sent over a link in one message, in bytes.
const MAX_LINK_VERSIONS: usize = 32 * 1024;

impl ConsensusService {
    fn send_datagram(&self, to: SocketAddr, datagram: &Datagram) {
        self.fleet
            .send_datagram(to, NODE_TOPIC, datagram.encode_to_vec());
    }

    pub(super) fn send_over_link(
        &self,
        to: &Name,
        address: SocketAddr,
        topic: u32,
        bytes: Vec<u8>,
    ) {
        // A message replaces a waiting one with the same slot, so each message gets its own.
        let slot = self.last_slot.get().wrapping_add(1);
        self.last_slot.set(slot);
        self.fleet
            .send_message(to, address, OutboundMessage { topic, slot, bytes });
    }

    pub(super) fn address_of(&self, name: &Name) -> Option<SocketAddr> {
        self.fleet
            .with_membership(|membership| membership.member(name).map(|member| member.address))
    }

    pub(super) fn send_to_voter(&self, to: usize, envelope: &Envelope) {
        self.count(|counts| &mut counts.voter_messages);
        let Some(name) = self.config.voter(to) else {
            return;
        };
        if let Some(address) = self.address_of(name) {
            self.send_over_link(name, address, VOTER_TOPIC, envelope.encode());
        }
    }

    pub(super) fn send_lease_response(&self, to: &Name, response: LeaseResponse) {
        self.count(|counts| &mut counts.responses);
        let own_voter_id = self
            .own_voter_id
            .filter(|voter_id| self.config.voter(*voter_id) == Some(to));
        if let Some(voter_id) = own_voter_id {
            self.enqueue(QueuedEvent::LeaseResponse(voter_id - 1, response));
        } else if let Some(address) = self.address_of(to) {
            let datagram = Datagram {
                response: Some(response),
                ..Datagram::default()
            };
            self.send_datagram(address, &datagram);
        }
    }

    /// Sends a lease request to all voters.
    pub(super) fn send_lease_request(&self, request: &LeaseRequest) {
        let own_name = self
            .fleet
            .with_membership(|membership| membership.local_node().name.clone());
        for (index, name) in self.config.voters.iter().enumerate() {
            if Some(index + 1) == self.own_voter_id {
                let event = QueuedEvent::LeaseRequest(own_name.clone(), request.clone());
                self.enqueue(event);
            } else if let Some(address) = self.address_of(name) {
                self.count(|counts| &mut counts.requests);
                let datagram = Datagram {
                    request: Some(request.clone()),
                    ..Datagram::default()
                };
                self.send_datagram(address, &datagram);
            }
        }
        // Announcements of voters spread through the fleet, and also reach nodes to which the voters' datagrams do not get
        // through.
        if let Some(newest) = self.newest_announced() {
            self.enqueue(QueuedEvent::VersionObserved(newest));
        }
    }

    /// The newest version that any voter has announced to the fleet.
    fn newest_announced(&self) -> Option<u64> {
        self.fleet.with_membership(|membership| {
            let voters = self
                .config
                .voters
                .iter()
                .filter_map(|name| membership.member(name));
            voters
                .filter_map(|member| self.read_announcement(&member.value(NEWEST_KEY)?.bytes))
                .max()
        })
    }

    fn read_announcement(&self, value: &[u8]) -> Option<u64> {
        let (log_id, newest) = value.split_at_checked(8)?;
        let newest = u64::from_le_bytes(newest.try_into().ok()?);
        (log_id == self.log_id.to_le_bytes()).then_some(newest)
    }

    /// If this node is a voter, announces its newest version to the fleet when it has changed.
    pub(super) fn announce_newest(&self) {
        let newest = self.node.borrow().history().newest();
        if self.own_voter_id.is_some() && self.announced_version.replace(newest) != newest {
            let value: Vec<u8> = [self.log_id.to_le_bytes(), newest.to_le_bytes()].concat();
            let _ = self.fleet.publish(NEWEST_KEY, &value); // 16 bytes are within the limits of a value
        }
    }

    /// Requests versions from a live voter or any live member, drawn at random.
    pub(super) fn send_fetch(&self, after: u64, from_voter: bool) {
        let Some(to) = self.draw_fetch_target(from_voter) else {
            return;
        };
        self.count(|counts| &mut counts.fetches);
        let fetch = FetchVersions {
            log_id: self.log_id,
            after,
        };
        let datagram = Datagram {
            fetch: Some(fetch),
            ..Datagram::default()
        };
        self.send_datagram(to, &datagram);
    }

    fn draw_fetch_target(&self, from_voter: bool) -> Option<SocketAddr> {
        let mut random = self.random.borrow_mut();
        self.fleet.with_membership(|membership| {
            let is_alive = |name: &&Name| {
                membership
                    .member(name)
                    .is_some_and(|member| member.state == MemberState::Alive)
            };
            let voters: Vec<&Name> = self.config.voters.iter().filter(is_alive).collect();
            if from_voter && !voters.is_empty() {
                let index = random.next_u32() as usize % voters.len();
                return membership
                    .member(voters[index])
                    .map(|member| member.address);
            }
            let members: Vec<SocketAddr> = membership
                .members()
                .filter(|member| member.state == MemberState::Alive)
                .map(|member| member.address)
                .collect();
            (!members.is_empty()).then(|| members[random.next_u32() as usize % members.len()])
        })
    }

    /// Responds to a request for versions, if this node has newer ones.
    pub(super) fn send_versions(&self, to: &Name, address: SocketAddr, fetch: &FetchVersions) {
        let node = self.node.borrow();
        let versions = node
            .history()
            .versions_after(fetch.after, MAX_LINK_VERSIONS);
        if versions.is_empty() {
            return;
        }
        self.count(|counts| &mut counts.fetches);
        let envelope = Envelope {
            log_id: self.log_id,
            message: LinkMessage::Versions(versions),
        };
        let bytes = envelope.encode();
        if bytes.len() <= MAX_DATAGRAM_VERSIONS {
            let datagram = Datagram {
                versions: bytes,
                ..Datagram::default()
            };
            self.send_datagram(address, &datagram);
        } else {
            self.send_over_link(to, address, LINK_TOPIC, bytes);
        }
    }
}
