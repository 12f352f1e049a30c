//! The event loop: timers, datagrams and accepted connections.

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

/// After more datagrams than a node accepts, and when accepting a connection fails, no datagram is read for so long; the
/// system drops what its buffer cannot hold.
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Longer than any datagram that is accepted.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// The topic of anti-entropy. Those of other parts are higher.
const SYNC_TOPIC: u32 = 1;

/// Whether more datagrams may be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    Ready,
    /// Too many arrive.
    Overloaded,
}

impl PeerTransport {
    /// Runs until `stop` is ready, then leaves the fleet.
    pub async fn run(self: Rc<Self>, sockets: BoundSockets, stop: impl Future<Output = ()>) {
        let BoundSockets { udp, tcp, .. } = sockets;
        let mut stop = pin!(stop);
        let mut accepted: JoinSet<()> = JoinSet::new();
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        let mut reads_from: Option<Instant> = None;
        loop {
            let deadline = self.clock.instant(self.membership.borrow().next_deadline());
            let deadline = reads_from.map_or(deadline, |from| deadline.min(from));
            // All branches are cancellation safe: they wait for readiness and lose nothing when dropped.
            tokio::select! {
                biased;
                () = &mut stop => break,
                () = sleep_until(deadline) => {
                    reads_from = reads_from.filter(|from| *from > Instant::now());
                    self.handle_event(&udp, Event::Tick);
                }
                () = self.wake.notified() => self.handle_event(&udp, Event::Tick),
                received = udp.receive(&mut buffer), if reads_from.is_none() => {
                    // An error is about an earlier datagram that nobody received.
                    if let Ok((count, _)) = received {
                        if self.handle_datagram(&udp, &buffer[..count]) == ReadState::Overloaded {
                            reads_from = Some(Instant::now() + READ_PAUSE);
                        }
                    }
                }
                Some(_) = accepted.join_next() => {}
                connection = tcp.accept() => match connection {
                    Ok((stream, _)) if accepted.len() < self.max_connections => {
                        accepted.spawn_local(self.clone().accept(stream));
                    }
                    Ok(_) => increment(&self.traffic.bad_connections),
                    // The process is out of file descriptors.
                    Err(_) => reads_from = Some(Instant::now() + READ_PAUSE),
                },
            }
        }
        self.handle_event(&udp, Event::Leave);
    }

    /// Handles an event, then carries out what follows from it and what other parts have left to do.
    fn handle_event(self: &Rc<Self>, udp: &UdpSocket, event: Event) {
        let mut actions = self.deferred_actions.take();
        let now = self.clock.now();
        actions.extend(self.membership.borrow_mut().handle(now, event));
        for action in actions {
            self.carry_out(udp, action);
        }
        loop {
            let Some(datagram) = self.waiting_datagrams.borrow_mut().pop_front() else {
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

    fn carry_out(self: &Rc<Self>, udp: &UdpSocket, action: Action) {
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
            increment(&self.traffic.unsent); // as if it had been lost on the way
        }
    }

    /// An envelope of this node's with the next sequence number.
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

    /// Handles a datagram.
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

    /// Hands a payload to the handler of its topic, unless its sender's incarnation has ended. An unknown topic is a newer
    /// build's.
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

    /// Handles a message of a connection; false if the connection has to be closed: this node's incarnation has ended since
    /// it was made, or the message is invalid.
    pub(crate) fn handle_message(
        &self,
        peer: &Name,
        peer_incarnation: Incarnation,
        own_incarnation: Incarnation,
        message: &TopicMessage,
    ) -> bool {
        self.traffic.received.add_bytes(message.bytes.len());
        // A pause is noticed before anything is believed that arrived before its end.
        self.handle_deferring(Event::Tick);
        if self.incarnation() != own_incarnation {
            return false;
        }
        if message.topic == SYNC_TOPIC {
            return self.handle_sync(peer, peer_incarnation, &message.bytes);
        }
        // An unknown topic is a newer build's.
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

    /// Handles an event, and leaves what follows from it to the event loop.
    fn handle_deferring(&self, event: Event) {
        let now = self.clock.now();
        let actions = self.membership.borrow_mut().handle(now, event);
        self.defer(actions);
    }
}
