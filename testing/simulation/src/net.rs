//! The simulated network: TCP as the kernel shows it, between machines that may be slow, silent or gone.
//!
//! Bytes of a connection come in order; connections overtake each other. Reads and writes may be partial. What is
//! dropped with bytes unread resets its peer, as Linux does; so does a process that dies. Everything that moves is an
//! event with a time, taken in the order of times, then of making.

mod datagrams;

pub use datagrams::Way;

use crate::dice::Dice;
use crate::trace::Trace;
use sillward_runtime::simulation::{self, ConnectFuture, SimulatedMachine};
use sillward_runtime::time::{Instant, sleep_until};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// What a connection takes before its peer reads: send and receive buffer together.
const ROOM: usize = 96 * 1024;
/// A lost segment is sent again after this.
const RESEND: Duration = Duration::from_millis(200);
/// A dial that met a full accept queue is tried again after this, as Linux does.
const DIAL_AGAIN: Duration = Duration::from_secs(1);
const EMFILE: i32 = 24;

/// A machine, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Host(pub usize);

/// A machine.
pub struct Machine {
    /// What the trace calls it.
    pub name: String,
    /// Which group of machines it stands in: between groups the way is longer.
    pub zone: u8,
    /// Nothing comes from it or to it, until then.
    pub silent_until: Option<Duration>,
    /// It stands beside who calls it, on the same machine: no cut is between them.
    pub beside: bool,
    /// Dials to it are not answered, until then.
    pub deaf_until: Option<Duration>,
    /// Dials to it are refused, until then.
    pub refuses_until: Option<Duration>,
    /// Dials to it find the accept queue full, until then.
    pub full_until: Option<Duration>,
    /// Its process is dying: what it drops is reset.
    pub dying: bool,
    /// Descriptors that it may have.
    pub descriptors: usize,
    /// Descriptors that it has.
    pub open: usize,
    /// Its tasks that live.
    pub tasks: Rc<Cell<usize>>,
    /// New connections to it are cut after some bytes: so often in a thousand, until then.
    pub cuts: Option<(u64, Duration)>,
    /// Its files. They outlast its processes.
    pub files: BTreeMap<PathBuf, Vec<u8>>,
    /// Nothing can be kept on its disk.
    pub disk_fails: bool,
}

impl Machine {
    /// Takes a descriptor.
    fn take_descriptor(&mut self) -> io::Result<()> {
        if self.open >= self.descriptors {
            return Err(io::Error::from_raw_os_error(EMFILE));
        }
        self.open += 1;
        Ok(())
    }
}

#[derive(Default)]
struct End {
    unread: VecDeque<u8>,
    /// Bytes on their way here.
    coming: usize,
    /// The peer has said that nothing more comes.
    ended: bool,
    reset: bool,
    /// Dropped by its owner, or never taken.
    closed: bool,
    /// Its owner has said that it sends nothing more.
    shut: bool,
    reader: Option<Waker>,
    /// The peer's, which waits for room here.
    writer: Option<Waker>,
    /// When what was sent last gets here: nothing overtakes.
    last: Duration,
    /// When the first byte was sent here since `Socket::mark`.
    begun: Option<Duration>,
    /// What it may have unread and on the way.
    room: usize,
    /// Planted: what came behind an answer, seen only once its owner has written again.
    unseen: VecDeque<u8>,
}

struct Conn {
    hosts: [Host; 2],
    /// The dialler's, then the listener's.
    ends: [End; 2],
    delay: Duration,
    /// A fault has hit it.
    spoilt: bool,
    /// Reset after so many bytes more, either way.
    cut_after: Option<usize>,
    /// Until the dial is up.
    dialling: Option<oneshot::Sender<io::Result<()>>>,
    to: SocketAddr,
}

struct Listening {
    host: Host,
    number: u64,
    queue: VecDeque<u64>,
    backlog: usize,
    waker: Option<Waker>,
}

enum Event {
    Bytes {
        conn: u64,
        end: usize,
        bytes: Vec<u8>,
        behind: bool,
    },
    End {
        conn: u64,
        end: usize,
    },
    Reset {
        conn: u64,
        end: usize,
    },
    Dial {
        conn: u64,
    },
    Dialled {
        conn: u64,
        refused: bool,
    },
    Datagram {
        to: SocketAddr,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
}

struct Inner {
    machines: Vec<Machine>,
    conns: BTreeMap<u64, Conn>,
    listening: BTreeMap<SocketAddr, Listening>,
    events: BTreeMap<(Duration, u64), Event>,
    made: u64,
    dice: Dice,
    slow: f64,
    post: datagrams::Post,
    /// What the driver sleeps for.
    due: Option<Duration>,
}

/// The network, shared by all.
#[derive(Clone)]
pub struct Net {
    inner: Rc<RefCell<Inner>>,
    /// The run's steps.
    pub trace: Rc<Trace>,
    started: Instant,
    earlier: Rc<Notify>,
    /// Planted: nobody looks at what came behind an answer.
    pub deaf_to_rest: bool,
    /// Planted: an answer goes out a second time, once in so many.
    pub says_twice: Option<u64>,
}

impl Net {
    /// A network of no machines.
    pub fn new(seed: u64, trace: Rc<Trace>) -> Self {
        let inner = Inner {
            machines: Vec::new(),
            conns: BTreeMap::new(),
            listening: BTreeMap::new(),
            events: BTreeMap::new(),
            made: 0,
            dice: Dice::of(seed, "net", 0),
            slow: 1.0,
            post: datagrams::Post::new(seed),
            due: None,
        };
        Net {
            inner: Rc::new(RefCell::new(inner)),
            trace,
            started: Instant::now(),
            earlier: Rc::default(),
            deaf_to_rest: false,
            says_twice: None,
        }
    }

    /// The time since the run began.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The moment at that time of the run.
    pub fn at(&self, time: Duration) -> Instant {
        self.started + time
    }

    /// Adds a machine.
    pub fn machine(&self, name: &str, zone: u8, descriptors: usize) -> Host {
        let mut inner = self.inner.borrow_mut();
        inner.machines.push(Machine {
            name: name.to_owned(),
            zone,
            silent_until: None,
            beside: false,
            deaf_until: None,
            refuses_until: None,
            full_until: None,
            dying: false,
            descriptors,
            open: 0,
            tasks: Rc::default(),
            cuts: None,
            files: BTreeMap::new(),
            disk_fails: false,
        });
        Host(inner.machines.len() - 1)
    }

    /// Looks at a machine, or changes it.
    pub fn with<T>(&self, host: Host, act: impl FnOnce(&mut Machine) -> T) -> T {
        act(&mut self.inner.borrow_mut().machines[host.0])
    }

    /// Makes all ways so many times as long.
    pub fn slow(&self, factor: f64) {
        self.inner.borrow_mut().slow = factor;
    }

    /// A step of the trace, by a machine.
    pub fn step(&self, host: Host, what: std::fmt::Arguments<'_>) {
        let inner = self.inner.borrow();
        self.trace
            .step(self.now(), &inner.machines[host.0].name, what);
    }

    /// The world as a machine sees it, at this time of day at the run's start.
    pub fn world(&self, host: Host, unix: Duration) -> Rc<dyn SimulatedMachine> {
        let tasks = self.with(host, |machine| machine.tasks.clone());
        Rc::new(Seen {
            net: self.clone(),
            host,
            unix,
            tasks,
        })
    }

    /// New connections to a machine are cut after some bytes, so often in a thousand, until then; of those that are
    /// up, as many.
    pub fn cuts(&self, host: Host, permille: u64, until: Duration) {
        let mut inner = self.inner.borrow_mut();
        inner.machines[host.0].cuts = Some((permille, until));
        let Inner { conns, dice, .. } = &mut *inner;
        for conn in conns
            .values_mut()
            .filter(|conn| conn.hosts[1] == host && conn.hosts[0] != host)
        {
            if dice.permille(permille) {
                conn.cut_after = Some(dice.within(1..900) as usize);
            }
        }
    }

    /// Nothing comes from a machine or gets there until then. What was under way is not the peers' fault.
    pub fn silence(&self, host: Host, until: Duration) {
        let mut inner = self.inner.borrow_mut();
        inner.machines[host.0].silent_until = Some(until);
        inner
            .conns
            .values_mut()
            .filter(|conn| conn.hosts.contains(&host))
            .for_each(|conn| conn.spoilt = true);
    }

    /// Resets connections of a machine, or those between two: so often in a thousand.
    pub fn reset_some(&self, host: Host, with: Option<Host>, permille: u64) -> usize {
        let mut inner = self.inner.borrow_mut();
        let Inner { conns, dice, .. } = &mut *inner;
        let hit = |conn: &Conn| {
            conn.hosts.contains(&host)
                && with.is_none_or(|with| conn.hosts.contains(&with))
                && conn.dialling.is_none()
        };
        let hit: Vec<u64> = conns
            .iter()
            .filter(|(_, c)| hit(c) && dice.permille(permille))
            .map(|(id, _)| *id)
            .collect();
        for id in &hit {
            inner.reset_both(*id);
        }
        hit.len()
    }

    /// Connections that a machine has dialled and not dropped, among them dials under way, to these machines.
    pub fn dialled(&self, from: Host, to: &BTreeSet<Host>) -> usize {
        let inner = self.inner.borrow();
        let of = |conn: &&Conn| {
            conn.hosts[0] == from && to.contains(&conn.hosts[1]) && !conn.ends[0].closed
        };
        inner.conns.values().filter(of).count()
    }

    /// Takes events as they come due, for good.
    pub async fn drive(self) {
        loop {
            let now = self.now();
            loop {
                let due = self
                    .inner
                    .borrow()
                    .events
                    .first_key_value()
                    .is_some_and(|((at, _), _)| *at <= now);
                if !due {
                    break;
                }
                let mut inner = self.inner.borrow_mut();
                let Some((_, event)) = inner.events.pop_first() else {
                    break;
                };
                let told = inner.happen(event, now, &self.trace);
                drop(inner);
                if let Some((dialled, how)) = told {
                    let _ = dialled.send(how); // who dialled may have given up
                }
            }
            let next = {
                let mut inner = self.inner.borrow_mut();
                inner.due = inner.events.first_key_value().map(|((at, _), _)| *at);
                inner.due
            };
            let wait = async {
                match next {
                    Some(at) => sleep_until(self.at(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = wait => {}
                () = self.earlier.notified() => {}
            }
        }
    }

    fn push(&self, inner: &mut Inner, at: Duration, event: Event) {
        inner.push(at, event);
        if inner.due.is_none_or(|due| at < due) {
            inner.due = Some(at);
            self.earlier.notify_one();
        }
    }

    /// Opens a connection from a machine.
    ///
    /// # Errors
    /// Refused, or no descriptor is left.
    pub async fn dial(&self, from: Host, to: SocketAddr) -> io::Result<Socket> {
        let (dialling, up) = oneshot::channel();
        let socket = {
            let mut inner = self.inner.borrow_mut();
            inner.machines[from.0].take_descriptor()?;
            inner.made += 1;
            let number = inner.made;
            let end = || End {
                room: ROOM,
                ..End::default()
            };
            let conn = Conn {
                hosts: [from, from], // the listener's is known when the dial gets there
                ends: [
                    end(),
                    End {
                        closed: true,
                        ..end()
                    },
                ],
                delay: inner.delay(from, to),
                spoilt: false,
                cut_after: None,
                dialling: Some(dialling),
                to,
            };
            let at = self.now() + conn.delay;
            inner.conns.insert(number, conn);
            self.push(&mut inner, at, Event::Dial { conn: number });
            Socket {
                net: self.clone(),
                conn: number,
                end: 0,
                host: from,
            }
        };
        match up.await {
            Ok(Ok(())) => Ok(socket),
            Ok(Err(e)) => Err(e),
            Err(_) => std::future::pending().await, // nobody answers: as long as the dialler likes
        }
    }

    /// Listens.
    ///
    /// # Errors
    /// Somebody does already, or no descriptor is left.
    pub fn listen(&self, host: Host, at: SocketAddr, backlog: usize) -> io::Result<Listener> {
        let mut inner = self.inner.borrow_mut();
        if inner.listening.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        inner.machines[host.0].take_descriptor()?;
        inner.made += 1;
        let number = inner.made;
        inner.listening.insert(
            at,
            Listening {
                host,
                number,
                queue: VecDeque::new(),
                backlog,
                waker: None,
            },
        );
        Ok(Listener {
            net: self.clone(),
            host,
            at,
            number,
        })
    }
}

fn until(until: Option<Duration>, now: Duration) -> Option<Duration> {
    until.filter(|until| *until > now)
}

impl Inner {
    fn push(&mut self, at: Duration, event: Event) {
        self.made += 1;
        self.events.insert((at, self.made), event);
    }

    /// The way between two machines, one way, of one connection.
    fn delay(&mut self, from: Host, to: SocketAddr) -> Duration {
        let other = self
            .listening
            .get(&to)
            .map(|l| self.machines[l.host.0].zone);
        let far = other.is_some_and(|zone| zone != self.machines[from.0].zone);
        let us = if far {
            1400 + self.dice.within(0..1200)
        } else {
            150 + self.dice.within(0..400)
        };
        Duration::from_micros(us).mul_f64(self.slow)
    }

    /// Until when nothing passes between the two, if so.
    fn cut(&self, conn: &Conn, now: Duration) -> Option<Duration> {
        if conn.hosts.iter().any(|host| self.machines[host.0].beside) {
            return None;
        }
        let of = |host: Host| until(self.machines[host.0].silent_until, now);
        of(conn.hosts[0]).max(of(conn.hosts[1]))
    }

    /// Until when what moves on a connection does not pass, as its way alone is cut.
    fn cut_one_way(&self, event: &Event, conn: &Conn, now: Duration) -> Option<Duration> {
        let [dialler, listener] = conn.hosts;
        let (from, to) = match event {
            Event::Bytes { end, .. } | Event::End { end, .. } | Event::Reset { end, .. } => {
                (conn.hosts[1 - end], conn.hosts[*end])
            }
            Event::Dialled { .. } => (listener, dialler),
            Event::Dial { .. } => (
                dialler,
                self.listening.get(&conn.to).map_or(dialler, |l| l.host),
            ),
            Event::Datagram { .. } => return None,
        };
        self.post.cut(from, to, now)
    }

    fn name(&self, host: Host) -> &str {
        &self.machines[host.0].name
    }

    fn reset_both(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        conn.spoilt = true;
        for end in &mut conn.ends {
            end.break_off();
        }
        self.forget(id);
    }

    /// Forgets a connection that nobody holds any more.
    fn forget(&mut self, id: u64) {
        let over = |conn: &Conn| conn.ends.iter().all(|end| end.closed) && conn.dialling.is_none();
        if self.conns.get(&id).is_some_and(over) {
            self.conns.remove(&id);
        }
    }

    fn happen(
        &mut self,
        event: Event,
        now: Duration,
        trace: &Trace,
    ) -> Option<(oneshot::Sender<io::Result<()>>, io::Result<()>)> {
        if let Event::Datagram { to, from, bytes } = event {
            self.arrive(to, from, bytes, now, trace);
            return None;
        }
        let id = match &event {
            Event::Bytes { conn, .. }
            | Event::End { conn, .. }
            | Event::Reset { conn, .. }
            | Event::Dial { conn }
            | Event::Dialled { conn, .. } => *conn,
            Event::Datagram { .. } => return None,
        };
        let conn = self.conns.get(&id)?;
        // What a cut swallows is sent again once it is over; what is lost for good is never sent again.
        if let Some(over) = self.cut(conn, now).max(self.cut_one_way(&event, conn, now)) {
            if over < Duration::MAX {
                self.push(over + RESEND, event);
            }
            return None;
        }
        match event {
            Event::Bytes {
                end, bytes, behind, ..
            } => {
                let conn = self.conns.get_mut(&id)?;
                let host = conn.hosts[end];
                let to = &mut conn.ends[end];
                to.coming -= bytes.len();
                if to.reset {
                    return None;
                }
                if to.closed {
                    let at = now + conn.delay;
                    self.push(
                        at,
                        Event::Reset {
                            conn: id,
                            end: 1 - end,
                        },
                    );
                    return None;
                }
                if behind {
                    to.unseen.extend(&bytes);
                } else {
                    to.unread.extend(&bytes);
                    wake(&mut to.reader);
                }
                trace.step(
                    now,
                    self.name(host),
                    format_args!("c{id} gets {} bytes", bytes.len()),
                );
            }
            Event::End { end, .. } => {
                let conn = self.conns.get_mut(&id)?;
                let host = conn.hosts[end];
                conn.ends[end].ended = true;
                wake(&mut conn.ends[end].reader);
                trace.step(now, self.name(host), format_args!("c{id} ends"));
            }
            Event::Reset { end, .. } => {
                let conn = self.conns.get_mut(&id)?;
                let host = conn.hosts[end];
                conn.ends[end].break_off();
                trace.step(now, self.name(host), format_args!("c{id} is reset"));
                self.forget(id);
            }
            Event::Datagram { .. } => {}
            Event::Dial { .. } => self.knock(id, now, trace),
            Event::Dialled { refused, .. } => {
                let conn = self.conns.get_mut(&id)?;
                let host = conn.hosts[0];
                let dialling = conn.dialling.take()?;
                trace.step(
                    now,
                    self.name(host),
                    format_args!("c{id} {}", if refused { "is refused" } else { "is up" }),
                );
                self.forget(id);
                let how = if refused {
                    Err(ErrorKind::ConnectionRefused.into())
                } else {
                    Ok(())
                };
                return Some((dialling, how));
            }
        }
        None
    }

    /// A dial gets to where it leads.
    fn knock(&mut self, id: u64, now: Duration, trace: &Trace) {
        let Some(conn) = self.conns.get(&id) else {
            return;
        };
        let (to, back) = (conn.to, now + conn.delay);
        let Some(listening) = self.listening.get(&to) else {
            return self.push(
                back,
                Event::Dialled {
                    conn: id,
                    refused: true,
                },
            );
        };
        let host = listening.host;
        let machine = &self.machines[host.0];
        if until(machine.silent_until, now)
            .or(until(machine.deaf_until, now))
            .is_some()
        {
            return trace.step(now, &machine.name, format_args!("c{id} is not heard"));
        }
        if until(machine.refuses_until, now).is_some() {
            return self.push(
                back,
                Event::Dialled {
                    conn: id,
                    refused: true,
                },
            );
        }
        if listening.queue.len() >= listening.backlog || until(machine.full_until, now).is_some() {
            trace.step(
                now,
                &machine.name,
                format_args!("c{id} finds the queue full"),
            );
            return self.push(now + DIAL_AGAIN, Event::Dial { conn: id });
        }
        let cut = machine
            .cuts
            .filter(|(_, until)| *until > now)
            .map(|(permille, _)| permille);
        let cut = cut
            .filter(|permille| self.dice.permille(*permille))
            .map(|_| self.dice.within(1..900));
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        conn.hosts[1] = host;
        conn.ends[1].closed = false;
        conn.cut_after = cut.map(|bytes| bytes as usize);
        if let Some(listening) = self.listening.get_mut(&to) {
            listening.queue.push_back(id);
            wake(&mut listening.waker);
        }
        self.push(
            back,
            Event::Dialled {
                conn: id,
                refused: false,
            },
        );
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

impl End {
    fn break_off(&mut self) {
        self.reset = true; // what has come can still be read, as from the kernel
        wake(&mut self.reader);
        wake(&mut self.writer);
    }
}

/// An end of a connection. Dropped, it closes.
pub struct Socket {
    net: Net,
    conn: u64,
    end: usize,
    host: Host,
}

impl Socket {
    /// The number of its connection.
    pub fn number(&self) -> u64 {
        self.conn
    }

    /// Whether a fault has hit it.
    pub fn is_spoilt(&self) -> bool {
        self.net
            .inner
            .borrow()
            .conns
            .get(&self.conn)
            .is_none_or(|conn| conn.spoilt)
    }

    /// Whether a fault has hit it, or hits one of its machines just now.
    pub fn is_excused(&self) -> bool {
        let inner = self.net.inner.borrow();
        inner
            .conns
            .get(&self.conn)
            .is_none_or(|c| c.spoilt || inner.cut(c, self.net.now()).is_some())
    }

    /// When the first byte was sent here since the last mark, and a new mark.
    pub fn mark(&self) -> Option<Duration> {
        self.with(|conn, end| conn.ends[end].begun.take()).flatten()
    }

    /// The machine at the other end.
    pub fn peer(&self) -> Host {
        self.with(|conn, end| conn.hosts[1 - end])
            .unwrap_or(self.host)
    }

    /// Resets it, as a process that dies or that closes with linger 0.
    pub fn reset(self) {
        self.with(|conn, end| conn.ends[end].reset = true);
        let mut inner = self.net.inner.borrow_mut();
        if let Some(conn) = inner.conns.get(&self.conn) {
            let at = self.net.now() + conn.delay;
            self.net.push(
                &mut inner,
                at,
                Event::Reset {
                    conn: self.conn,
                    end: 1 - self.end,
                },
            );
        }
    }

    fn with<T>(&self, act: impl FnOnce(&mut Conn, usize) -> T) -> Option<T> {
        self.net
            .inner
            .borrow_mut()
            .conns
            .get_mut(&self.conn)
            .map(|conn| act(conn, self.end))
    }

    /// As [`simulation::Socket::poll_read`].
    pub fn take(&self, cx: &mut Context<'_>, to: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut inner = self.net.inner.borrow_mut();
        let Inner { conns, dice, .. } = &mut *inner;
        let Some(conn) = conns.get_mut(&self.conn) else {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        };
        let own = &mut conn.ends[self.end];
        if own.unread.is_empty() {
            if own.reset {
                return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
            }
            if own.ended {
                return Poll::Ready(Ok(0));
            }
            own.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let mut count = to.len().min(own.unread.len());
        if count > 1 && dice.permille(60) {
            count = dice.within(1..count as u64) as usize;
        }
        let (first, second) = own.unread.as_slices();
        let part = count.min(first.len());
        to[..part].copy_from_slice(&first[..part]);
        to[part..count].copy_from_slice(&second[..count - part]);
        own.unread.drain(..count);
        wake(&mut own.writer);
        Poll::Ready(Ok(count))
    }

    /// As [`simulation::Socket::poll_write`].
    pub fn give(&self, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        self.send(cx, from, false)
    }

    fn send(&self, cx: &mut Context<'_>, from: &[u8], behind: bool) -> Poll<io::Result<usize>> {
        let now = self.net.now();
        let mut inner = self.net.inner.borrow_mut();
        let Inner { conns, dice, .. } = &mut *inner;
        let Some(conn) = conns.get_mut(&self.conn) else {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        };
        if conn.ends[self.end].reset {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        if conn.ends[self.end].shut {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        if from.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let own = &mut conn.ends[self.end];
        if !own.unseen.is_empty() {
            let unseen = std::mem::take(&mut own.unseen);
            own.unread.extend(unseen);
            wake(&mut own.reader);
        }
        let (delay, to) = (conn.delay, &mut conn.ends[1 - self.end]);
        let free = to.room.saturating_sub(to.unread.len() + to.coming);
        if free == 0 {
            to.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let mut count = from.len().min(free);
        if count > 1 && dice.permille(60) {
            count = dice.within(1..count as u64) as usize;
        }
        to.begun.get_or_insert(now);
        let jitter = Duration::from_micros(dice.within(0..120));
        // What comes right behind an answer gets there with it: no node could tell a later one apart.
        let at = if behind {
            to.last.max(now)
        } else {
            to.last.max(now + delay + jitter)
        };
        to.last = at;
        let mut sent = count;
        if let Some(left) = &mut conn.cut_after {
            sent = count.min(*left);
            *left -= sent;
        }
        to.coming += sent;
        let bytes = from[..sent].to_vec();
        let cut = conn.cut_after == Some(0);
        if cut {
            (conn.cut_after, conn.spoilt) = (None, true);
        }
        let (id, end) = (self.conn, 1 - self.end);
        let behind = behind && self.net.deaf_to_rest;
        self.net.push(
            &mut inner,
            at,
            Event::Bytes {
                conn: id,
                end,
                bytes,
                behind,
            },
        );
        if cut {
            self.net
                .push(&mut inner, at, Event::Reset { conn: id, end: 0 });
            self.net
                .push(&mut inner, at, Event::Reset { conn: id, end: 1 });
        }
        Poll::Ready(Ok(count))
    }

    /// Reads what is there, at most `to`'s length.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn read(&self, to: &mut [u8]) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.take(cx, to)).await
    }

    /// Writes all of it.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn write_all(&self, mut from: &[u8]) -> io::Result<()> {
        while !from.is_empty() {
            let count = std::future::poll_fn(|cx| self.give(cx, from)).await?;
            from = &from[count..];
        }
        Ok(())
    }

    /// Writes what nobody asked for, behind an answer.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn write_behind(&self, mut from: &[u8]) -> io::Result<()> {
        while !from.is_empty() {
            let count = std::future::poll_fn(|cx| self.send(cx, from, true)).await?;
            from = &from[count..];
        }
        Ok(())
    }

    /// Whether it is open and has nothing to read.
    pub fn is_silent(&self) -> bool {
        self.with(|conn, end| {
            let own = &conn.ends[end];
            own.unread.is_empty() && !own.ended && !own.reset
        })
        .unwrap_or_default()
    }

    /// Whether bytes wait to be read.
    pub fn has_bytes(&self) -> bool {
        self.with(|conn, end| !conn.ends[end].unread.is_empty())
            .unwrap_or_default()
    }

    /// Whether nothing is on its way here or waits to be read.
    pub fn is_still(&self) -> bool {
        self.with(|conn, end| conn.ends[end].unread.is_empty() && conn.ends[end].coming == 0)
            .unwrap_or_default()
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        let now = self.net.now();
        let mut inner = self.net.inner.borrow_mut();
        let machine = &mut inner.machines[self.host.0];
        machine.open -= 1;
        let dying = machine.dying;
        let Some(conn) = inner.conns.get_mut(&self.conn) else {
            return;
        };
        let own = &mut conn.ends[self.end];
        own.closed = true;
        let harsh = dying || !own.unread.is_empty();
        let silent = own.reset || (own.shut && !harsh);
        own.unread.clear();
        let (delay, to) = (conn.delay, &mut conn.ends[1 - self.end]);
        let at = to.last.max(now + delay);
        to.last = at;
        let (id, end) = (self.conn, 1 - self.end);
        let wanted = !silent && (!to.closed || conn.dialling.is_some());
        if conn.dialling.take().is_some() && to.closed {
            // Given up before it got anywhere.
            inner.conns.remove(&id);
            return;
        }
        if wanted {
            let event = if harsh {
                Event::Reset { conn: id, end }
            } else {
                Event::End { conn: id, end }
            };
            self.net.push(&mut inner, at, event);
        }
        inner.forget(id);
    }
}

impl simulation::Socket for Socket {
    fn poll_read(&self, cx: &mut Context<'_>, to: &mut [u8]) -> Poll<io::Result<usize>> {
        self.take(cx, to)
    }

    fn poll_write(&self, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        // Planted: an answer that goes to a client (the node is the listener's end) is said twice.
        let twice = self
            .net
            .says_twice
            .filter(|_| self.end == 1 && from.starts_with(b"HTTP/1.1 200"));
        let wanted =
            twice.is_some_and(|often| self.net.inner.borrow_mut().dice.within(0..often) == 0);
        let given = self.give(cx, from);
        if wanted && matches!(given, Poll::Ready(Ok(count)) if count == from.len()) {
            let _ = self.give(cx, from);
        }
        given
    }

    fn shutdown_write(&self) -> io::Result<()> {
        let mut inner = self.net.inner.borrow_mut();
        let now = self.net.now();
        let conn = inner
            .conns
            .get_mut(&self.conn)
            .ok_or(ErrorKind::NotConnected)?;
        if conn.ends[self.end].reset {
            return Err(ErrorKind::NotConnected.into());
        }
        if !std::mem::replace(&mut conn.ends[self.end].shut, true) {
            let to = &mut conn.ends[1 - self.end];
            let at = to.last.max(now + conn.delay);
            to.last = at;
            self.net.push(
                &mut inner,
                at,
                Event::End {
                    conn: self.conn,
                    end: 1 - self.end,
                },
            );
        }
        Ok(())
    }

    fn read_would_block(&self) -> bool {
        self.is_silent()
    }

    fn has_peer_closed(&self) -> bool {
        self.with(|conn, end| conn.ends[end].ended || conn.ends[end].reset)
            .unwrap_or(true)
    }

    fn set_send_buffer_size(&self, bytes: usize) {
        self.with(|conn, end| conn.ends[1 - end].room = bytes.max(4096));
    }
}

/// A listener. Dropped, it closes and resets what waits to be accepted.
pub struct Listener {
    net: Net,
    host: Host,
    at: SocketAddr,
    number: u64,
}

impl Listener {
    /// The next connection.
    pub fn next(&self, cx: &mut Context<'_>) -> Poll<io::Result<Socket>> {
        let mut inner = self.net.inner.borrow_mut();
        let Inner {
            listening,
            machines,
            ..
        } = &mut *inner;
        let Some(own) = listening
            .get_mut(&self.at)
            .filter(|own| own.number == self.number)
        else {
            return Poll::Pending;
        };
        if own.queue.is_empty() {
            own.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let machine = &mut machines[self.host.0];
        if machine.open >= machine.descriptors {
            return Poll::Ready(Err(io::Error::from_raw_os_error(EMFILE)));
        }
        machine.open += 1;
        let Some(conn) = own.queue.pop_front() else {
            return Poll::Pending;
        };
        Poll::Ready(Ok(Socket {
            net: self.net.clone(),
            conn,
            end: 1,
            host: self.host,
        }))
    }

    /// As [`Listener::next`].
    ///
    /// # Errors
    /// No descriptor is left.
    pub async fn accept(&self) -> io::Result<Socket> {
        std::future::poll_fn(|cx| self.next(cx)).await
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        let mut inner = self.net.inner.borrow_mut();
        inner.machines[self.host.0].open -= 1;
        let Some(own) = inner.listening.remove(&self.at) else {
            return;
        };
        let now = self.net.now();
        for id in own.queue {
            if let Some(conn) = inner.conns.get_mut(&id) {
                conn.ends[1].closed = true;
                let at = now + conn.delay;
                self.net
                    .push(&mut inner, at, Event::Reset { conn: id, end: 0 });
            }
        }
    }
}

impl simulation::Listener for Listener {
    fn poll_accept(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<(Box<dyn simulation::Socket>, SocketAddr)>> {
        self.next(cx)
            .map_ok(|socket| (Box::new(socket) as Box<dyn simulation::Socket>, self.at))
    }

    fn address(&self) -> SocketAddr {
        self.at
    }
}

/// The world, as one machine sees it.
struct Seen {
    net: Net,
    host: Host,
    unix: Duration,
    tasks: Rc<Cell<usize>>,
}

impl SimulatedMachine for Seen {
    fn unix_time(&self) -> Duration {
        self.unix + self.net.now()
    }

    fn connect(&self, to: SocketAddr) -> ConnectFuture {
        let (net, host) = (self.net.clone(), self.host);
        Box::pin(async move {
            let socket = net.dial(host, to).await?;
            Ok(Box::new(socket) as Box<dyn simulation::Socket>)
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn simulation::Listener>> {
        Ok(Box::new(self.net.listen(self.host, at, 128)?))
    }

    fn bind_udp(&self, at: SocketAddr) -> io::Result<Box<dyn simulation::DatagramSocket>> {
        Ok(Box::new(self.net.datagrams(self.host, at)?))
    }

    fn read_file(&self, path: &Path) -> Option<Vec<u8>> {
        self.net
            .with(self.host, |machine| machine.files.get(path).cloned())
    }

    fn write_file(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.net.with(self.host, |machine| {
            if machine.disk_fails {
                return Err(ErrorKind::StorageFull.into());
            }
            machine.files.insert(path.to_owned(), bytes.to_vec());
            Ok(())
        })
    }

    fn entropy(&self) -> u64 {
        self.net.inner.borrow_mut().post.number()
    }

    fn task_started(&self) {
        self.tasks.set(self.tasks.get() + 1);
    }

    fn task_ended(&self) {
        self.tasks.set(self.tasks.get() - 1);
    }

    fn log_line(&self, line: &str) {
        self.net.step(self.host, format_args!("logs {line}"));
    }
}

impl Socket {
    /// Waits until it ends or breaks. Bytes that come are left.
    pub async fn gone(&self) {
        std::future::poll_fn(|cx| {
            let gone = self.with(|conn, end| {
                let own = &mut conn.ends[end];
                if own.ended || own.reset {
                    return true;
                }
                own.reader = Some(cx.waker().clone());
                false
            });
            if gone.unwrap_or(true) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }
}
