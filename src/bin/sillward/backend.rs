//! The backends' side: attempts, the pool of connections, probes.

use crate::config::Config;
use crate::discovery::Backend;
use crate::node::Forward;
use crate::{Clock, log};
use bytes::Bytes;
use hillpick::settings::Column;
use hillpick::{ListKind, LoadReport, Outcome, ReportSource, RequestId, ServerId, ServerState};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind::InvalidData, ErrorKind::InvalidInput};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;
/// The most bytes of a body, either way.
pub const BODY_LIMIT: usize = 64 * 1024;
/// No head of an answer is longer; it also bounds what a connection may buffer.
const READ_BUFFER: usize = 32 * 1024;
/// A probe that is not answered by then tells nothing that is still true.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// So many connections in a row may turn out broken before a request was written to them.
const BROKEN_IN_A_ROW: usize = 4;

/// An attempt to be made.
pub struct Attempt {
    pub id: RequestId,
    pub number: u32,
    pub server: ServerId,
    /// When the node stops waiting for it.
    pub until: Duration,
    pub forward: Rc<Forward>,
}

/// Why an attempt is stopped.
pub enum Stop {
    TimedOut,
    Cancelled,
}

/// How an attempt ended; with the body if it was served.
pub struct Ended {
    pub id: RequestId,
    pub number: u32,
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    pub body: Option<Bytes>,
}

/// How a probe ended.
pub struct ProbeEnded {
    pub server: ServerId,
    pub outcome: Outcome,
    pub sent: Duration,
    pub report: Option<LoadReport>,
}

/// A connection to a backend. Dropped, it closes at once, whatever is under way on it.
struct Connection {
    server: ServerId,
    /// Which run of the backend, at which address, it leads to.
    epoch: u64,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    open: Rc<Cell<usize>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        self.open.set(self.open.get() - 1);
    }
}

type Delivery = Result<Connection, Outcome>;

#[derive(Default)]
struct Place {
    address: Option<SocketAddr>,
    state: ServerState,
    started: Option<Duration>,
    epoch: u64,
    /// When it was told that the backend drains or is gone.
    told: Option<Duration>,
    /// Idle connections, each with when it fell idle; the last used comes last.
    idle: Vec<(Connection, Duration)>,
    /// Attempts that wait for a connection, and dials under way: never fewer dials than waiting attempts.
    waiting: VecDeque<oneshot::Sender<Delivery>>,
    dialling: usize,
}

impl Place {
    fn drop_idle(&mut self) {
        self.epoch += 1;
        self.idle.clear();
    }
}

pub struct Pool {
    clock: Clock,
    places: RefCell<BTreeMap<ServerId, Place>>,
    open: Rc<Cell<usize>>,
    most_open: usize,
    idle_limit: Duration,
    connect_timeout: Duration,
    drain_grace: Duration,
    columns: Vec<Column>,
    reports: ReportSource,
}

impl Pool {
    pub fn start(clock: Clock, config: &Config) -> Rc<Self> {
        let (site, settings) = (&config.site, &config.site.settings);
        let pool = Rc::new(Pool {
            clock,
            places: RefCell::default(),
            open: Rc::default(),
            most_open: config.backend_connections,
            // A request written just when the backend closes the connection would end as a reset.
            idle_limit: site.idle_close * 3 / 4,
            connect_timeout: settings.limits.connect_timeout,
            drain_grace: settings.rules.drain_grace,
            columns: site.columns.clone(),
            reports: settings.reports,
        });
        let (sweeper, pause) = (pool.clone(), (pool.idle_limit / 8).max(Duration::from_millis(5)));
        spawn_local(async move {
            loop {
                tokio::time::sleep(pause).await;
                sweeper.sweep();
            }
        });
        pool
    }

    /// Closes what has been idle for too long, before the backend would.
    fn sweep(&self) {
        let now = self.clock.now();
        for place in self.places.borrow_mut().values_mut() {
            place.idle.retain(|(connection, since)| {
                !connection.sender.is_closed() && now.saturating_sub(*since) < self.idle_limit
            });
        }
        let unused = |place: &Place| place.state == ServerState::Gone && place.dialling == 0;
        let told_long_ago = |place: &Place| place.told.is_some_and(|at| now > at + 10 * self.drain_grace);
        self.places.borrow_mut().retain(|_, place| !(unused(place) && told_long_ago(place)));
    }

    /// Takes in news of the list: addresses, and when a backend was told to drain or to be gone.
    pub fn update(&self, kind: ListKind, backends: &[Backend], now: Duration) {
        let mut places = self.places.borrow_mut();
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let listed: std::collections::BTreeSet<_> = backends.iter().map(|b| b.entry.id).collect();
            for (_, place) in places.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                place.state = ServerState::Gone;
                place.told.get_or_insert(now);
                place.drop_idle();
            }
        }
        for Backend { entry, address } in backends {
            let place = places.entry(entry.id).or_default();
            let moved = place.address != Some(*address) || place.started != entry.started;
            (place.address, place.started, place.state) = (Some(*address), entry.started, entry.state);
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
    }

    pub fn close_idle(&self, server: ServerId) {
        if let Some(place) = self.places.borrow_mut().get_mut(&server) {
            place.idle.clear();
        }
    }

    /// Takes the most recently used idle connection, or whichever comes first: one that falls free or a
    /// new one.
    async fn take(self: &Rc<Self>, server: ServerId) -> Delivery {
        let deliver = {
            let mut places = self.places.borrow_mut();
            let place = places.get_mut(&server).ok_or(Outcome::NotSent)?;
            let now = self.clock.now();
            while let Some((connection, since)) = place.idle.pop() {
                if !connection.sender.is_closed() && now.saturating_sub(since) < self.idle_limit {
                    return Ok(connection);
                }
            }
            place.waiting.retain(|waiting| !waiting.is_closed());
            if place.dialling <= place.waiting.len() {
                let address = place.address.ok_or(Outcome::NotSent)?;
                let epoch = place.epoch;
                drop(places);
                if self.open.get() >= self.most_open && !self.close_longest_idle() {
                    log("no connection is left for an attempt: it was not sent");
                    return Err(Outcome::NotSent);
                }
                self.open.set(self.open.get() + 1);
                places = self.places.borrow_mut();
                let place = places.get_mut(&server).ok_or(Outcome::NotSent)?;
                place.dialling += 1;
                let pool = self.clone();
                spawn_local(async move {
                    let dialled = pool.dial(server, address, epoch).await;
                    pool.dialled(server, dialled);
                });
            }
            let (waiting, deliver) = oneshot::channel();
            places.get_mut(&server).ok_or(Outcome::NotSent)?.waiting.push_back(waiting);
            deliver
        };
        let mut waiter = Waiter { pool: self, deliver };
        (&mut waiter.deliver).await.unwrap_or(Err(Outcome::NotSent))
    }

    fn close_longest_idle(&self) -> bool {
        let mut places = self.places.borrow_mut();
        let oldest = places.values_mut().filter(|place| !place.idle.is_empty());
        let oldest = oldest.min_by_key(|place| place.idle.first().map(|(_, since)| *since));
        oldest.map(|place| drop(place.idle.remove(0))).is_some()
    }

    /// Opens a connection; its place among the open ones is taken already.
    async fn dial(self: &Rc<Self>, server: ServerId, address: SocketAddr, epoch: u64) -> Delivery {
        let connected = timeout(self.connect_timeout, TcpStream::connect(address)).await;
        let opened = match connected {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                let opened = http1::Builder::new().max_buf_size(READ_BUFFER).handshake(TokioIo::new(stream));
                opened.await.map_err(|_| Outcome::ConnectFailed)
            }
            // This node's own want of descriptors or ports says nothing of the backend.
            Ok(Err(e)) if matches!(e.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL)) => {
                log(format_args!("cannot dial: {e}"));
                self.close_longest_idle();
                Err(Outcome::NotSent)
            }
            Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed),
        };
        let (sender, connection) = match opened {
            Ok(opened) => opened,
            Err(outcome) => {
                self.open.set(self.open.get() - 1);
                return Err(outcome);
            }
        };
        let task = spawn_local(async move {
            let _ = connection.await; // its end shows in the request on it
        });
        Ok(Connection { server, epoch, sender, task: task.abort_handle(), open: self.open.clone() })
    }

    fn dialled(&self, server: ServerId, dialled: Delivery) {
        if let Some(place) = self.places.borrow_mut().get_mut(&server) {
            place.dialling -= 1;
        }
        let failed = match dialled {
            Ok(connection) => {
                self.put(connection);
                Outcome::NotSent // it led to where the backend no longer is: no fault of the backend's
            }
            Err(outcome) => outcome,
        };
        if let Some(place) = self.places.borrow_mut().get_mut(&server) {
            // More wait than dials can serve: the longest waiting learns that its dial has failed.
            place.waiting.retain(|waiting| !waiting.is_closed());
            while place.waiting.len() > place.dialling {
                let Some(waiting) = place.waiting.pop_front() else { break };
                let _ = waiting.send(Err(failed));
            }
        }
    }

    /// Gives a free connection to whoever has waited longest, or keeps it: a dial that came too late serves
    /// the next request.
    fn put(&self, mut connection: Connection) {
        let mut places = self.places.borrow_mut();
        let Some(place) = places.get_mut(&connection.server) else { return };
        if connection.sender.is_closed() || connection.epoch != place.epoch {
            return;
        }
        while let Some(waiting) = place.waiting.pop_front() {
            match waiting.send(Ok(connection)) {
                Err(Ok(back)) => connection = back,
                _ => return,
            }
        }
        place.idle.push((connection, self.clock.now()));
    }

    /// Makes an attempt, until it ends or is stopped.
    pub async fn attempt(self: Rc<Self>, attempt: Attempt, stopped: oneshot::Receiver<Stop>) -> Ended {
        let written = Cell::new(false);
        let (outcome, report, body) = tokio::select! {
            biased;
            ended = self.exchange(&attempt, &written) => ended,
            // The exchange is dropped, and its connection closes.
            stop = stopped => (match stop {
                _ if !written.get() => Outcome::NotSent,
                Ok(Stop::TimedOut) => Outcome::TimedOut,
                Ok(Stop::Cancelled) | Err(_) => Outcome::Cancelled,
            }, None, None),
        };
        Ended { id: attempt.id, number: attempt.number, outcome, report, body }
    }

    async fn exchange(
        self: &Rc<Self>,
        attempt: &Attempt,
        written: &Cell<bool>,
    ) -> (Outcome, Option<LoadReport>, Option<Bytes>) {
        for _ in 0..BROKEN_IN_A_ROW {
            let mut connection = match self.take(attempt.server).await {
                Ok(connection) => connection,
                Err(outcome) => return (outcome, None, None),
            };
            if connection.sender.ready().await.is_err() {
                continue;
            }
            // Time has passed since the decision: what was permitted then may not be any more.
            let Some(request) = self.request(attempt) else {
                self.put(connection);
                return (Outcome::NotSent, None, None);
            };
            written.set(true);
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.answered(attempt.server, connection, response).await,
                // Given back: not a byte of it was written, so another connection may have it.
                Err(mut e) => match e.take_message() {
                    Some(_) => written.set(false),
                    None => return (broken(e.error()), None, None),
                },
            }
        }
        (Outcome::ConnectFailed, None, None)
    }

    /// The request as it is written now, if it may still be: not past its time, the backend's grace or the
    /// window in which backends drop its repeats, and not once it has its answer.
    fn request(&self, attempt: &Attempt) -> Option<Request<Full<Bytes>>> {
        let (now, forward) = (self.clock.now(), &attempt.forward);
        let places = self.places.borrow();
        let place = places.get(&attempt.server)?;
        let forgotten =
            forward.window.zip(forward.first_byte.get()).is_some_and(|(w, first)| now >= first + w);
        let drained = place.told.is_some_and(|told| now >= told + self.drain_grace);
        if forward.over.get() || now >= attempt.until || drained || forgotten {
            return None;
        }
        let left = (attempt.until - now).as_millis().max(1) as u64;
        let mut request = Request::new(Full::new(forward.body.clone()));
        *request.method_mut() = forward.method.clone();
        *request.uri_mut() = forward.path.clone().into();
        let headers = request.headers_mut();
        headers.insert(HOST, host(place.address?));
        headers.insert("x-call-id", forward.call_id.clone());
        headers.insert("x-budget-ms", left.into());
        if let Some(key) = &forward.idempotency_key {
            headers.insert("idempotency-key", key.clone());
        }
        if forward.first_byte.get().is_none() {
            forward.first_byte.set(Some(now));
        }
        Some(request)
    }

    /// Reads the answer whole, so that a broken one is still an outcome and not a half answer to the client.
    async fn answered(
        &self,
        server: ServerId,
        connection: Connection,
        response: Response<Incoming>,
    ) -> (Outcome, Option<LoadReport>, Option<Bytes>) {
        let (head, body) = response.into_parts();
        let report = self.report_in(&head.headers);
        let body = match Limited::new(body, BODY_LIMIT).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => {
                log(format_args!("server {:x}: an answer over {BODY_LIMIT} bytes was dropped", server.0));
                return (Outcome::Error, report, None);
            }
            Err(e) => return (e.downcast_ref().map_or(Outcome::Reset, broken), None, None),
        };
        self.put(connection);
        let turned_away = head.headers.get("x-rejected").is_some_and(|value| value == "1");
        match head.status {
            StatusCode::OK => (Outcome::Served, report, Some(body)),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
                (Outcome::Rejected, report, None)
            }
            // Nothing else promises that the request never ran.
            _ => (Outcome::Error, report, None),
        }
    }

    /// Asks a backend for its load, or for a sign of life where it reports none.
    pub async fn probe(self: Rc<Self>, server: ServerId) -> (Outcome, Option<LoadReport>) {
        timeout(PROBE_TIMEOUT, self.probed(server)).await.unwrap_or((Outcome::TimedOut, None))
    }

    async fn probed(self: &Rc<Self>, server: ServerId) -> (Outcome, Option<LoadReport>) {
        let mut connection = match self.take(server).await {
            Ok(connection) => connection,
            Err(outcome) => return (outcome, None),
        };
        let mut request = Request::new(Full::default());
        *request.method_mut() = Method::GET;
        let reports = self.reports != ReportSource::None;
        *request.uri_mut() = hyper::Uri::from_static(if reports { "/stats" } else { "/health/live" });
        let address = self.places.borrow().get(&server).and_then(|place| place.address);
        let Some(address) = address else { return (Outcome::NotSent, None) };
        request.headers_mut().insert(HOST, host(address));
        let response = match connection.sender.send_request(request).await {
            Ok(response) => response,
            Err(e) => return (broken(&e), None),
        };
        let (outcome, in_head, body) = self.answered(server, connection, response).await;
        let in_body = || {
            let body = body.filter(|_| reports)?;
            self.report(std::str::from_utf8(&body).ok()?)
        };
        (outcome, in_body().or(in_head))
    }

    fn report_in(&self, headers: &HeaderMap) -> Option<LoadReport> {
        let value = headers.get("x-load-report").filter(|_| self.reports != ReportSource::None)?;
        let report = value.to_str().ok().and_then(|text| self.report(text));
        if report.is_none() {
            log(format_args!("a malformed load report was dropped: {value:?}"));
        }
        report
    }

    /// Reads `inflight=7,queue=2`; `None` unless all of it reads as told.
    fn report(&self, text: &str) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for field in text.trim().split(',') {
            let (name, value) = field.split_once('=')?;
            let column = Column::on_sockets(name.trim());
            let value: f32 = value.trim().parse().ok().filter(|v: &f32| v.is_finite() && *v >= 0.0)?;
            if self.columns.contains(&column) {
                column.set(&mut report, value);
            }
        }
        Some(report)
    }
}

/// What an answer that did not come whole says of its backend. Where the connection ended, the process may have
/// died. Where the bytes made no sense, something answers there: one such answer is a failure like another, and
/// no reason to leave the backend out.
fn broken(error: &hyper::Error) -> Outcome {
    let cause = std::error::Error::source(error).and_then(|cause| cause.downcast_ref::<io::Error>());
    let nonsense = |cause: &io::Error| matches!(cause.kind(), InvalidInput | InvalidData);
    if error.is_parse() || cause.is_some_and(nonsense) { Outcome::Error } else { Outcome::Reset }
}

fn host(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("backend"))
}

/// An attempt that waits for a connection. One that was delivered but not fetched goes back to the pool: it
/// has cost its backend a handshake.
struct Waiter<'a> {
    pool: &'a Pool,
    deliver: oneshot::Receiver<Delivery>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.deliver.close();
        if let Ok(Ok(connection)) = self.deliver.try_recv() {
            self.pool.put(connection);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use hillpick::ServerEntry;
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpListener;
    use tokio::task::LocalSet;

    const CONFIG: &str = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
        "settings": {"Classes": [{"Name": "read", "Target": 1, "GiveUp": 1, "Idempotency": "free"}],
        "Rules": {"DrainGrace": 0}}}"#;
    const SERVER: ServerId = ServerId(1);
    const MINUTE: Duration = Duration::from_secs(60);

    /// A pool that knows one backend, which listens.
    fn with_pool<T>(test: impl AsyncFnOnce(Rc<Pool>, TcpListener, Backend) -> T) -> T {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let pool = Pool::start(Clock::start(), &Config::parse(CONFIG).expect("good"));
            let entry = ServerEntry { id: SERVER, state: ServerState::Ready, ..ServerEntry::default() };
            let backend = Backend { entry, address: listener.local_addr().expect("its address") };
            pool.update(ListKind::Full, std::slice::from_ref(&backend), pool.clock.now());
            test(pool, listener, backend).await
        })
    }

    /// Makes an attempt that something has overtaken since it was decided on; returns how it ended and what
    /// its backend was sent.
    fn overtaken(by: impl FnOnce(&Pool, &mut Attempt, Backend, Duration)) -> (Outcome, String) {
        with_pool(async |pool, listener, backend| {
            let now = pool.clock.now();
            let forward = Forward {
                method: Method::POST,
                path: hyper::http::uri::PathAndQuery::from_static("/submit/1"),
                call_id: HeaderValue::from_static("1"),
                idempotency_key: None,
                body: Bytes::new(),
                deadline: now + MINUTE,
                window: Some(MINUTE),
                first_byte: Cell::new(None),
                over: Cell::new(false),
            };
            let (until, forward) = (now + MINUTE, Rc::new(forward));
            let mut attempt = Attempt { id: RequestId(1), number: 0, server: SERVER, until, forward };
            by(&pool, &mut attempt, backend, now);
            let (_stop, stopped) = oneshot::channel();
            let served = spawn_local(async move {
                let (mut stream, _) = listener.accept().await.expect("a dial");
                let mut sent = [0; 15];
                let read = stream.read(&mut sent).await.unwrap_or_default();
                String::from_utf8_lossy(&sent[..read]).into_owned()
            });
            let ended = pool.clone().attempt(attempt, stopped).await;
            pool.close_idle(SERVER);
            (ended.outcome, served.await.expect("the backend's part"))
        })
    }

    /// How many connections to the backend are idle in the pool.
    fn idle(pool: &Pool) -> usize {
        pool.places.borrow().get(&SERVER).map_or(0, |place| place.idle.len())
    }

    #[test]
    fn who_waits_for_a_dial_takes_what_falls_free_and_the_late_dial_is_kept() {
        with_pool(async |pool, _listener, _| {
            let first = pool.take(SERVER).await.expect("a connection");
            let freed = first.task.id();
            let mut second = std::pin::pin!(pool.take(SERVER));
            tokio::select! {
                biased;
                _ = &mut second => panic!("the dial has not been up yet"),
                () = std::future::ready(()) => pool.put(first),
            }
            let taken = second.await.expect("a connection");
            assert_eq!(taken.task.id(), freed);
            while idle(&pool) == 0 {
                tokio::task::yield_now().await;
            }
            let late = pool.take(SERVER).await.expect("a connection");
            assert_ne!(late.task.id(), freed);
            assert_eq!(pool.open.get(), 2, "nothing further was dialled");
        });
    }

    #[test]
    fn a_connection_delivered_to_who_has_left_goes_back_to_the_pool() {
        with_pool(async |pool, _listener, _| {
            let first = pool.take(SERVER).await.expect("a connection");
            let freed = first.task.id();
            let mut second = Box::pin(pool.take(SERVER));
            tokio::select! {
                biased;
                _ = &mut second => panic!("the dial has not been up yet"),
                () = std::future::ready(()) => pool.put(first),
            }
            assert_eq!(idle(&pool), 0);
            drop(second);
            assert_eq!(idle(&pool), 1);
            assert_eq!(pool.take(SERVER).await.ok().map(|back| back.task.id()), Some(freed));
        });
    }

    #[test]
    fn an_attempt_that_nothing_has_overtaken_is_written() {
        assert_eq!(overtaken(|_, _, _, _| {}), (Outcome::Reset, "POST /submit/1 ".to_owned()));
    }

    #[test]
    fn what_was_overtaken_while_it_waited_for_a_connection_is_never_sent() {
        let nothing = || (Outcome::NotSent, String::new());
        let late = overtaken(|_, attempt, _, now| attempt.until = now);
        assert_eq!(late, nothing(), "its time is over");
        let over = overtaken(|_, attempt, _, _| attempt.forward.over.set(true));
        assert_eq!(over, nothing(), "the request has its answer");
        let forgotten =
            overtaken(|_, attempt, _, now| attempt.forward.first_byte.set(Some(now - 2 * MINUTE)));
        assert_eq!(forgotten, nothing(), "backends have forgotten the first attempt of a keyed request");
        let drained = overtaken(|pool, _, mut backend, now| {
            backend.entry.state = ServerState::Draining;
            pool.update(ListKind::Changes, &[backend], now);
        });
        assert_eq!(drained, nothing(), "the grace after the news of a drain is over");
    }
}
