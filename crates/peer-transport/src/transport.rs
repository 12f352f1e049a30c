//! A member's transport, as the other parts of the node use it.

use crate::connection::Connection;
use crate::envelope::{EnvelopeCodec, Keys};
use crate::error::TransportError;
use crate::inbound_filter::InboundFilter;
use crate::incarnation_store::{self, IncarnationStore};
use crate::settings::TransportSettings;
use crate::sockets::BoundSockets;
use crate::traffic::{SentTraffic, Traffic};
use sillward_membership::{
    Action, Event, Incarnation, LocalNode, Membership, MembershipSettings, MembershipStatus, Name,
    PublishError,
};
use sillward_runtime::{Clock, random};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Datagrams that wait for the event loop: an answer for every member, and some more.
const MAX_WAITING_DATAGRAMS: usize = 8192;

/// Handles the messages of a topic: the sender, its incarnation, the content.
pub(crate) type MessageHandler = Rc<dyn Fn(&Name, Incarnation, &[u8])>;
/// Handles the datagrams of a topic: the sender, its address, the payload.
pub(crate) type DatagramHandler = Rc<dyn Fn(&Name, SocketAddr, &[u8])>;

/// A datagram that waits to be sent.
pub(crate) struct OutboundDatagram {
    pub(crate) to: SocketAddr,
    pub(crate) topic: u32,
    pub(crate) payload: Vec<u8>,
}

/// The sequence number of the last datagram, and the incarnation that it belongs to.
#[derive(Clone, Copy)]
pub(crate) struct LastSequence {
    pub(crate) incarnation: Incarnation,
    pub(crate) number: u64,
}

/// A member of a fleet: its membership, its sockets, and its connections to other members.
pub struct PeerTransport {
    pub(crate) clock: Clock,
    pub(crate) fleet: String,
    pub(crate) name: Name,
    pub(crate) own_ip: IpAddr,
    pub(crate) keys: Keys,
    pub(crate) codec: EnvelopeCodec,
    pub(crate) membership: RefCell<Membership>,
    pub(crate) inbound_filter: RefCell<InboundFilter>,
    pub(crate) last_sequence: Cell<LastSequence>,
    pub(crate) connections: RefCell<BTreeMap<Name, Rc<Connection>>>,
    pub(crate) max_connections: usize,
    pub(crate) message_handlers: RefCell<BTreeMap<u32, MessageHandler>>,
    pub(crate) datagram_handlers: RefCell<BTreeMap<u32, DatagramHandler>>,
    pub(crate) waiting_datagrams: RefCell<VecDeque<OutboundDatagram>>,
    /// Wakes the event loop: something may be due earlier than it was.
    pub(crate) wake: Notify,
    /// Actions that the event loop has to carry out, since they may need its socket; bounded by what one message of a
    /// connection can cause before the loop runs.
    pub(crate) deferred_actions: RefCell<Vec<Action>>,
    pub(crate) incarnation_store: IncarnationStore,
    pub(crate) traffic: Traffic,
    pub(crate) started_at: Duration,
}

impl PeerTransport {
    /// Binds the sockets and begins an incarnation. Nothing is sent or received before [`PeerTransport::run`].
    ///
    /// # Errors
    /// The sockets can't be bound, the state directory can't be used, or the system gives no random numbers.
    pub async fn start(
        settings: TransportSettings,
        clock: Clock,
    ) -> Result<(Rc<Self>, BoundSockets), TransportError> {
        let sockets = BoundSockets::bind(settings.listen).await?;
        let address = settings.advertise.unwrap_or(sockets.address);
        let now = clock.now();
        let epoch = match &settings.state_dir {
            Some(state_dir) => incarnation_store::load(state_dir, &settings.name)?,
            None => 0,
        };
        let seed = random::entropy().map_err(TransportError::Random)?;
        let codec = EnvelopeCodec::new(
            settings.keys.clone(),
            &settings.fleet,
            settings.max_frame_bytes,
        );
        let max_members = settings.membership.max_members;
        let membership_settings = MembershipSettings {
            max_frame_bytes: codec.frame_capacity(&settings.name, address),
            ..settings.membership
        };
        let local = LocalNode {
            name: settings.name.clone(),
            address,
            metadata: settings.metadata,
            seeds: settings.seeds,
        };
        let membership = Membership::new(membership_settings, local, epoch, seed, now);
        let last_sequence = LastSequence {
            incarnation: membership.incarnation(),
            number: 0,
        };
        let transport = Rc::new(PeerTransport {
            clock,
            fleet: settings.fleet,
            own_ip: sockets.address.ip(),
            keys: settings.keys,
            codec,
            last_sequence: Cell::new(last_sequence),
            membership: RefCell::new(membership),
            inbound_filter: RefCell::new(InboundFilter::new(max_members, now)),
            connections: RefCell::default(),
            max_connections: settings.max_connections,
            message_handlers: RefCell::default(),
            datagram_handlers: RefCell::default(),
            waiting_datagrams: RefCell::default(),
            wake: Notify::new(),
            deferred_actions: RefCell::default(),
            incarnation_store: IncarnationStore::start(settings.state_dir, &settings.name),
            name: settings.name,
            traffic: Traffic::default(),
            started_at: now,
        });
        Ok((transport, sockets))
    }

    /// This node's present incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.membership.borrow().incarnation()
    }

    /// The status of this node's membership now: a pause of the process that was not noticed yet is noticed here.
    pub fn status(&self) -> MembershipStatus {
        let now = self.clock.now();
        let actions = self.membership.borrow_mut().handle(now, Event::Tick);
        self.defer(actions);
        self.membership.borrow().status(now)
    }

    /// Publishes a value of this node's own to the fleet.
    ///
    /// # Errors
    /// The key, the value or the number of values is over its bound.
    pub fn publish(&self, key: &str, bytes: &[u8]) -> Result<(), PublishError> {
        let now = self.clock.now();
        let published = self.membership.borrow_mut().publish(key, bytes, now);
        self.wake.notify_one();
        published
    }

    /// Reads what is known of the fleet.
    pub fn with_membership<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&self.membership.borrow())
    }

    /// Handles datagrams of a topic, 2 or higher, from now on. The handler gets the sender, the address at which it says
    /// that it is reached, and the payload.
    pub fn on_datagram(&self, topic: u32, handler: impl Fn(&Name, SocketAddr, &[u8]) + 'static) {
        self.datagram_handlers
            .borrow_mut()
            .insert(topic, Rc::new(handler));
    }

    /// Sends a payload in a datagram, which must fit [`MAX_DATAGRAM_BYTES`](crate::envelope::MAX_DATAGRAM_BYTES). It may be
    /// lost, delayed, or delivered again after a restart.
    pub fn send_datagram(&self, to: SocketAddr, topic: u32, payload: Vec<u8>) {
        let mut waiting = self.waiting_datagrams.borrow_mut();
        if waiting.len() < MAX_WAITING_DATAGRAMS {
            waiting.push_back(OutboundDatagram { to, topic, payload });
            self.wake.notify_one();
        }
    }

    /// Handles messages of a topic, 2 or higher, from now on. The handler gets the sender, its incarnation, and the content.
    pub fn on_message(&self, topic: u32, handler: impl Fn(&Name, Incarnation, &[u8]) + 'static) {
        self.message_handlers
            .borrow_mut()
            .insert(topic, Rc::new(handler));
    }

    /// What was sent since the start.
    pub fn sent(&self) -> SentTraffic {
        self.traffic.sent()
    }

    /// Leaves actions to the event loop, which has the socket for datagrams.
    pub(crate) fn defer(&self, actions: Vec<Action>) {
        if actions.is_empty() {
            return;
        }
        self.deferred_actions.borrow_mut().extend(actions);
        self.wake.notify_one();
    }
}
