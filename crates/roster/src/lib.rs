//! Discovery: the list of backends, the watch that keeps it fresh, and the backends' numbers.
#![forbid(unsafe_code)]

use bytes::{Bytes, BytesMut};
use hillpick::settings::{Site, millis};
use hillpick::{ListKind, ServerEntry, ServerId, ServerState};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::Value;
use sillward_core::{Backend, Live, Message, News, Order};
use sillward_log::log;
use sillward_seam::net::TcpStream;
use sillward_seam::random::Random;
use sillward_seam::task::{JoinHandle, spawn_local};
use sillward_seam::time::{Instant, sleep, timeout};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const LIST: &str = "/registry/instances";
/// A watch says something every 2 s; one that is silent for so long is broken, whatever TCP says.
const SILENCE: Duration = Duration::from_secs(5);
/// The longest list or line that is taken in.
const LINE_LIMIT: usize = 4 << 20;
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// A node that knows backends from before is ready at the latest when its first call has taken so long.
const READY_AFTER: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct List {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Value>,
}

#[derive(Deserialize)]
struct Line {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u16,
    status: Status,
    #[serde(default = "one")]
    weight: f32,
    #[serde(default)]
    since_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    InService,
    Terminating,
    Terminated,
}

fn one() -> f32 {
    1.0
}

pub struct Discovery {
    address: SocketAddr,
    live: Rc<Live>,
    messages: mpsc::Sender<Message>,
    known: Option<String>,
    random: Random,
    ready: Rc<Cell<bool>>,
    /// The version of the list that the node has.
    index: u64,
}

impl Discovery {
    /// `known` is discovery's JSON as this node last had it, perhaps old.
    pub fn new(
        address: SocketAddr,
        live: Rc<Live>,
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
        }
    }

    /// Whether the node knows enough to serve.
    pub fn ready(&self) -> Rc<Cell<bool>> {
        self.ready.clone()
    }

    /// Keeps the list fresh, from `moved`'s address whenever that changes.
    pub async fn run(mut self, orders: mpsc::Receiver<Order>, moved: watch::Receiver<SocketAddr>) {
        if let Some(known) = self.known.take() {
            self.take(known.as_bytes(), Some(ListKind::Cached)).await;
            // It may be old: the first call may still bring a newer one before clients come.
            let (ready, some) = (self.ready.clone(), self.index > 0);
            spawn_local(async move {
                sleep(READY_AFTER).await;
                ready.set(ready.get() || some);
            });
        }
        if self.live.get().settings.list_on_request {
            self.obey(orders, moved).await;
        } else {
            self.follow(moved).await;
        }
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
            let lasted = opened.elapsed() > LONGEST_PAUSE;
            pause = if lasted { FIRST_PAUSE } else { (pause * 2).min(LONGEST_PAUSE) };
            log(format_args!("the watch broke: {broken}"));
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
    async fn obey(&mut self, mut orders: mpsc::Receiver<Order>, mut moved: watch::Receiver<SocketAddr>) {
        // What the module asked for, and whether there is a watch: it learns of a broken one and asks anew.
        let (mut wanted, mut watching) = (false, false);
        loop {
            let watch = async { if watching { self.watch().await } else { std::future::pending().await } };
            let order = tokio::select! {
                biased;
                order = orders.recv() => order,
                address = next(&mut moved) => {
                    self.turn_to(address);
                    watching = wanted;
                    continue;
                }
                broken = watch => {
                    log(format_args!("the watch broke: {broken}"));
                    watching = false;
                    self.tell(ListKind::Failed, Vec::new()).await;
                    continue;
                }
            };
            match order {
                Some(Order::Subscribe(on)) => (wanted, watching) = (on, on),
                Some(Order::Fetch) => loop {
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
                        log(format_args!("the list did not come: {broken}"));
                        self.tell(ListKind::Failed, Vec::new()).await;
                    }
                    break;
                },
                None => return,
            }
        }
    }

    /// Discovery is elsewhere from now on. The list stays until that has told the whole of its own, whose
    /// versions need not be the old one's.
    fn turn_to(&mut self, address: SocketAddr) {
        (self.address, self.index) = (address, 0);
    }

    /// Between half and all of it, so that nodes whose watches broke together do not call together.
    fn jittered(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(0.5 + self.random.fraction() / 2.0)
    }

    async fn fetch(&mut self) -> Result<(), String> {
        let (response, _connection) = self.get(LIST).await?;
        let body = timeout(SILENCE, Limited::new(response.into_body(), LINE_LIMIT).collect()).await;
        let body = body.map_err(|_| "silent")?.map_err(|e| e.to_string())?;
        self.take(&body.to_bytes(), Some(ListKind::Full)).await;
        Ok(())
    }

    /// Watches until that breaks; returns why.
    async fn watch(&mut self) -> String {
        match self.lines().await {
            Ok(()) => "it ended".to_owned(),
            Err(broken) => broken,
        }
    }

    async fn lines(&mut self) -> Result<(), String> {
        let (response, _connection) = self.get(&format!("{LIST}?stream=1&index={}", self.index)).await?;
        let mut body = response.into_body();
        let mut unread = BytesMut::new();
        while let Some(frame) = timeout(SILENCE, body.frame()).await.map_err(|_| "silent")? {
            let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else { continue };
            // Only what is new can hold the end of a line.
            let mut searched = unread.len();
            unread.extend_from_slice(&data);
            while let Some(end) = unread[searched..].iter().position(|byte| *byte == b'\n') {
                let line = unread.split_to(searched + end + 1);
                searched = 0;
                if !line.trim_ascii().is_empty() {
                    self.take(&line, None).await;
                }
            }
            if unread.len() > LINE_LIMIT {
                return Err("a line without end".to_owned());
            }
        }
        Ok(())
    }

    async fn get(&self, path: &str) -> Result<(Response<Incoming>, Connection), String> {
        let call = async {
            let stream = TcpStream::connect(self.address).await.map_err(|e| e.to_string())?;
            let (mut sender, connection) =
                http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
            let connection = Connection(spawn_local(async move {
                let _ = connection.await; // its end shows in the answer
            }));
            let request = Request::get(path).header(HOST, self.address.to_string());
            let request = request.body(Empty::<Bytes>::new()).map_err(|e| e.to_string())?;
            let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
            match response.status() {
                StatusCode::OK => Ok((response, connection)),
                status => Err(format!("answered {status}")),
            }
        };
        timeout(SILENCE, call).await.map_err(|_| "silent")?
    }

    /// Takes in a list. What is malformed is dropped, a line of it alone where the rest can be read.
    async fn take(&mut self, text: &[u8], kind: Option<ListKind>) {
        let list: List = match serde_json::from_slice(text) {
            Ok(list) => list,
            Err(e) => return log(format_args!("a malformed list was dropped: {e}")),
        };
        let (mut backends, site) = (Vec::new(), self.live.get());
        for line in list.endpoints {
            match serde_json::from_value(line).map_err(|e| e.to_string()).and_then(|line| read(&site, line)) {
                Ok(backend) => backends.push(backend),
                Err(e) => log(format_args!("a malformed line of the list was dropped: {e}")),
            }
        }
        let listed = if list.snapshot { ListKind::Full } else { ListKind::Changes };
        let kind = kind.unwrap_or(listed);
        self.tell(kind, backends).await;
        // Only now: a watch that is dropped before has not told the node, and must be told again.
        self.index = list.index;
        self.ready
            .set(self.ready.get() || kind != ListKind::Cached || self.live.get().settings.list_on_request);
    }

    async fn tell(&self, kind: ListKind, backends: Vec<Backend>) {
        let _ = self.messages.send(Message::List(News { kind, backends })).await; // or the node has ended
    }
}

/// Reads a line of the list by itself, in discovery's entry form.
///
/// # Errors
/// The text is no such line, or names a zone that the settings don't know.
pub fn read_entry(site: &Site, text: &[u8]) -> Result<Backend, String> {
    serde_json::from_slice(text).map_err(|e| e.to_string()).and_then(|line| read(site, line))
}

fn read(site: &Site, line: Line) -> Result<Backend, String> {
    let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let zone = if line.zone.is_empty() { Some(0) } else { place(&site.zone_names, &line.zone) };
    let zone = zone.and_then(|zone| u8::try_from(zone).ok());
    // A new kind of machine serves like any other, but the zone decides where repeats may go.
    let kind = place(&site.kind_names, &line.kind).and_then(|kind| u8::try_from(kind).ok());
    let state = match line.status {
        Status::InService => ServerState::Ready,
        Status::Terminating => ServerState::Draining,
        Status::Terminated => ServerState::Gone,
    };
    let entry = ServerEntry {
        id: number(&line.name),
        zone: zone.ok_or_else(|| format!("{}: unknown zone {}", line.name, line.zone))?,
        kind: kind.unwrap_or(u8::MAX),
        cell: line.group,
        state,
        weight: line.weight,
        started: (line.since_ms > 0.0).then(|| millis(line.since_ms)),
    };
    Ok(Backend { entry, address: line.address })
}

/// The next address that discovery moves to.
async fn next(moved: &mut watch::Receiver<SocketAddr>) -> SocketAddr {
    match moved.changed().await {
        Ok(()) => *moved.borrow_and_update(),
        Err(_) => std::future::pending().await, // nobody is left to move it
    }
}

/// A backend's number: made from its name alone, so that it is the same at every node (FNV-1a).
fn number(name: &str) -> ServerId {
    ServerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    }))
}

/// A connection to discovery, which closes when it is dropped.
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}
