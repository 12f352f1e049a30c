//! Relays between processes: one for each that is sent to. Who sends is told by the loopback address that it sends from,
//! so every directed way has its own faults and its own counts.

use crate::history::History;
use serde_json::json;
use sillward_membership::Incarnation;
use sillward_peer_transport::envelope::{Envelope, EnvelopeCodec};
use sillward_test_servers::random::Random;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Datagrams that wait for their time: more are dropped, as by a router.
const WAITING: usize = 20_000;
/// Bytes that are read from a connection at a time.
const PIECE: usize = 4 * 1024;

/// How one way fares. Chances are in a thousand, times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Way {
    /// Datagrams lost.
    pub lost: u32,
    /// Datagrams there twice.
    pub doubled: u32,
    /// Datagrams of which a bit is another.
    pub spoilt: u32,
    /// How much later everything gets there, at least and at most; between the two datagrams overtake each other.
    pub late_ms: (u32, u32),
}

/// What was seen of a life on the ways.
#[derive(Clone, Debug)]
pub struct SeenLife {
    /// The run of its process that the first frame came from.
    pub run: u64,
    /// The first and the last frame.
    pub first_us: u64,
    /// See there.
    pub last_us: u64,
}

/// What went one way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// Datagrams that were sent, and their bytes.
    pub frames: u64,
    /// See there.
    pub bytes: u64,
    /// Bytes of connections.
    pub long: u64,
}

/// A datagram that is held back: until when, its number, whom it is for, and its bytes.
type Held = (Instant, u64, usize, Vec<u8>);

struct State {
    /// By who sends and who is sent to.
    ways: Vec<Vec<Way>>,
    cuts: Vec<Vec<u32>>,
    counts: Vec<Vec<Count>>,
    /// Where each process listens now, and which run of it that is.
    targets: Vec<Option<SocketAddr>>,
    runs: Vec<u64>,
    random: Random,
    lives: BTreeMap<(String, Incarnation), SeenLife>,
    unopened: u64,
    waiting: BinaryHeap<Reverse<Held>>,
    made: u64,
}

/// All relays.
pub struct Relays {
    state: Mutex<State>,
    due: Condvar,
    over: AtomicBool,
    /// Where each process is reached by the others.
    pub addresses: Vec<SocketAddr>,
    sockets: Vec<UdpSocket>,
    own: Vec<IpAddr>,
    envelopes: EnvelopeCodec,
    history: History,
}

impl Relays {
    /// Relays for so many processes, the `i`th of which sends from `own[i]`.
    ///
    /// # Errors
    /// No port is to be had.
    pub fn start(
        own: Vec<IpAddr>,
        seed: u64,
        envelopes: EnvelopeCodec,
        history: History,
    ) -> std::io::Result<Arc<Self>> {
        let count = own.len();
        let (mut sockets, mut listeners) = (Vec::new(), Vec::new());
        while sockets.len() < count {
            // One port for both; another try where the second is taken.
            let listener = TcpListener::bind("127.0.0.1:0")?;
            if let Ok(socket) = UdpSocket::bind(listener.local_addr()?) {
                sockets.push(socket);
                listeners.push(listener);
            }
        }
        let addresses = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()?;
        let state = State {
            ways: vec![vec![Way::default(); count]; count],
            cuts: vec![vec![0; count]; count],
            counts: vec![vec![Count::default(); count]; count],
            targets: vec![None; count],
            runs: vec![0; count],
            random: Random::new(seed ^ 0x7e1a),
            lives: BTreeMap::new(),
            unopened: 0,
            waiting: BinaryHeap::new(),
            made: 0,
        };
        let relays = Arc::new(Relays {
            state: Mutex::new(state),
            due: Condvar::new(),
            over: AtomicBool::new(false),
            addresses,
            sockets,
            own,
            envelopes,
            history,
        });
        for (to, listener) in listeners.into_iter().enumerate() {
            let socket = relays.sockets[to].try_clone()?;
            socket.set_read_timeout(Some(Duration::from_millis(200)))?;
            let own = relays.clone();
            spawn(move || own.datagrams(to, &socket));
            let own = relays.clone();
            spawn(move || own.connections(to, &listener));
        }
        let own = relays.clone();
        spawn(move || own.deliver());
        Ok(relays)
    }

    /// Ends them.
    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
        self.due.notify_all();
        for address in &self.addresses {
            drop(TcpStream::connect(address)); // wakes who waits for a connection
        }
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// A process listens there from now on; `None` if it has ended.
    pub fn target(&self, node: usize, at: Option<SocketAddr>) {
        self.state.lock().expect("the relays").targets[node] = at;
    }

    /// Whatever a node sends from now on is of that run of its process.
    pub fn run(&self, node: usize, run: u64) {
        self.state.lock().expect("the relays").runs[node] = run;
    }

    /// How a way fares from now on.
    pub fn way(&self, from: usize, to: usize, way: Way) {
        self.state.lock().expect("the relays").ways[from][to] = way;
    }

    /// Cuts a way, or mends one cut of it: it passes once all are mended.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        let mut state = self.state.lock().expect("the relays");
        let cuts = &mut state.cuts[from][to];
        *cuts = if cut {
            *cuts + 1
        } else {
            cuts.saturating_sub(1)
        };
    }

    /// What a process has sent to all others.
    pub fn sent(&self, from: usize) -> Count {
        let state = self.state.lock().expect("the relays");
        state.counts[from]
            .iter()
            .fold(Count::default(), |all, one| Count {
                frames: all.frames + one.frames,
                bytes: all.bytes + one.bytes,
                long: all.long + one.long,
            })
    }

    /// Every life that was seen on a way.
    pub fn lives(&self) -> BTreeMap<(String, Incarnation), SeenLife> {
        self.state.lock().expect("the relays").lives.clone()
    }

    fn from(&self, address: SocketAddr) -> Option<usize> {
        self.own.iter().position(|ip| *ip == address.ip())
    }

    fn datagrams(&self, to: usize, socket: &UdpSocket) {
        let mut buffer = vec![0; 2048];
        while !self.is_over() {
            let Ok((count, source)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(from) = self.from(source) else {
                continue;
            };
            let opened = self.envelopes.open(&buffer[..count]).ok();
            self.pass(from, to, &buffer[..count], opened.as_ref());
        }
    }

    fn pass(&self, from: usize, to: usize, bytes: &[u8], opened: Option<&Envelope>) {
        let now_us = self.history.now_us();
        let mut state = self.state.lock().expect("the relays");
        let run = state.runs[from];
        match opened {
            None => state.unopened += 1,
            Some(sealed) => {
                let key = (sealed.name.as_str().to_owned(), sealed.incarnation);
                let new = !state.lives.contains_key(&key);
                let seen = SeenLife {
                    run,
                    first_us: now_us,
                    last_us: now_us,
                };
                state.lives.entry(key).or_insert(seen).last_us = now_us;
                if new {
                    let life = sealed.incarnation.to_string();
                    self.history
                        .note(Some(from), "life", json!({ "life": life, "run": run }));
                }
            }
        }
        let count = &mut state.counts[from][to];
        (count.frames, count.bytes) = (count.frames + 1, count.bytes + bytes.len() as u64);
        let way = state.ways[from][to];
        if state.cuts[from][to] > 0 || state.random.below(1000) < way.lost as usize {
            return;
        }
        let copies = if state.random.below(1000) < way.doubled as usize {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let mut bytes = bytes.to_vec();
            if state.random.below(1000) < way.spoilt as usize {
                let (place, bit) = (state.random.below(bytes.len()), state.random.below(8));
                bytes[place] ^= 1 << bit;
            }
            if way.late_ms.1 == 0 {
                self.hand(&state, to, &bytes);
                continue;
            }
            let late = way.late_ms.0 as usize
                + state
                    .random
                    .below((way.late_ms.1 - way.late_ms.0 + 1) as usize);
            if state.waiting.len() < WAITING {
                state.made += 1;
                let entry = (
                    Instant::now() + Duration::from_millis(late as u64),
                    state.made,
                    to,
                    bytes,
                );
                state.waiting.push(Reverse(entry));
                self.due.notify_one();
            }
        }
    }

    fn hand(&self, state: &State, to: usize, bytes: &[u8]) {
        if let Some(target) = state.targets[to] {
            let _ = self.sockets[to].send_to(bytes, target); // a process that has just ended
        }
    }

    /// Sends what was held back, each at its time.
    fn deliver(&self) {
        let mut state = self.state.lock().expect("the relays");
        while !self.is_over() {
            let now = Instant::now();
            match state.waiting.peek().map(|Reverse((at, ..))| *at) {
                Some(at) if at <= now => {
                    if let Some(Reverse((_, _, to, bytes))) = state.waiting.pop() {
                        self.hand(&state, to, &bytes);
                    }
                }
                next => {
                    let wait = next.map_or(Duration::from_millis(100), |at| at - now);
                    state = self.due.wait_timeout(state, wait).expect("the relays").0;
                }
            }
        }
    }

    fn connections(self: Arc<Self>, to: usize, listener: &TcpListener) {
        for near in listener.incoming() {
            if self.is_over() {
                return;
            }
            let Ok(near) = near else { continue };
            let Some(from) = near.peer_addr().ok().and_then(|source| self.from(source)) else {
                continue;
            };
            let own = self.clone();
            spawn(move || own.carry(from, to, near));
        }
    }

    fn carry(self: Arc<Self>, from: usize, to: usize, near: TcpStream) {
        if !self.wait_out(from, to) {
            return;
        }
        let target = self.state.lock().expect("the relays").targets[to];
        let Some(Ok(far)) = target.map(TcpStream::connect) else {
            return;
        };
        let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let own = self.clone();
        spawn(move || own.pump(to, from, far_too, near_too));
        self.pump(from, to, near, far);
    }

    /// Waits while a way is cut; false if that is over the longest that a connection bears.
    fn wait_out(&self, from: usize, to: usize) -> bool {
        for _ in 0..3_000 {
            let state = self.state.lock().expect("the relays");
            let (cut, way) = (state.cuts[from][to] > 0, state.ways[from][to]);
            drop(state);
            if self.is_over() {
                return false;
            }
            if !cut {
                sleep(Duration::from_millis(u64::from(way.late_ms.0)));
                return true;
            }
            sleep(Duration::from_millis(10));
        }
        false
    }

    fn pump(&self, from: usize, to: usize, mut near: TcpStream, mut far: TcpStream) {
        let mut buffer = [0; PIECE];
        while let Ok(count @ 1..) = near.read(&mut buffer) {
            self.state.lock().expect("the relays").counts[from][to].long += count as u64;
            if !self.wait_out(from, to) || far.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = near.shutdown(Shutdown::Read);
        let _ = far.shutdown(Shutdown::Write);
    }
}
