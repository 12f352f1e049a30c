//! Clients' connections: accepted, bounded in number, timed, and let go in good order. What is spoken on them is
//! a front's concern ([`Serve`]).
#![forbid(unsafe_code)]

use sillward_lifecycle::{Event, Lifecycle, Said, Terms};
use sillward_logging::{log, log_peer};
use sillward_runtime::net::{TcpListener, TcpStream};
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::{Instant, sleep, timeout, timeout_at};
use sillward_runtime::{Clock, Handle, Stream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// After SIGTERM new connections go on coming for up to 0.4 s: so long they are accepted, and a little more.
const ACCEPT_ON: Duration = Duration::from_millis(450);
/// Then what was accepted last has so long to send its request before idle connections are closed.
const LAST_WORDS: Duration = Duration::from_millis(100);
/// Out of service, a connection that is idle is closed once it has been for so long: one that was just opened is
/// about to ask.
const PARTING_IDLE: Duration = Duration::from_millis(300);
/// How long a client may take from its connection, or from the first byte of a later request, to the end of the
/// request's head, or to the last byte where a front takes requests whole. A good one may take 2 s, and each time
/// limit of the platform is 50 ms longer; no more, since a crowd of the silent fills the node for so long.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2050);
/// A client that takes nothing of an answer for so long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// A connection on which no request is open is kept for so long: its client may ask again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A connection that was told to close, and has no request open, is closed from here after that.
pub const LINGER: Duration = Duration::from_secs(1);
/// So much is read past what is still served: a rest that counts for nothing.
pub const READ_PAST: usize = 1 << 20;
const PAST_CHUNK: usize = 2048;
/// How often a process that is not ready looks whether it is.
const LISTED_LOOK: Duration = Duration::from_millis(10);
/// How often connections are looked over for these times.
const WATCH: Duration = Duration::from_millis(100);
/// A client has so long from its connection to its first bytes before it makes room for another: a node that is full
/// would otherwise close each connection for the next one's sake, with its request on the way.
const FIRST_WORDS: Duration = Duration::from_millis(20);
/// But of one place in so many at the most: a crowd that says nothing is not waited for.
const FIRST_PLACES: usize = 8;
/// After an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Where a client's connection stands.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// Nothing is open, since then.
    Idle(Instant),
    /// A request's head has come: its body, or the node, is at work.
    Open,
    /// Told to close, at that time.
    Closing(Instant),
}

pub struct Client {
    socket: Handle,
    accepted: Instant,
    /// Whether it has ever sent a head that could be read.
    asked: Cell<bool>,
    stage: Cell<Stage>,
    /// Asks hyper to end the connection when it can.
    close: Notify,
    /// Ends it at once.
    end: Notify,
}

impl Client {
    /// A request has begun to come whole: its head, or all of it. Returns when its rest must be here: the first
    /// request's time runs from the accept, a later one's from its first byte.
    pub fn opened(&self) -> Instant {
        let begun = if self.asked.replace(true) {
            self.socket.heard()
        } else {
            Some(self.accepted)
        };
        self.stage.set(Stage::Open);
        begun.unwrap_or_else(Instant::now) + READ_TIMEOUT
    }

    /// Whether nothing waits to be read.
    pub fn is_quiet(&self) -> bool {
        self.socket.is_quiet()
    }

    /// Whether a request is open.
    pub fn is_open(&self) -> bool {
        self.stage.get() == Stage::Open
    }

    /// Whether it is still there to be answered, as of now. One that has ended its sending has gone.
    fn is_here(&self) -> bool {
        !self.socket.has_ended()
    }

    /// The same, for whoever has no more to do with connections.
    pub fn here(self: &Rc<Self>) -> Rc<dyn Fn() -> bool> {
        let client = self.clone();
        Rc::new(move || client.is_here())
    }

    /// This side has said its last word. What still comes is read and counts for nothing, for a moment: closed over bytes
    /// that nobody read, the connection would be reset, and what its client has not read of the last answer lost.
    pub async fn part(&self, stream: &Stream) {
        self.stage.set(Stage::Closing(Instant::now()));
        let _ = stream.shut_write(); // it may be shut already, or broken
        let (until, mut past, mut chunk) = (Instant::now() + LINGER, 0, vec![0; PAST_CHUNK]);
        while let Ok(Ok(count)) = timeout_at(until, stream.read(&mut chunk)).await {
            past += count;
            if count == 0 || past > READ_PAST {
                return;
            }
        }
    }

    /// Waits until the connection is to end when it can. Returns once for each time that it is told.
    pub async fn told_to_close(&self) {
        self.close.notified().await;
    }

    fn close(&self) {
        self.stage.set(Stage::Closing(Instant::now()));
        self.close.notify_one();
    }

    /// Ends or closes it if its time is up. A request whose rest has come, and only waits to be read since this
    /// node was held up itself, is owed its answer: bytes that wait to be read are a reason to wait.
    fn look(&self, now: Instant) {
        let begun = if self.asked.get() {
            self.socket.heard()
        } else {
            Some(self.accepted)
        };
        let late = begun.is_some_and(|begun| now > begun + READ_TIMEOUT);
        let blocked = self.socket.blocked();
        if blocked.is_some_and(|since| now > since + WRITE_TIMEOUT) {
            return self.end.notify_one();
        }
        match self.stage.get() {
            // What it still takes of its answer is not cut off.
            Stage::Closing(since) if now > since + LINGER && blocked.is_none() => {
                self.end.notify_one()
            }
            Stage::Idle(_) if late && self.socket.is_quiet() => {
                log_peer("a client's head was too slow");
                self.end.notify_one();
            }
            Stage::Idle(since) if !late && now > since + IDLE_TIMEOUT => self.close(),
            _ => {}
        }
    }

    /// If no request is open or begun: whether it has ever asked, and since when it has been idle. In this order
    /// they make room: a crowd of the silent takes no place from those that are served.
    fn idle(&self) -> Option<(bool, Instant)> {
        match self.stage.get() {
            Stage::Idle(since)
                if self.socket.heard().is_none() && self.socket.blocked().is_none() =>
            {
                Some((self.asked.get(), since))
            }
            _ => None,
        }
    }
}

/// A node's lifecycle, for its doors and fronts. They share one.
pub struct Life {
    clock: Clock,
    state: RefCell<Lifecycle>,
    /// Set by whoever tells the list of backends.
    listed: Rc<Cell<bool>>,
}

impl Life {
    /// A node that has just started; `listed` is set once it knows enough of its backends to serve.
    pub fn start(clock: Clock, listed: Rc<Cell<bool>>) -> Rc<Self> {
        let state = Lifecycle::new(Terms {
            front: ACCEPT_ON + LAST_WORDS,
        })
        .into();
        Rc::new(Life {
            clock,
            state,
            listed,
        })
    }

    /// Takes in what has happened.
    pub fn handle(&self, event: Event) -> Said {
        self.state.borrow_mut().handle(self.clock.now(), event)
    }

    /// What the front that deals out clients hears.
    pub fn healthy(&self) -> bool {
        self.look();
        self.state.borrow().healthy()
    }

    /// What operators hear.
    pub fn can_serve(&self) -> bool {
        self.look();
        self.state.borrow().can_serve()
    }

    /// Waits until this process can serve, or is told to end.
    pub async fn until_it_can_serve(&self) {
        while !self.can_serve() && !self.state.borrow().parting() {
            sleep(LISTED_LOOK).await;
        }
    }

    fn look(&self) {
        if self.listed.get() {
            self.handle(Event::Listed);
        }
    }

    fn idle_may_close(&self) -> bool {
        self.state.borrow().idle_may_close(self.clock.now())
    }
}

/// Whose a listening socket is.
#[derive(Clone, Copy, PartialEq)]
pub enum Hold {
    /// This process's alone: what waits in its queue when it closes is reset.
    Own,
    /// Held by whoever started the process, and by the process that takes its place: what waits is that one's.
    Shared,
}

/// A front: what is spoken on a connection.
pub trait Serve: 'static {
    /// Serves a client until its connection ends. Dropped, it closes at once.
    fn serve(self: Rc<Self>, stream: Stream, client: Rc<Client>) -> impl Future<Output = ()>;
}

/// Keeps the connections of one listener.
pub struct Door {
    life: Rc<Life>,
    /// The last number that a connection was given.
    numbers: Cell<u64>,
    longest_deadline: Box<dyn Fn() -> Duration>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    most_clients: Cell<usize>,
    /// A connection that is accepted, and waits for another to make room. It outlives a cancelled accept:
    /// it may hold a request.
    waiting: RefCell<Option<TcpStream>>,
    left: Notify,
}

impl Door {
    /// For so many clients at once, whose requests are answered within `longest_deadline`.
    pub fn new(
        life: Rc<Life>,
        most_clients: usize,
        longest_deadline: impl Fn() -> Duration + 'static,
    ) -> Rc<Self> {
        Rc::new(Door {
            life,
            numbers: Cell::new(0),
            longest_deadline: Box::new(longest_deadline),
            clients: RefCell::default(),
            most_clients: Cell::new(most_clients),
            waiting: RefCell::default(),
            left: Notify::new(),
        })
    }

    /// How many clients there are.
    pub fn clients(&self) -> usize {
        self.clients.borrow().len()
    }

    /// For so many clients from now on. Those that are there stay.
    pub fn hold(&self, most_clients: usize) {
        self.most_clients.set(most_clients);
        self.left.notify_one();
    }

    /// Whether each answer is its connection's last: the node is leaving, or out of service.
    pub fn is_closing(&self) -> bool {
        self.life.state.borrow().parting()
    }

    /// A client has no request open any more. `last` if its connection ends with that.
    pub fn done(&self, client: &Client, last: bool) {
        client.socket.listen_anew();
        let now = Instant::now();
        client.stage.set(if last {
            Stage::Closing(now)
        } else {
            Stage::Idle(now)
        });
        if self.clients.borrow().len() >= self.most_clients.get() {
            self.left.notify_one(); // whoever waits to come in finds this one idle
        }
    }

    /// Serves clients until `stop`, then ends in good order.
    pub async fn run<S: Serve>(
        self: Rc<Self>,
        front: Rc<S>,
        listener: TcpListener,
        hold: Hold,
        stop: impl Future<Output = ()>,
    ) {
        let watched = self.clone();
        spawn_local(async move {
            loop {
                sleep(WATCH).await;
                let now = Instant::now();
                watched
                    .clients
                    .borrow()
                    .values()
                    .for_each(|client| client.look(now));
                if watched.life.idle_may_close() {
                    watched.part(now);
                }
            }
        });
        tokio::select! {
            biased;
            () = stop => {}
            () = self.accept(&front, &listener) => {}
        }
        log("told to stop: unready, finishing what is held");
        self.life.handle(Event::Stop);
        self.serve_waiting(&front);
        if hold == Hold::Own {
            let _ = timeout(ACCEPT_ON, self.accept(&front, &listener)).await;
            self.serve_waiting(&front);
            // A connection that waits in the queue may hold a request already: closing the listener would reset it.
            while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
                self.serve(&front, stream);
            }
        }
        drop(listener);
        if hold == Hold::Shared {
            // Clients go on using what they have: each has so long to ask once more, and hears that it is the last time.
            sleep(ACCEPT_ON).await;
        }
        sleep(LAST_WORDS).await;
        self.clients
            .borrow()
            .values()
            .for_each(|client| client.close.notify_one());
        let all_left = async {
            while !self.clients.borrow().is_empty() {
                self.left.notified().await;
            }
        };
        // Every request has its answer by its deadline; who is left then has sent half a request at most.
        if timeout((self.longest_deadline)(), all_left).await.is_err() {
            log("a client would not end its connection");
        }
    }

    /// Closes what is idle while clients are sent elsewhere, but nothing on which a request has begun to come.
    fn part(&self, now: Instant) {
        for client in self.clients.borrow().values() {
            let idle = client
                .idle()
                .is_some_and(|(_, since)| now > since + PARTING_IDLE);
            if idle && client.socket.is_quiet() {
                client.close();
            }
        }
    }

    async fn accept<S: Serve>(self: &Rc<Self>, front: &Rc<S>, listener: &TcpListener) {
        loop {
            if self.waiting.borrow().is_none() {
                match listener.accept().await {
                    Ok((stream, _)) => drop(self.waiting.borrow_mut().replace(stream)),
                    Err(e) => {
                        // Out of descriptors, or the client has left already: neither is a reason to end.
                        log_peer(format_args!("cannot accept: {e}"));
                        self.make_room();
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
            while self.waiting.borrow().is_some()
                && self.clients.borrow().len() >= self.most_clients.get()
            {
                self.make_room();
                let _ = timeout(ACCEPT_PAUSE, self.left.notified()).await;
            }
            self.serve_waiting(front);
        }
    }

    fn serve_waiting<S: Serve>(self: &Rc<Self>, front: &Rc<S>) {
        let waiting = self.waiting.borrow_mut().take();
        waiting
            .into_iter()
            .for_each(|stream| self.serve(front, stream));
    }

    /// Between requests a node may close a connection: the first that has nothing to say.
    fn make_room(&self) {
        let (clients, now) = (self.clients.borrow(), Instant::now());
        let closing = clients
            .values()
            .filter_map(|client| match client.stage.get() {
                Stage::Closing(since) => Some((since, client)),
                _ => None,
            });
        match closing.min_by_key(|(since, _)| *since) {
            // It will leave by itself in a moment, or it has had its moment.
            Some((since, client)) if now > since + ACCEPT_PAUSE => {
                if client.socket.blocked().is_none() {
                    client.end.notify_one();
                }
                return;
            }
            Some(_) => return,
            None => {}
        }
        let mut idle: Vec<_> = clients
            .values()
            .filter_map(|client| client.idle().map(|order| (order, client)))
            .collect();
        let new = |client: &Client| !client.asked.get() && now < client.accepted + FIRST_WORDS;
        if idle.iter().filter(|(_, client)| new(client)).count()
            <= (self.most_clients.get() / FIRST_PLACES).max(1)
        {
            idle.retain(|(_, client)| !new(client));
        }
        idle.sort_unstable_by_key(|(order, _)| *order);
        if let Some((_, client)) = idle
            .into_iter()
            .find(|(_, client)| client.socket.is_quiet())
        {
            client.close();
        }
    }

    fn serve<S: Serve>(self: &Rc<Self>, front: &Rc<S>, stream: TcpStream) {
        let (stream, socket) = Stream::new(stream);
        let now = Instant::now();
        let client = Rc::new(Client {
            socket,
            accepted: now,
            asked: Cell::new(false),
            stage: Cell::new(Stage::Idle(now)),
            close: Notify::new(),
            end: Notify::new(),
        });
        self.numbers.set(self.numbers.get() + 1);
        let number = self.numbers.get();
        self.clients.borrow_mut().insert(number, client.clone());
        let (door, front) = (self.clone(), front.clone());
        spawn_local(async move {
            tokio::select! {
                biased;
                () = front.serve(stream, client.clone()) => {}
                () = client.end.notified() => {}
            }
            door.clients.borrow_mut().remove(&number);
            door.left.notify_one();
        });
    }
}
