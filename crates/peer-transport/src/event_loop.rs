//! Event loop for timers, datagrams and accepted connections.

use crate::envelope::{Envelope, RejectReason};
use crate::send_queue::OutboundMessage;
use crate::session::TopicMessage;
use crate::sockets::BoundSockets;
use crate::traffic::increment;
use crate::transport::{LastSequence, PeerTransport};
use prost::Message;
use sillward_logging::log_peer;
use sillward_membership::wire::{Frame, SyncMessage};
use sillward_membership::{Action, Event, Incarnation, Name, ReceivedSync};
use sillward_runtime::net::UdpSocket;
use sillward_runtime::task::JoinSet;
use sillward_runtime::time::{Instant, sleep_until};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Pause in reading datagrams after the total rate limit is exceeded or accepting a connection fails. The kernel drops
/// datagrams that its socket buffer cannot hold meanwhile.
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Size of the receive buffer; larger than any datagram that is accepted.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// Topic of anti-entropy messages. Other parts of the node use higher topics.
const SYNC_TOPIC: u32 = 1;

/// Whether the event loop may continue to read datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    Ready,
    /// The total rate limit is exceeded.
    Overloaded,
}

impl PeerTransport {
    /// Runs until `stop` is ready, then leaves the fleet.
    pub async fn run(self: Rc<Self>, sockets: BoundSockets, stop: impl Future<Output = ()>) {
        let BoundSockets { udp, tcp, .. } = sockets;
        let mut stop = pin!(stop);
        let mut accepted: JoinSet<()> = JoinSet::new();
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        let mut read_resume_at: Option<Instant> = None;
        loop {
            let deadline = self.clock.instant(self.membership.borrow().next_deadline());
            let deadline = read_resume_at.map_or(deadline, |at| deadline.min(at));
            // All branches are cancellation safe: they only wait for readiness.
            tokio::select! {
                biased;
                () = &mut stop => break,
                () = sleep_until(deadline) => {
                    read_resume_at = read_resume_at.filter(|at| *at > Instant::now());
                    self.handle_event(&udp, Event::Tick);
                }
                () = self.wake.notified() => self.handle_event(&udp, Event::Tick),
                received = udp.receive(&mut buffer), if read_resume_at.is_none() => {
                    // An error here reports an earlier datagram that could not be delivered.
                    if let Ok((count, _)) = received {
                        if self.handle_datagram(&udp, &buffer[..count]) == ReadState::Overloaded {
                            read_resume_at = Some(Instant::now() + READ_PAUSE);
                        }
                    }
                }
                Some(_) = accepted.join_next() => {}
                connection = tcp.accept() => match connection {
                    Ok((stream, _)) if accepted.len() < self.max_connections => {
                        accepted.spawn_local(self.clone().accept(stream));
                    }
                    Ok(_) => increment(&self.traffic.bad_connections),
                    // Accepting fails when the process is out of file descriptors.
                    Err(_) => read_resume_at = Some(Instant::now() + READ_PAUSE),
                },
            }
        }
        self.handle_event(&udp, Event::Leave);
    }

    /// Handles an event, executes the resulting and the deferred actions, and sends the queued datagrams.
    fn handle_event(self: &Rc<Self>, udp: &UdpSocket, event: Event) {
        let mut actions = self.deferred_actions.take();
        let now = self.clock.now();
        actions.extend(self.membership.borrow_mut().handle(now, event));
        for action in actions {
            self.execute_action(udp, action);
        }
        loop {
            let Some(datagram) = self.queued_datagrams.borrow_mut().pop_front() else {
                break;
            };
            let envelope = Envelope {
                topic: datagram.topic,
                payload: datagram.payload,
                ..self.next_envelope(0, Frame::default())
            };
            self.send_envelope(udp, &envelope, datagram.to);
        }
    }

    fn execute_action(self: &Rc<Self>, udp: &UdpSocket, action: Action) {
        match action {
            Action::Send { to, to_salt, frame } => {
                let envelope = self.next_envelope(to_salt, frame);
                self.send_envelope(udp, &envelope, to);
            }
            Action::Sync {
                to,
                address,
                message,
            } => {
                let message = OutboundMessage {
                    topic: SYNC_TOPIC,
                    slot: message.step,
                    bytes: message.encode_to_vec(),
                };
                self.send_message(&to, address, message);
            }
            Action::StoreIncarnation(incarnation) => self.incarnation_store.store(incarnation),
            Action::Log(line) => log_peer(format_args!("fleet {}: {line}", self.fleet)),
        }
    }

    fn send_envelope(&self, udp: &UdpSocket, envelope: &Envelope, to: SocketAddr) {
        let bytes = self.codec.seal(envelope);
        self.traffic.sent_datagrams.add(bytes.len());
        if udp.send(&bytes, to).is_err() {
            increment(&self.traffic.unsent); // handled like a datagram lost in the network
        }
    }

    /// Creates an envelope from this node with the next sequence number.
    fn next_envelope(&self, to_salt: u32, frame: Frame) -> Envelope {
        let membership = self.membership.borrow();
        let incarnation = membership.incarnation();
        let last = self.last_sequence.get();
        let number = if last.incarnation == incarnation {
            last.number + 1
        } else {
            1
        };
        self.last_sequence.set(LastSequence {
            incarnation,
            number,
        });
        let local = membership.local_node();
        Envelope {
            name: local.name.clone(),
            address: local.address,
            incarnation,
            sequence: number,
            to_salt,
            frame,
            topic: 0,
            payload: Vec::new(),
        }
    }

    fn handle_datagram(self: &Rc<Self>, udp: &UdpSocket, bytes: &[u8]) -> ReadState {
        let now = self.clock.now();
        if !self.inbound_filter.borrow_mut().allow_read(now) {
            self.reject(RejectReason::Overload);
            return ReadState::Overloaded;
        }
        self.traffic.received.add(bytes.len());
        match self.open(now, bytes) {
            Err(reason) => self.reject(reason),
            Ok(envelope) if envelope.topic != 0 => self.handle_payload(&envelope),
            Ok(envelope) => {
                let event = Event::Frame {
                    sender: envelope.name,
                    address: envelope.address,
                    incarnation: envelope.incarnation,
                    to_salt: envelope.to_salt,
                    frame: envelope.frame,
                };
                self.handle_event(udp, event);
            }
        }
        ReadState::Ready
    }

    fn open(&self, now: Duration, bytes: &[u8]) -> Result<Envelope, RejectReason> {
        let envelope = self.codec.open(bytes)?;
        self.inbound_filter.borrow_mut().admit(
            now,
            &envelope.name,
            envelope.incarnation,
            envelope.sequence,
        )?;
        Ok(envelope)
    }

    fn reject(&self, reason: RejectReason) {
        self.inbound_filter.borrow_mut().record_rejection(reason);
    }

    /// Passes a payload to the handler of its topic, unless the sender's incarnation has ended. Unknown topics are ignored:
    /// newer builds may send them.
    fn handle_payload(&self, envelope: &Envelope) {
        let is_current = self
            .inbound_filter
            .borrow()
            .is_current_incarnation(&envelope.name, envelope.incarnation);
        let handler = self
            .datagram_handlers
            .borrow()
            .get(&envelope.topic)
            .cloned();
        if let (Some(handler), true) = (handler, is_current) {
            handler(&envelope.name, envelope.address, &envelope.payload);
        }
    }

    /// Handles a message of a connection. Returns false if the connection has to be closed, because this node's incarnation
    /// has ended since the handshake or because the message is invalid.
    pub(crate) fn handle_message(
        &self,
        peer: &Name,
        peer_incarnation: Incarnation,
        own_incarnation: Incarnation,
        message: &TopicMessage,
    ) -> bool {
        self.traffic.received.add_bytes(message.bytes.len());
        // Detects a pause of the process before applying a message that arrived during the pause.
        self.handle_deferring(Event::Tick);
        if self.incarnation() != own_incarnation {
            return false;
        }
        if message.topic == SYNC_TOPIC {
            return self.handle_sync(peer, peer_incarnation, &message.bytes);
        }
        // Unknown topics are ignored: newer builds may send them.
        let handler = self.message_handlers.borrow().get(&message.topic).cloned();
        if let Some(handler) = handler {
            handler(peer, peer_incarnation, &message.bytes);
        }
        true
    }

    fn handle_sync(&self, peer: &Name, incarnation: Incarnation, bytes: &[u8]) -> bool {
        let Ok(message) = SyncMessage::decode(bytes) else {
            return false;
        };
        let received = ReceivedSync {
            sender: peer.clone(),
            incarnation,
            message,
        };
        self.handle_deferring(Event::Sync(received));
        true
    }

    /// Handles an event and defers the resulting actions to the event loop.
    fn handle_deferring(&self, event: Event) {
        let now = self.clock.now();
        let actions = self.membership.borrow_mut().handle(now, event);
        self.defer(actions);
    }
}
