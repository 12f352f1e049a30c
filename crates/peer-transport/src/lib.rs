//! What carries the fleet's frames and longer state: datagrams for frames, a connection a pair at need for the rest. What
//! they say is decided by [`sillward_membership`]; what is let in, by [`inbound_filter`] and [`envelope`].
//!
//! Other parts of the node write values and post messages here, and open no sockets of their own.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod envelope;
pub mod inbound_filter;
pub mod incarnation_file;
mod link;
pub mod send_queue;
pub mod session;
pub mod status_page;

use envelope::{Envelope, EnvelopeCodec, Keys, RejectReason};
use inbound_filter::InboundFilter;
use link::Link;
use prost::Message;
use send_queue::OutboundMessage;
use session::TopicMessage;
use sillward_logging::{log, log_peer};
use sillward_membership::wire::SyncMessage;
use sillward_membership::{
    Action, Event, Incarnation, LocalNode, Membership, MembershipStatus, Name, NodeMetadata,
    SyncStep,
};
use sillward_runtime::net::{TcpListener, UdpSocket};
use sillward_runtime::task::{JoinSet, spawn_local};
use sillward_runtime::time::{Instant, sleep_until};
use sillward_runtime::{Clock, files, random};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

/// A dial, a greeting, or a write that takes longer is given up.
const PATIENCE: Duration = Duration::from_secs(2);
/// A link that carries nothing for so long is closed.
const IDLE: Duration = Duration::from_secs(10);
/// After more datagrams than a node reads, nothing is read for so long; the system drops what it has no room for.
const PAUSE: Duration = Duration::from_millis(20);
/// The topic of bringing up to date. Those of other parts are higher.
const SYNC: u32 = 1;
/// Tries to have one port for both kinds of sockets.
const TRIES: usize = 16;

/// What a fleet's member needs to know.
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// The fleet's name: at most [`envelope::MAX_FLEET_NAME_BYTES`] bytes.
    pub fleet: String,
    /// Its keys.
    pub keys: Keys,
    /// This member's name.
    pub name: Name,
    /// Where it listens, for datagrams and connections.
    pub listen: SocketAddr,
    /// Where the others reach it, if that is not where it listens.
    pub advertise: Option<SocketAddr>,
    /// Whom it asks first.
    pub seeds: Vec<SocketAddr>,
    /// What it tells of itself.
    pub metadata: NodeMetadata,
    /// The most bytes of a frame with its envelope.
    pub max_frame_bytes: usize,
    /// The most links at once, and as many connections that were taken.
    pub max_connections: usize,
    /// Where it remembers its last incarnation.
    pub state_dir: Option<PathBuf>,
    /// Times and bounds of membership; how long a frame may be is filled in.
    pub membership: sillward_membership::MembershipSettings,
}

type Hearer = Rc<dyn Fn(&Name, Incarnation, &[u8])>;
type WordHearer = Rc<dyn Fn(&Name, SocketAddr, &[u8])>;
/// Words that wait for the loop to send them: an answer for every member, and some.
const MOST_WORDS: usize = 8192;

/// This member of the fleet.
pub struct PeerTransport {
    clock: Clock,
    fleet: String,
    name: Name,
    own_ip: IpAddr,
    keys: Keys,
    envelopes: EnvelopeCodec,
    peers: RefCell<Membership>,
    inbound_filter: RefCell<InboundFilter>,
    /// The number of the last frame, in the incarnation that it was of.
    number: Cell<(Incarnation, u64)>,
    links: RefCell<BTreeMap<Name, Rc<Link>>>,
    most_links: usize,
    hearers: RefCell<BTreeMap<u32, Hearer>>,
    word_hearers: RefCell<BTreeMap<u32, WordHearer>>,
    words: RefCell<VecDeque<(SocketAddr, u32, Vec<u8>)>>,
    /// Something may be due earlier than it was.
    sooner: Notify,
    /// What follows from words over links, for the loop to carry out: bounded by what one link can say before it runs.
    later: RefCell<Vec<Action>>,
    keep: Option<mpsc::UnboundedSender<Incarnation>>,
    /// Whether the folder has the present incarnation.
    kept: Rc<Cell<Option<bool>>>,
    sent: Cell<(u64, u64)>,
    sent_long: Cell<(u64, u64)>,
    received: Cell<(u64, u64)>,
    unsent: Cell<u64>,
    bad_links: Cell<u64>,
    dropped_long: Cell<u64>,
    started: Duration,
}

/// The sockets of a member that does not run yet.
pub struct Listening {
    udp: UdpSocket,
    tcp: TcpListener,
    /// Where both listen.
    pub address: SocketAddr,
}

/// Opens both sockets at one address.
async fn listen(at: SocketAddr) -> Result<Listening, String> {
    let wrong = |e: std::io::Error| format!("cannot listen for the fleet on {at}: {e}");
    for tries in 1.. {
        let tcp = TcpListener::bind(at).await.map_err(wrong)?;
        let address = tcp.local_addr().map_err(wrong)?;
        match UdpSocket::bind(address).await {
            Ok(udp) => return Ok(Listening { udp, tcp, address }),
            Err(_) if at.port() == 0 && tries < TRIES => {}
            Err(e) => return Err(wrong(e)),
        }
    }
    Err("unreachable".to_owned())
}

impl PeerTransport {
    /// Opens the sockets and begins a incarnation.
    ///
    /// # Errors
    /// It can't listen, its folder can't be made, or the system has no random numbers.
    pub async fn start(
        settings: TransportSettings,
        clock: Clock,
    ) -> Result<(Rc<Self>, Listening), String> {
        let listening = listen(settings.listen).await?;
        let address = settings.advertise.unwrap_or(listening.address);
        let now = clock.now();
        let epoch = match &settings.state_dir {
            None => 0,
            Some(folder) => {
                let wrong = |e: std::io::Error| {
                    format!("cannot use the fleet's folder {}: {e}", folder.display())
                };
                files::create_folder(folder).map_err(wrong)?;
                let bytes = files::read(
                    &folder.join(incarnation_file::FILE_NAME),
                    incarnation_file::MAX_BYTES,
                )
                .map_err(wrong)?;
                match bytes.map(|bytes| incarnation_file::decode(&settings.name, &bytes)) {
                    Some(Some(epoch)) => epoch,
                    Some(None) => {
                        log(format_args!(
                            "the file {} in {} is spoilt or another node's: it counts as lost",
                            incarnation_file::FILE_NAME,
                            folder.display()
                        ));
                        0
                    }
                    None => 0,
                }
            }
        };
        let seed =
            random::entropy().map_err(|e| format!("no random numbers for the fleet: {e}"))?;
        let envelopes = EnvelopeCodec::new(
            settings.keys.clone(),
            &settings.fleet,
            settings.max_frame_bytes,
        );
        let room = envelopes.frame_capacity(&settings.name, address);
        let (about, seeds) = (settings.metadata, settings.seeds);
        let me = LocalNode {
            name: settings.name.clone(),
            address,
            metadata: about,
            seeds,
        };
        let most = settings.membership.max_members;
        let peers = Membership::new(
            sillward_membership::MembershipSettings {
                max_frame_bytes: room,
                ..settings.membership
            },
            me,
            epoch,
            seed,
            now,
        );
        let kept = Rc::new(Cell::new(None));
        let keep = settings.state_dir.map(|folder| {
            let (keep, lives) = mpsc::unbounded_channel();
            spawn_local(keep_lives(
                folder,
                settings.name.clone(),
                lives,
                kept.clone(),
            ));
            keep
        });
        let fleet = Rc::new(PeerTransport {
            clock,
            fleet: settings.fleet,
            name: settings.name,
            own_ip: listening.address.ip(),
            keys: settings.keys,
            envelopes,
            number: Cell::new((peers.incarnation(), 0)),
            peers: RefCell::new(peers),
            inbound_filter: RefCell::new(InboundFilter::new(most, now)),
            links: RefCell::default(),
            most_links: settings.max_connections,
            hearers: RefCell::default(),
            word_hearers: RefCell::default(),
            words: RefCell::default(),
            sooner: Notify::new(),
            later: RefCell::default(),
            keep,
            kept,
            sent: Cell::default(),
            sent_long: Cell::default(),
            received: Cell::default(),
            unsent: Cell::default(),
            bad_links: Cell::default(),
            dropped_long: Cell::default(),
            started: now,
        });
        Ok((fleet, listening))
    }

    /// Runs until it is told to stop, and says goodbye then.
    pub async fn run(self: Rc<Self>, listening: Listening, stop: impl Future<Output = ()>) {
        let Listening { udp, tcp, .. } = listening;
        let mut stop = pin!(stop);
        let mut taken: JoinSet<()> = JoinSet::new();
        let mut buffer = vec![0; 2048];
        let mut reads_from: Option<Instant> = None;
        loop {
            let due = self.clock.instant(self.peers.borrow().next());
            let due = reads_from.map_or(due, |from| due.min(from));
            tokio::select! {
                biased;
                () = &mut stop => break,
                () = sleep_until(due) => {
                    reads_from = reads_from.filter(|from| *from > Instant::now());
                    self.event(&udp, Event::Tick);
                }
                () = self.sooner.notified() => self.event(&udp, Event::Tick),
                received = udp.receive(&mut buffer), if reads_from.is_none() => {
                    // An error is about an earlier send that nobody was there for.
                    if let Ok((count, _)) = received {
                        if !self.datagram(&udp, &buffer[..count]) {
                            reads_from = Some(Instant::now() + PAUSE);
                        }
                    }
                }
                Some(_) = taken.join_next() => {}
                accepted = tcp.accept() => match accepted {
                    Ok((stream, _)) if taken.len() < self.most_links => taken.spawn_local(self.clone().accepted(stream)),
                    Ok(_) => self.bad_links.set(self.bad_links.get() + 1),
                    Err(_) => reads_from = Some(Instant::now() + PAUSE), // out of descriptors
                },
            }
        }
        self.event(&udp, Event::Leave);
    }

    /// Takes an event to the machine and carries out what follows.
    fn event(self: &Rc<Self>, udp: &UdpSocket, event: Event) {
        let mut actions = self.later.take();
        actions.extend(self.peers.borrow_mut().handle(self.clock.now(), event));
        self.act(udp, actions);
        loop {
            let Some((to, topic, word)) = self.words.borrow_mut().pop_front() else {
                break;
            };
            let sealed = Envelope {
                topic,
                payload: word,
                ..self.numbered(0, Default::default())
            };
            self.send(udp, &sealed, to);
        }
    }

    fn send(&self, udp: &UdpSocket, sealed: &Envelope, to: SocketAddr) {
        let bytes = self.envelopes.seal(sealed);
        self.note_sent(bytes.len(), false);
        if udp.send(&bytes, to).is_err() {
            self.unsent.set(self.unsent.get() + 1); // as if it had been lost on the way
        }
    }

    fn act(self: &Rc<Self>, udp: &UdpSocket, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, salt, frame } => {
                    let sealed = self.numbered(salt, frame);
                    self.send(udp, &sealed, to);
                }
                Action::Sync {
                    to,
                    address,
                    message,
                } => {
                    let slot = message.step;
                    self.send_message(
                        &to,
                        address,
                        OutboundMessage {
                            topic: SYNC,
                            slot,
                            bytes: message.encode_to_vec(),
                        },
                    );
                }
                Action::StoreIncarnation(incarnation) => {
                    self.kept.set(None);
                    // One that can't be kept is told on the page; lives are told apart by their salts all the same.
                    let _ = self.keep.as_ref().map(|keep| keep.send(incarnation));
                }
                Action::Log(what) => log_peer(format_args!("fleet {}: {what}", self.fleet)),
            }
        }
    }

    fn numbered(&self, to: u32, frame: sillward_membership::wire::Frame) -> Envelope {
        let peers = self.peers.borrow();
        let (incarnation, number) = self.number.get();
        let number = if incarnation == peers.incarnation() {
            number + 1
        } else {
            1
        };
        self.number.set((peers.incarnation(), number));
        let me = peers.local();
        Envelope {
            name: me.name.clone(),
            address: me.address,
            incarnation: peers.incarnation(),
            sequence: number,
            to_salt: to,
            frame,
            topic: 0,
            payload: Vec::new(),
        }
    }

    /// Takes a datagram; false once more come than are read.
    fn datagram(self: &Rc<Self>, udp: &UdpSocket, bytes: &[u8]) -> bool {
        let now = self.clock.now();
        let mut guard = self.inbound_filter.borrow_mut();
        if !guard.allow_read(now) {
            guard.record_rejection(RejectReason::Overload);
            return false;
        }
        let (frames, all) = self.received.get();
        self.received.set((frames + 1, all + bytes.len() as u64));
        let opened = self.envelopes.open(bytes);
        let admitted = opened.and_then(|sealed| {
            guard
                .admit(now, &sealed.name, sealed.incarnation, sealed.sequence)
                .map(|()| sealed)
        });
        match admitted {
            Err(why) => guard.record_rejection(why),
            Ok(Envelope {
                name,
                address,
                incarnation,
                topic: topic @ 1..,
                payload: word,
                ..
            }) => {
                let lives = guard.is_current_incarnation(&name, incarnation);
                drop(guard);
                let hearer = self.word_hearers.borrow().get(&topic).cloned();
                if let (Some(hearer), true) = (hearer, lives) {
                    hearer(&name, address, &word); // another topic is a newer build's
                }
            }
            Ok(Envelope {
                name,
                address,
                incarnation,
                to_salt,
                frame,
                ..
            }) => {
                drop(guard);
                self.event(
                    udp,
                    Event::Frame {
                        name,
                        address,
                        incarnation,
                        to_salt,
                        frame,
                    },
                );
            }
        }
        true
    }

    /// A message over a link; false if the link is of a incarnation that has ended.
    fn heard(
        self: &Rc<Self>,
        name: &Name,
        incarnation: Incarnation,
        own: Incarnation,
        long: &TopicMessage,
    ) -> bool {
        let (frames, all) = self.received.get();
        self.received.set((frames, all + long.bytes.len() as u64));
        // A pause is seen before anything is believed that came before it was over.
        let actions = self
            .peers
            .borrow_mut()
            .handle(self.clock.now(), Event::Tick);
        self.act_later(actions);
        if self.incarnation() != own {
            return false;
        }
        if long.topic == SYNC {
            let Ok(words) = SyncMessage::decode(&*long.bytes) else {
                return false;
            };
            let step = SyncStep {
                name: name.clone(),
                incarnation,
                message: words,
            };
            let actions = self
                .peers
                .borrow_mut()
                .handle(self.clock.now(), Event::Sync(step));
            self.act_later(actions);
            return true;
        }
        let hearer = self.hearers.borrow().get(&long.topic).cloned();
        if let Some(hearer) = hearer {
            hearer(name, incarnation, &long.bytes); // another topic is a newer build's
        }
        true
    }

    /// Carries out what can be without the socket for datagrams; the rest waits for the loop, which has it.
    fn act_later(self: &Rc<Self>, actions: Vec<Action>) {
        if actions.is_empty() {
            return;
        }
        self.later.borrow_mut().extend(actions);
        self.sooner.notify_one();
    }

    fn note_sent(&self, bytes: usize, long: bool) {
        let sent = if long { &self.sent_long } else { &self.sent };
        let (count, all) = sent.get();
        sent.set((count + 1, all + bytes as u64));
    }

    /// What was sent: datagrams, their bytes, messages over links, theirs.
    pub fn sent(&self) -> [u64; 4] {
        let ((frames, bytes), (messages, longs)) = (self.sent.get(), self.sent_long.get());
        [frames, bytes, messages, longs]
    }

    // ---- For other parts ----------------------------------------------------------------------

    /// This incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.peers.borrow().incarnation()
    }

    /// How this node stands to the fleet, seen now: a pause that nobody has noticed is noticed here.
    pub fn status(self: &Rc<Self>) -> MembershipStatus {
        let now = self.clock.now();
        let actions = self.peers.borrow_mut().handle(now, Event::Tick);
        self.act_later(actions);
        self.peers.borrow().status(now)
    }

    /// Tells the fleet a value of this node's own.
    ///
    /// # Errors
    /// It is over the bounds.
    pub fn publish(&self, key: &str, bytes: &[u8]) -> Result<(), &'static str> {
        let told = self
            .peers
            .borrow_mut()
            .publish(key, bytes, self.clock.now());
        self.sooner.notify_one();
        told
    }

    /// Looks at what is known of the others.
    pub fn with_membership<T>(&self, look: impl FnOnce(&Membership) -> T) -> T {
        look(&self.peers.borrow())
    }

    /// Hears words of a topic, 2 or higher, from now on; with each the address at which its sender says that it is reached.
    pub fn on_datagram(&self, topic: u32, hearer: impl Fn(&Name, SocketAddr, &[u8]) + 'static) {
        self.word_hearers
            .borrow_mut()
            .insert(topic, Rc::new(hearer));
    }

    /// Sends a word in a datagram: it may be lost, come late or twice over a restart, and must fit [`envelope::MAX_DATAGRAM_BYTES`].
    pub fn send_datagram(&self, to: SocketAddr, topic: u32, bytes: Vec<u8>) {
        let mut words = self.words.borrow_mut();
        if words.len() < MOST_WORDS {
            words.push_back((to, topic, bytes));
            self.sooner.notify_one();
        }
    }

    /// Hears messages of a topic, 2 or higher, from now on.
    pub fn on_message(&self, topic: u32, hearer: impl Fn(&Name, Incarnation, &[u8]) + 'static) {
        self.hearers.borrow_mut().insert(topic, Rc::new(hearer));
    }
}

/// Keeps lives in the folder, one after the other; of those that wait the last alone.
async fn keep_lives(
    folder: PathBuf,
    name: Name,
    mut lives: mpsc::UnboundedReceiver<Incarnation>,
    kept: Rc<Cell<Option<bool>>>,
) {
    while let Some(mut incarnation) = lives.recv().await {
        while let Ok(newer) = lives.try_recv() {
            incarnation = newer;
        }
        let text = incarnation_file::encode(&name, incarnation.epoch);
        let done = files::write_atomic_in_background(
            &folder.join(incarnation_file::FILE_NAME),
            text.into_bytes(),
        )
        .await;
        if let Err(e) = &done {
            log(format_args!(
                "cannot keep incarnation {incarnation} in {}: {e}",
                folder.display()
            ));
        }
        kept.set(Some(done.is_ok()));
    }
}
