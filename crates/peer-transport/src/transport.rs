//! Public interface of a member's transport for the other parts of the node.

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

/// Maximum number of datagrams queued for the event loop: room for one response to every member, and some more.
const MAX_QUEUED_DATAGRAMS: usize = 8192;

/// Handler for messages of a topic; takes the sender, its incarnation and the content.
pub(crate) type MessageHandler = Rc<dyn Fn(&Name, Incarnation, &[u8])>;
/// Handler for datagrams of a topic; takes the sender, its address and the payload.
pub(crate) type DatagramHandler = Rc<dyn Fn(&Name, SocketAddr, &[u8])>;

/// A datagram queued for sending.
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
    pub(crate) queued_datagrams: RefCell<VecDeque<OutboundDatagram>>,
    /// Wakes the event loop when there is new work or the next deadline may have become earlier.
    pub(crate) wake: Notify,
    /// Actions left to the event loop, because they may need its UDP socket. Bounded by the actions that one message of a
    /// connection can cause before the event loop runs.
    pub(crate) deferred_actions: RefCell<Vec<Action>>,
    pub(crate) incarnation_store: IncarnationStore,
    pub(crate) traffic: Traffic,
    pub(crate) started_at: Duration,
}

impl PeerTransport {
    /// Binds the sockets and starts a new incarnation. Nothing is sent or received before [`PeerTransport::run`].
    ///
    /// # Errors
    /// The sockets cannot be bound, the state directory cannot be used, or the operating system provides no random numbers.
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
            queued_datagrams: RefCell::default(),
            wake: Notify::new(),
            deferred_actions: RefCell::default(),
            incarnation_store: IncarnationStore::start(settings.state_dir, &settings.name),
            name: settings.name,
            traffic: Traffic::default(),
            started_at: now,
        });
        Ok((transport, sockets))
    }

    /// This node's current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.membership.borrow().incarnation()
    }

    /// Returns the current membership status of this node, after checking for a pause of the process.
    pub fn status(&self) -> MembershipStatus {
        let now = self.clock.now();
        let actions = self.membership.borrow_mut().handle(now, Event::Tick);
        self.defer(actions);
        self.membership.borrow().status(now)
    }

    /// Publishes a value of this node to the fleet.
    ///
    /// # Errors
    /// The key, the value or the number of values exceeds its limit.
    pub fn publish(&self, key: &str, bytes: &[u8]) -> Result<(), PublishError> {
        let now = self.clock.now();
        let published = self.membership.borrow_mut().publish(key, bytes, now);
        self.wake.notify_one();
        published
    }

    /// Calls `read` with the membership state.
    pub fn with_membership<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&self.membership.borrow())
    }

    /// Registers the handler for datagrams of a topic, which must be 2 or higher. The handler gets the sender, its advertised
    /// address and the payload.
    pub fn on_datagram(&self, topic: u32, handler: impl Fn(&Name, SocketAddr, &[u8]) + 'static) {
        self.datagram_handlers
            .borrow_mut()
            .insert(topic, Rc::new(handler));
    }

    /// Sends a payload in a datagram of at most [`MAX_DATAGRAM_BYTES`](crate::envelope::MAX_DATAGRAM_BYTES). It may be lost,
    /// delayed, or delivered again after a restart.
    pub fn send_datagram(&self, to: SocketAddr, topic: u32, payload: Vec<u8>) {
        let mut queued = self.queued_datagrams.borrow_mut();
        if queued.len() < MAX_QUEUED_DATAGRAMS {
            queued.push_back(OutboundDatagram { to, topic, payload });
            self.wake.notify_one();
        }
    }

    /// Registers the handler for messages of a topic, which must be 2 or higher. The handler gets the sender, its incarnation
    /// and the content.
    pub fn on_message(&self, topic: u32, handler: impl Fn(&Name, Incarnation, &[u8]) + 'static) {
        self.message_handlers
            .borrow_mut()
            .insert(topic, Rc::new(handler));
    }

    /// Traffic sent since the start.
    pub fn sent(&self) -> SentTraffic {
        self.traffic.sent()
    }

    /// Defers actions to the event loop, which owns the UDP socket.
    pub(crate) fn defer(&self, actions: Vec<Action>) {
        if actions.is_empty() {
            return;
        }
        self.deferred_actions.borrow_mut().extend(actions);
        self.wake.notify_one();
    }
}
