//! Receives messages from the network and queues them as events; they are handled only by the loop.

use super::send::{LINK_TOPIC, NODE_TOPIC, VOTER_TOPIC};
use super::{ConsensusService, QueuedEvent};
use prost::Message;
use sillward_consensus::messages::{Datagram, Envelope, LinkMessage};
use sillward_membership::Name;
use std::net::SocketAddr;
use std::rc::Rc;

impl ConsensusService {
    pub(super) fn register_receivers(self: &Rc<Self>) {
        let service = Rc::downgrade(self);
        self.fleet
            .on_datagram(NODE_TOPIC, move |name, address, bytes| {
                let (Some(service), Ok(datagram)) = (service.upgrade(), Datagram::decode(bytes))
                else {
                    return;
                };
                service.receive_datagram(name, address, datagram);
            });
        let service = Rc::downgrade(self);
        self.fleet.on_message(VOTER_TOPIC, move |name, _, bytes| {
            let Some(service) = service.upgrade() else {
                return;
            };
            let voter_id = service.config.voter_id(name);
            if let (Some(voter_id), Some(envelope)) = (voter_id, Envelope::decode(bytes)) {
                service.enqueue(QueuedEvent::VoterMessage(voter_id, envelope));
            }
        });
        let service = Rc::downgrade(self);
        self.fleet.on_message(LINK_TOPIC, move |_, _, bytes| {
            if let Some(service) = service.upgrade() {
                service.receive_link_message(bytes);
            }
        });
    }

    fn receive_datagram(&self, name: &Name, address: SocketAddr, datagram: Datagram) {
        let log_id = self.log_id;
        if let Some(request) = datagram.request.filter(|request| request.log_id == log_id) {
            self.enqueue(QueuedEvent::LeaseRequest(name.clone(), request));
        }
        let voter_id = self.config.voter_id(name);
        if let (Some(voter_id), Some(response)) = (voter_id, datagram.response) {
            self.enqueue(QueuedEvent::LeaseResponse(voter_id - 1, response));
        }
        if let Some(fetch) = datagram.fetch.filter(|fetch| fetch.log_id == log_id) {
            self.enqueue(QueuedEvent::Fetch(name.clone(), address, fetch));
        }
        if !datagram.versions.is_empty() {
            self.receive_link_message(&datagram.versions);
        }
    }

    fn receive_link_message(&self, bytes: &[u8]) {
        let envelope = Envelope::<LinkMessage>::decode(bytes);
        let of_this_log = envelope.filter(|envelope| envelope.log_id == self.log_id);
        match of_this_log.map(|envelope| envelope.message) {
            Some(LinkMessage::Versions(versions)) => {
                self.enqueue(QueuedEvent::Versions(versions));
            }
            Some(LinkMessage::Propose(proposal)) => {
                self.enqueue(QueuedEvent::Propose(proposal));
            }
            None => {}
        }
    }
}
