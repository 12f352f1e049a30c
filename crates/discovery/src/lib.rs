//! Discovery: the list of backends, the watch that keeps it fresh, and the backends' numbers.
//!
//! What discovery has is told within [`TOLD_WITHIN`] of when it had it and could be reached, whatever calls failed on the
//! way: each step of a call has a time of its own, from its own start, and pauses between calls do not grow beyond the
//! room that these leave.
#![forbid(unsafe_code)]

mod entries;
pub mod lines;

pub use entries::read_entry;

use bytes::Bytes;
use entries::List;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use lines::{Item, LIST_LIMIT, Lines};
use sillward_balancer::EndpointUpdate;
use sillward_forwarding::{Backend, BackendUpdate, DiscoveryCommand, LiveSettings, Message};
use sillward_logging::{log, log_peer};
use sillward_runtime::net::TcpStream;
use sillward_runtime::random::Random;
use sillward_runtime::task::{JoinHandle, spawn_local};
use sillward_runtime::time::{Instant, sleep, timeout_at};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const LIST: &str = "/registry/instances";
/// What discovery has counts as told so long after it had it and could be reached.
pub const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// A watch says something every 2 s: one without a whole line for so long is broken, whatever TCP says, and however many
/// bytes trickle in.
pub const BETWEEN_LINES: Duration = Duration::from_millis(2500);
/// An agent on the node's own machine answers at once.
pub const PUSHED_HEAD: Duration = Duration::from_millis(600);
/// Discovery that is asked works through calls in turn, and lets none wait for more than 2 s.
pub const ASKED_HEAD: Duration = Duration::from_millis(2100);
/// From a call's start to its first whole line, where lists are asked for.
pub const ASKED_LINE: Duration = Duration::from_millis(2400);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Between two calls that failed at the most: the steps above and two of these stay below [`TOLD_WITHIN`], with room for the
/// call that succeeds.
pub const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// What came after a malformed list is taken in for so long; then the list is asked for anew, since a change may have been
/// in what was dropped.
const GAP: Duration = Duration::from_secs(1);
/// A list that is older than the one held is taken for another's mistake, unless so many calls in a row bring one: then
/// discovery itself has gone back.
const OLDER_IN_A_ROW: u32 = 3;
/// A node that knows backends from before is ready at the latest when its first call has taken so long.
const READY_AFTER: Duration = Duration::from_secs(1);

pub struct Discovery {
    address: SocketAddr,
    live: Rc<LiveSettings>,
    messages: mpsc::Sender<Message>,
    known: Option<String>,
    random: Random,
    ready: Rc<Cell<bool>>,
    /// The version from which on changes are asked for.
    index: u64,
    /// The version that this discovery has told: 0 before it has told any.
    held: u64,
    /// Calls in a row that brought a list older than that.
    older: u32,
}

impl Discovery {
    /// `known` is discovery's JSON as this node last had it, perhaps old.
    pub fn new(
        address: SocketAddr,
        live: Rc<LiveSettings>,
        known: Option<String>,
        seed: u64,
        messages: mpsc::Sender<Message>,
    ) -> Self {
        Discovery {
            address,
            live,
            messages,
            known,
            random: Random::seeded(!seed),
            ready: Rc::default(),
            index: 0,
            held: 0,
            older: 0,
        }
    }

    /// Whether the node knows enough to serve.
    pub fn ready(&self) -> Rc<Cell<bool>> {
        self.ready.clone()
    }

    /// Keeps the list fresh, from `moved`'s address whenever that changes.
    pub async fn run(
        mut self,
        orders: mpsc::Receiver<DiscoveryCommand>,
        moved: watch::Receiver<SocketAddr>,
    ) {
        if let Some(known) = self.known.take() {
            let some = match self
                .take(known.as_bytes(), Some(EndpointUpdate::Cached))
                .await
            {
                Ok(some) => some,
                Err(Unusable::Malformed(what) | Unusable::Older(what)) => {
                    log(format_args!(
                        "the configuration's known list was dropped: {what}"
                    ));
                    0
                }
            };
            // It may be old: the first call may still bring a newer one before clients come.
            let ready = self.ready.clone();
            spawn_local(async move {
                sleep(READY_AFTER).await;
                ready.set(ready.get() || some > 0);
            });
        }
        if self.is_asked() {
            self.obey(orders, moved).await;
        } else {
            self.follow(moved).await;
        }
    }

    fn is_asked(&self) -> bool {
        self.live.get().settings.poll_endpoint_list
    }

    /// Lists are pushed: watches for good. A broken watch is no news, the list stays as it is.
    async fn follow(&mut self, mut moved: watch::Receiver<SocketAddr>) {
        let mut pause = FIRST_PAUSE;
        loop {
            let opened = Instant::now();
            let broken = tokio::select! {
                biased;
                broken = self.watch() => broken,
                address = next(&mut moved) => {
                    self.turn_to(address);
                    pause = FIRST_PAUSE;
                    continue;
                }
            };
            let lasted = opened.elapsed() > BETWEEN_LINES;
            pause = if lasted {
                FIRST_PAUSE
            } else {
                (pause * 2).min(LONGEST_PAUSE)
            };
            log(format_args!(
                "the watch of {} broke: {broken}",
                self.address
            ));
            let jittered = self.jittered(pause);
            tokio::select! {
                biased;
                () = sleep(jittered) => {}
                address = next(&mut moved) => {
                    self.turn_to(address);
                    pause = FIRST_PAUSE;
                }
            }
        }
    }

    /// Lists must be asked for: the module says when. Every call that fails is told to it.
    async fn obey(
        &mut self,
        mut orders: mpsc::Receiver<DiscoveryCommand>,
        mut moved: watch::Receiver<SocketAddr>,
    ) {
        // What the module asked for, and whether there is a watch: it learns of a broken one and asks anew.
        let (mut wanted, mut watching) = (false, false);
        loop {
            let turn = {
                let watch = async {
                    if watching {
                        self.watch().await
                    } else {
                        std::future::pending().await
                    }
                };
                let mut watch = std::pin::pin!(watch);
                loop {
                    tokio::select! {
                        biased;
                        order = orders.recv() => match order {
                            // A watch that is being opened or open is what was asked for: to begin anew would lose it.
                            Some(DiscoveryCommand::Watch(true)) if watching => {}
                            order => break Turn::Ordered(order),
                        },
                        address = next(&mut moved) => break Turn::Moved(address),
                        broken = watch.as_mut() => break Turn::Broken(broken),
                    }
                }
            };
            match turn {
                Turn::Ordered(Some(DiscoveryCommand::Watch(on))) => (wanted, watching) = (on, on),
                Turn::Ordered(Some(DiscoveryCommand::Fetch)) => loop {
                    let fetched = tokio::select! {
                        biased;
                        fetched = self.fetch() => fetched,
                        address = next(&mut moved) => {
                            self.turn_to(address);
                            watching = wanted;
                            continue;
                        }
                    };
                    if let Err(broken) = fetched {
                        log(format_args!(
                            "the list of {} did not come: {broken}",
                            self.address
                        ));
                        self.tell(EndpointUpdate::Failed, Vec::new()).await;
                    }
                    break;
                },
                Turn::Ordered(None) => return,
                Turn::Moved(address) => {
                    self.turn_to(address);
                    watching = wanted;
                }
                Turn::Broken(broken) => {
                    log(format_args!(
                        "the watch of {} broke: {broken}",
                        self.address
                    ));
                    watching = false;
                    self.tell(EndpointUpdate::Failed, Vec::new()).await;
                }
            }
        }
    }

    /// Discovery is elsewhere from now on. The list stays until that has told the whole of its own, whose
    /// versions need not be the old one's.
    fn turn_to(&mut self, address: SocketAddr) {
        (self.address, self.index, self.held, self.older) = (address, 0, 0, 0);
    }

    /// Between half and all of it, so that nodes whose watches broke together do not call together.
    fn jittered(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(0.5 + self.random.fraction() / 2.0)
    }

    async fn fetch(&mut self) -> Result<(), String> {
        let due = Instant::now() + ASKED_LINE;
        let (response, _connection) = self.get(LIST).await?;
        let body = timeout_at(
            due,
            Limited::new(response.into_body(), LIST_LIMIT).collect(),
        )
        .await;
        let body = body.map_err(|_| "silent")?.map_err(|e| e.to_string())?;
        match self
            .take(&body.to_bytes(), Some(EndpointUpdate::Full))
            .await
        {
            Ok(_) => Ok(()),
            Err(Unusable::Malformed(what) | Unusable::Older(what)) => Err(what),
        }
    }

    /// Watches until that breaks; returns why.
    async fn watch(&mut self) -> String {
        match self.lines().await {
            Ok(()) => "it ended".to_owned(),
            Err(broken) => broken,
        }
    }

    async fn lines(&mut self) -> Result<(), String> {
        let first_line = if self.is_asked() {
            ASKED_LINE
        } else {
            BETWEEN_LINES
        };
        let mut due = Instant::now() + first_line;
        let (response, _connection) = self
            .get(&format!("{LIST}?stream=1&index={}", self.index))
            .await?;
        let (mut body, mut lines) = (response.into_body(), Lines::default());
        // Since when something is missing that a malformed list may have held.
        let mut gap = None;
        loop {
            let until = gap.map_or(due, |since: Instant| due.min(since + GAP));
            let frame = timeout_at(until, body.frame()).await;
            let Ok(frame) = frame else {
                let why = if gap.is_some() {
                    "a list on it was malformed"
                } else {
                    "silent"
                };
                return Err(why.to_owned());
            };
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else {
                continue;
            };
            lines.push(&data);
            while let Some(item) = lines.next_item() {
                due = Instant::now() + BETWEEN_LINES;
                let before = self.index;
                let fault = match item {
                    Item::Empty => continue,
                    Item::Text(text) => match self.take(&text, None).await {
                        Ok(_) => {
                            // What follows a gap does not close it: changes are asked for from before it.
                            self.index = if gap.is_some() { before } else { self.index };
                            continue;
                        }
                        Err(Unusable::Older(what)) => return Err(what),
                        Err(Unusable::Malformed(fault)) => fault,
                    },
                    Item::Broken(bytes) => format!("it broke off after {bytes} bytes"),
                };
                log_peer(format_args!(
                    "a malformed list of {} was dropped: {fault}",
                    self.address
                ));
                gap.get_or_insert_with(Instant::now);
            }
            if lines.is_endless() {
                return Err("a line without end".to_owned());
            }
            // Bytes are no line: however they trickle, they put nothing off.
            if Instant::now() >= due {
                return Err("a line that did not end".to_owned());
            }
        }
    }

    /// Asks discovery, and returns once the head of its answer is here.
    async fn get(&self, path: &str) -> Result<(Response<Incoming>, Connection), String> {
        let call = async {
            let stream = TcpStream::connect(self.address)
                .await
                .map_err(|e| e.to_string())?;
            let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
                .await
                .map_err(|e| e.to_string())?;
            let connection = Connection(spawn_local(async move {
                let _ = connection.await; // its end shows in the answer
            }));
            let request = Request::get(path).header(HOST, self.address.to_string());
            let request = request
                .body(Empty::<Bytes>::new())
                .map_err(|e| e.to_string())?;
            let response = sender
                .send_request(request)
                .await
                .map_err(|e| e.to_string())?;
            match response.status() {
                StatusCode::OK => Ok((response, connection)),
                status => Err(format!("answered {status}")),
            }
        };
        let head = if self.is_asked() {
            ASKED_HEAD
        } else {
            PUSHED_HEAD
        };
        timeout_at(Instant::now() + head, call)
            .await
            .map_err(|_| "silent before its head")?
    }

    /// Takes in a list, and says how many entries of it could be read: what is malformed is dropped, an entry of it alone
    /// where the rest can be read.
    async fn take(&mut self, text: &[u8], kind: Option<EndpointUpdate>) -> Result<usize, Unusable> {
        let list: List =
            serde_json::from_slice(text).map_err(|e| Unusable::Malformed(e.to_string()))?;
        let (mut backends, site) = (Vec::new(), self.live.get());
        let listed = if list.snapshot {
            EndpointUpdate::Full
        } else {
            EndpointUpdate::Incremental
        };
        let kind = kind.unwrap_or(listed);
        if kind != EndpointUpdate::Cached && list.index < self.held {
            self.older += 1;
            if self.older < OLDER_IN_A_ROW {
                let what = format!("a list of version {}, older than {}", list.index, self.held);
                return Err(Unusable::Older(what));
            }
            log(format_args!(
                "discovery at {} has gone back to version {}",
                self.address, list.index
            ));
        }
        for line in list.endpoints {
            match serde_json::from_value(line)
                .map_err(|e| e.to_string())
                .and_then(|line| entries::read(&site, line))
            {
                Ok(backend) => backends.push(backend),
                Err(e) => {
                    log_peer(format_args!(
                        "a malformed line of the list of {} was dropped: {e}",
                        self.address
                    ));
                }
            }
        }
        let read = backends.len();
        self.tell(kind, backends).await;
        // Only now: a watch that is dropped before has not told the node, and must be told again.
        self.index = list.index;
        if kind != EndpointUpdate::Cached {
            (self.held, self.older) = (list.index, 0);
        }
        self.ready
            .set(self.ready.get() || kind != EndpointUpdate::Cached || self.is_asked());
        Ok(read)
    }

    async fn tell(&self, kind: EndpointUpdate, backends: Vec<Backend>) {
        let _ = self
            .messages
            .send(Message::EndpointList(BackendUpdate { kind, backends }))
            .await; // or the node has ended
    }
}

/// Why a list was not taken in.
enum Unusable {
    /// It is no list.
    Malformed(String),
    /// It is older than the one held.
    Older(String),
}

/// What ended the wait for a watch or for an order.
enum Turn {
    Ordered(Option<DiscoveryCommand>),
    Moved(SocketAddr),
    Broken(String),
}

/// The next address that discovery moves to.
async fn next(moved: &mut watch::Receiver<SocketAddr>) -> SocketAddr {
    match moved.changed().await {
        Ok(()) => *moved.borrow_and_update(),
        Err(_) => std::future::pending().await, // nobody is left to move it
    }
}

/// A connection to discovery, which closes when it is dropped.
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}
