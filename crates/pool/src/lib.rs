//! The pool of connections to backends: who may be sent to, where they listen, what is open and idle.
//! Knows no protocol: what carries a request over a connection is a [`ConnectionProtocol`] of its own.
#![forbid(unsafe_code)]

use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{EndpointUpdate, Outcome, ServerId, ServerState};
use sillward_forwarding::{Backend, BackendUpdate};
use sillward_logging::log_peer;
use sillward_runtime::net::TcpStream;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use sillward_runtime::{Clock, Handle, Stream};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A dial that has failed for whoever waited is let go of after so many times its time more.
const LATE: u32 = 4;
/// After an answer a connection rests for so long: a second answer may come some milliseconds late, and would be read as the
/// next request's.
pub const REUSE_DELAY: Duration = Duration::from_millis(10);
/// A dial that has taken so many times the usual is slow: a second one is tried beside it.
const SLOW: u32 = 3;
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;

/// What a protocol makes of a connection.
pub trait ConnectionProtocol: 'static {
    /// What carries requests over it. Dropped, it closes the connection.
    type Session: 'static;

    /// Makes a new connection ready.
    fn handshake(&self, stream: Stream) -> impl Future<Output = io::Result<Self::Session>>;

    /// Whether it is known to carry nothing more.
    fn is_closed(session: &Self::Session) -> bool;
}

/// The connections to backends that may be open at once, of all pools together.
pub struct ConnectionLimit {
    open: Cell<usize>,
    most: Cell<usize>,
}

impl ConnectionLimit {
    /// From now on so many. Those that are open stay.
    pub fn set_max(&self, most: usize) {
        self.most.set(most);
    }

    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(ConnectionLimit {
            open: Cell::new(0),
            most: Cell::new(most),
        })
    }

    /// Those that are open or being dialled, idle ones among them.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

/// A connection to a backend. Dropped, it closes at once, whatever is under way on it.
pub struct Connection<P: ConnectionProtocol> {
    server: ServerId,
    /// Which run of the backend, at which address, it leads to.
    epoch: u64,
    pub session: P::Session,
    socket: Handle,
    _open: Open,
}

impl<P: ConnectionProtocol> Connection<P> {
    /// Whether it may carry a request. What came behind an answer would be read as the next one.
    fn is_usable(&self) -> bool {
        !P::is_closed(&self.session) && self.socket.is_quiet()
    }
}

/// Counts a connection, or one that is being dialled.
struct Open(Rc<ConnectionLimit>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// The times that a pool keeps.
#[derive(Clone, Copy)]
pub struct PoolTimeouts {
    /// An idle connection is used for so long.
    pub idle_timeout: Duration,
    /// A connection not up after this time has failed.
    pub connect_timeout: Duration,
    /// Nothing is sent to a backend so long after it was told to drain or to be gone.
    pub drain_grace: Duration,
}

impl PoolTimeouts {
    /// The site's.
    pub fn from_settings(site: &PlatformSettings) -> Self {
        PoolTimeouts {
            // A request written just when the backend closes the connection would end as a reset.
            idle_timeout: site.server_idle_timeout * 3 / 4,
            connect_timeout: site.settings.limits.connect_timeout,
            drain_grace: site.settings.safety.drain_grace,
        }
    }
}

pub type Acquired<P> = Result<Connection<P>, Outcome>;

/// A connection that carries nothing.
struct Idle<P: ConnectionProtocol> {
    connection: Connection<P>,
    since: Duration,
    /// When it has rested after its last answer.
    rested: Duration,
}

struct Place<P: ConnectionProtocol> {
    address: Option<SocketAddr>,
    state: ServerState,
    started: Option<Duration>,
    epoch: u64,
    /// When it was told that the backend drains or is gone.
    told: Option<Duration>,
    /// Idle connections; the last used comes last.
    idle: Vec<Idle<P>>,
    /// Attempts that wait until one of them has rested: never more than there are.
    patient: usize,
    /// Attempts that wait for a connection, and dials under way: never fewer dials than waiting attempts.
    waiting: VecDeque<oneshot::Sender<Acquired<P>>>,
    dialling: usize,
}

impl<P: ConnectionProtocol> Default for Place<P> {
    fn default() -> Self {
        Place {
            address: None,
            state: ServerState::default(),
            started: None,
            epoch: 0,
            told: None,
            idle: Vec::new(),
            patient: 0,
            waiting: VecDeque::new(),
            dialling: 0,
        }
    }
}

impl<P: ConnectionProtocol> Place<P> {
    fn drop_idle(&mut self) {
        self.epoch += 1;
        self.idle.clear();
    }

    /// Takes the most recently used connection that may carry a request, and drops those before it that never will again.
    fn rested(&mut self, now: Duration, idle_timeout: Duration) -> Option<Connection<P>> {
        while let Some(place) = self.idle.iter().rposition(|idle| now >= idle.rested) {
            let idle = self.idle.remove(place);
            if idle.connection.is_usable() && now.saturating_sub(idle.since) < idle_timeout {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Where all of them rest: when the next has, unless others wait for each. They fell idle in this order.
    fn next_rested(&self) -> Option<Duration> {
        self.idle.get(self.patient).map(|idle| idle.rested)
    }
}

/// A day brings ever new backends. Nothing is sent any more to one that is gone, whoever decided to; only a dial
/// under way still looks for its place.
fn drop_gone<P: ConnectionProtocol>(places: &mut BTreeMap<ServerId, Place<P>>) {
    places.retain(|_, place| place.state != ServerState::Removed || place.dialling > 0);
}

pub struct Pool<P: ConnectionProtocol> {
    pub clock: Clock,
    protocol: P,
    terms: Cell<PoolTimeouts>,
    places: RefCell<BTreeMap<ServerId, Place<P>>>,
    sockets: Rc<ConnectionLimit>,
    /// How long a dial takes that comes up, smoothed.
    usual_dial: Cell<Duration>,
}

impl<P: ConnectionProtocol> Pool<P> {
    pub fn start(
        clock: Clock,
        protocol: P,
        terms: PoolTimeouts,
        sockets: Rc<ConnectionLimit>,
    ) -> Rc<Self> {
        let places = RefCell::default();
        let usual_dial = Cell::new(terms.connect_timeout / SLOW);
        let pool = Rc::new(Pool {
            clock,
            protocol,
            terms: Cell::new(terms),
            places,
            sockets,
            usual_dial,
        });
        let sweeper = pool.clone();
        spawn_local(async move {
            loop {
                sleep((sweeper.terms.get().idle_timeout / 8).max(Duration::from_millis(5))).await;
                sweeper.sweep();
            }
        });
        pool
    }

    /// From now on these.
    pub fn set_timeouts(&self, terms: PoolTimeouts) {
        self.terms.set(terms);
    }

    /// Closes what has been idle for too long, before the backend would.
    fn sweep(&self) {
        let now = self.clock.now();
        for place in self.places.borrow_mut().values_mut() {
            place.idle.retain(|idle| {
                !P::is_closed(&idle.connection.session)
                    && now.saturating_sub(idle.since) < self.terms.get().idle_timeout
            });
        }
        drop_gone(&mut self.places.borrow_mut());
    }

    /// Takes in news of the list: addresses, and when a backend was told to drain or to be gone.
    pub fn update_backends(&self, news: &BackendUpdate, now: Duration) {
        let BackendUpdate { kind, backends } = news;
        let mut places = self.places.borrow_mut();
        if matches!(kind, EndpointUpdate::Full | EndpointUpdate::Cached) {
            let listed: std::collections::BTreeSet<_> =
                backends.iter().map(|b| b.endpoint.id).collect();
            for (_, place) in places.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                place.state = ServerState::Removed;
                place.told.get_or_insert(now);
                place.drop_idle();
            }
        }
        for Backend {
            endpoint: entry,
            address,
        } in backends
        {
            let place = places.entry(entry.id).or_default();
            let moved = place.address != Some(*address) || place.started != entry.started_at;
            (place.address, place.started, place.state) =
                (Some(*address), entry.started_at, entry.state);
            if entry.state == ServerState::Ready {
                place.told = None;
            } else {
                place.told.get_or_insert(now);
            }
            // What leads to an earlier run, or to a backend that wants nothing new, is of no more use.
            if moved || entry.state != ServerState::Ready {
                place.drop_idle();
            }
        }
        drop_gone(&mut places);
    }

    pub fn close_idle(&self, server: ServerId) {
        if let Some(place) = self.places.borrow_mut().get_mut(&server) {
            place.idle.clear();
        }
    }

    /// Takes the most recently used idle connection, or whichever comes first: one that has rested, one that falls free
    /// or a new one.
    pub async fn acquire(self: &Rc<Self>, server: ServerId) -> Acquired<P> {
        loop {
            let rested = {
                let mut places = self.places.borrow_mut();
                let place = places.get_mut(&server).ok_or(Outcome::NotSent)?;
                let now = self.clock.now();
                if let Some(connection) = place.rested(now, self.terms.get().idle_timeout) {
                    return Ok(connection);
                }
                let Some(rested) = place.next_rested() else {
                    break;
                };
                place.patient += 1;
                rested
            };
            let _patient = Patient { pool: self, server };
            sleep_until(self.clock.instant(rested)).await;
        }
        self.take_next(server).await
    }

    /// Waits for whichever comes first: a connection that falls free or a new one.
    async fn take_next(self: &Rc<Self>, server: ServerId) -> Acquired<P> {
        let deliver = {
            let mut places = self.places.borrow_mut();
            let place = places.get_mut(&server).ok_or(Outcome::NotSent)?;
            place.waiting.retain(|waiting| !waiting.is_closed());
            if place.dialling <= place.waiting.len() {
                let address = place.address.ok_or(Outcome::NotSent)?;
                let epoch = place.epoch;
                drop(places);
                if self.sockets.open.get() >= self.sockets.most.get() && !self.close_longest_idle()
                {
                    log_peer("no connection is left for an attempt: it was not sent");
                    return Err(Outcome::NotSent);
                }
                self.sockets.open.set(self.sockets.open.get() + 1);
                places = self.places.borrow_mut();
                let place = places.get_mut(&server).ok_or(Outcome::NotSent)?;
                place.dialling += 1;
                let (pool, until) = (
                    self.clone(),
                    Instant::now() + self.terms.get().connect_timeout,
                );
                spawn_local(async move { pool.dial(server, address, epoch, until, true).await });
            }
            let (waiting, deliver) = oneshot::channel();
            places
                .get_mut(&server)
                .ok_or(Outcome::NotSent)?
                .waiting
                .push_back(waiting);
            deliver
        };
        let mut waiter = Waiter {
            pool: self,
            deliver,
        };
        (&mut waiter.deliver).await.unwrap_or(Err(Outcome::NotSent))
    }

    fn close_longest_idle(&self) -> bool {
        let mut places = self.places.borrow_mut();
        let oldest = places.values_mut().filter(|place| !place.idle.is_empty());
        let oldest = oldest.min_by_key(|place| place.idle.first().map(|idle| idle.since));
        oldest.map(|place| drop(place.idle.remove(0))).is_some()
    }

    /// Opens a connection; its place among the open ones is taken already. Where it takes far longer than usual, a
    /// second one is tried beside it. Whoever waits for it is told that it failed once its time is up; if it comes up a
    /// little later all the same, it has cost its backend a handshake and serves the next request.
    async fn dial(
        self: Rc<Self>,
        server: ServerId,
        address: SocketAddr,
        epoch: u64,
        until: Instant,
        first: bool,
    ) {
        let began = Instant::now();
        let mut opening = std::pin::pin!(self.opened(server, address, epoch));
        let slow = (began + self.usual_dial.get() * SLOW).min(until);
        let mut opened = timeout_at(slow, opening.as_mut()).await;
        if opened.is_err() {
            if first && slow < until {
                self.dial_beside(server, address, epoch, until);
            }
            opened = timeout_at(until, opening.as_mut()).await;
        }
        if let Ok(opened) = opened {
            let failed = match opened {
                Ok(connection) => {
                    // One observation's weight is an eighth: the last handful tell.
                    self.usual_dial
                        .set(self.usual_dial.get().mul_f64(0.875) + began.elapsed().mul_f64(0.125));
                    self.dialled(server);
                    self.release_unused(connection);
                    Outcome::NotSent // it led to where the backend no longer is: no fault of the backend's
                }
                Err(outcome) => {
                    self.dialled(server);
                    outcome
                }
            };
            return self.failed(server, failed);
        }
        self.dialled(server);
        self.failed(server, Outcome::ConnectFailed);
        // Not where descriptors run short: there a dial under way has the place of one that serves.
        if 2 * self.sockets.open.get() > self.sockets.most.get() {
            return;
        }
        if let Ok(Ok(late)) = timeout(self.terms.get().connect_timeout * LATE, opening).await {
            self.release_unused(late);
        }
    }

    /// Tries a second connection while somebody waits for the first, if descriptors are plenty.
    fn dial_beside(
        self: &Rc<Self>,
        server: ServerId,
        address: SocketAddr,
        epoch: u64,
        until: Instant,
    ) {
        if 2 * self.sockets.open.get() > self.sockets.most.get() {
            return;
        }
        let mut places = self.places.borrow_mut();
        let Some(place) = places.get_mut(&server) else {
            return;
        };
        place.waiting.retain(|waiting| !waiting.is_closed());
        if place.waiting.is_empty() || place.epoch != epoch {
            return;
        }
        place.dialling += 1;
        self.sockets.open.set(self.sockets.open.get() + 1);
        let pool = self.clone();
        spawn_local(async move { Box::pin(pool.dial(server, address, epoch, until, false)).await });
    }

    async fn opened(
        self: &Rc<Self>,
        server: ServerId,
        address: SocketAddr,
        epoch: u64,
    ) -> Acquired<P> {
        // Counted until the connection counts itself, or there is none.
        let place = Open(self.sockets.clone());
        let opened = match TcpStream::connect(address).await {
            Ok(stream) => {
                let (stream, handle) = Stream::new(stream);
                let opened = self.protocol.handshake(stream).await;
                opened
                    .map(|opened| (opened, handle))
                    .map_err(|_| Outcome::ConnectFailed)
            }
            // This node's own want of descriptors or ports says nothing of the backend.
            Err(e) if matches!(e.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL)) => {
                log_peer(format_args!("cannot dial: {e}"));
                self.close_longest_idle();
                Err(Outcome::NotSent)
            }
            Err(_) => Err(Outcome::ConnectFailed),
        };
        let (session, socket) = opened?;
        Ok(Connection {
            server,
            epoch,
            session,
            socket,
            _open: place,
        })
    }

    fn dialled(&self, server: ServerId) {
        if let Some(place) = self.places.borrow_mut().get_mut(&server) {
            place.dialling -= 1;
        }
    }

    /// More wait than dials can serve: the longest waiting learns that its dial has failed.
    fn failed(&self, server: ServerId, failed: Outcome) {
        if let Some(place) = self.places.borrow_mut().get_mut(&server) {
            place.waiting.retain(|waiting| !waiting.is_closed());
            while place.waiting.len() > place.dialling {
                let Some(waiting) = place.waiting.pop_front() else {
                    break;
                };
                let _ = waiting.send(Err(failed));
            }
        }
    }

    /// A connection whose answer has come: it rests, and then goes to whoever has waited longest.
    pub fn release(self: &Rc<Self>, connection: Connection<P>) {
        let (server, rested) = (connection.server, self.clock.now() + REUSE_DELAY);
        self.keep(connection, rested);
        if self
            .places
            .borrow()
            .get(&server)
            .is_some_and(|place| !place.waiting.is_empty())
        {
            let pool = self.clone();
            spawn_local(async move {
                sleep_until(pool.clock.instant(rested)).await;
                pool.hand_out(server);
            });
        }
    }

    /// A connection that has carried nothing since it was taken or opened.
    pub fn release_unused(&self, connection: Connection<P>) {
        let server = connection.server;
        self.keep(connection, Duration::ZERO);
        self.hand_out(server);
    }

    fn keep(&self, connection: Connection<P>, rested: Duration) {
        let mut places = self.places.borrow_mut();
        let Some(place) = places.get_mut(&connection.server) else {
            return;
        };
        if connection.is_usable() && connection.epoch == place.epoch {
            place.idle.push(Idle {
                connection,
                since: self.clock.now(),
                rested,
            });
        }
    }

    /// Gives what has rested to those who have waited longest for a dial: that one serves the next request.
    fn hand_out(&self, server: ServerId) {
        let mut places = self.places.borrow_mut();
        let Some(place) = places.get_mut(&server) else {
            return;
        };
        let now = self.clock.now();
        place.waiting.retain(|waiting| !waiting.is_closed());
        while !place.waiting.is_empty() {
            let Some(connection) = place.rested(now, self.terms.get().idle_timeout) else {
                return;
            };
            let Some(waiting) = place.waiting.pop_front() else {
                return;
            };
            if let Err(Ok(back)) = waiting.send(Ok(connection)) {
                place.idle.push(Idle {
                    connection: back,
                    since: now,
                    rested: Duration::ZERO,
                });
            }
        }
    }

    /// Where a backend listens, if what is decided on may still be sent there: not past the grace.
    pub fn usable_address(&self, server: ServerId) -> Option<SocketAddr> {
        let places = self.places.borrow();
        let place = places.get(&server)?;
        let drained = place
            .told
            .is_some_and(|told| self.clock.now() >= told + self.terms.get().drain_grace);
        place.address.filter(|_| !drained)
    }
}

/// An attempt that waits until a connection has rested.
struct Patient<'a, P: ConnectionProtocol> {
    pool: &'a Pool<P>,
    server: ServerId,
}

impl<P: ConnectionProtocol> Drop for Patient<'_, P> {
    fn drop(&mut self) {
        if let Some(place) = self.pool.places.borrow_mut().get_mut(&self.server) {
            place.patient = place.patient.saturating_sub(1);
        }
    }
}

/// An attempt that waits for a connection. One that was delivered but not fetched goes back to the pool: it
/// has cost its backend a handshake.
struct Waiter<'a, P: ConnectionProtocol> {
    pool: &'a Pool<P>,
    deliver: oneshot::Receiver<Acquired<P>>,
}

impl<P: ConnectionProtocol> Drop for Waiter<'_, P> {
    fn drop(&mut self) {
        self.deliver.close();
        if let Ok(Ok(connection)) = self.deliver.try_recv() {
            self.pool.release_unused(connection);
        }
    }
}

#[cfg(test)]
mod tests;
