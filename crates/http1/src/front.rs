//! The clients' side: keeps their connections, takes requests, and writes the final answers that the node gives.

use crate::request::{self, Bad};
use crate::socket::Socket;
use bytes::Bytes;
use hillpick::settings::Site;
use hillpick::{NewRequest, Repeat};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use sillward_core::{Answer, BODY_LIMIT, Budget, Call, Content, Intake, READ_BUFFER};
use sillward_log::{log, log_peer};
use sillward_seam::net::{TcpListener, TcpStream};
use sillward_seam::task::spawn_local;
use sillward_seam::time::{Instant, sleep, timeout};
use sillward_seam::{Handle, Stream};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// After SIGTERM new connections go on coming for up to 0.4 s: so long they are accepted, and a little more.
const ACCEPT_ON: Duration = Duration::from_millis(450);
/// Then what was accepted last has so long to send its request before idle connections are closed.
const LAST_WORDS: Duration = Duration::from_millis(100);
/// How long a client may take from its connection, or from the first byte of a later request, to the last byte
/// of a request: who takes longer waits for no answer. Whoever is bad is rid of in 3 s, watch and all.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection on which no request is open is kept for so long: its client may ask again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A connection that was told to close, and has no request open, is closed from here after that.
const LINGER: Duration = Duration::from_secs(1);
/// How often connections are looked over for these times.
const WATCH: Duration = Duration::from_millis(100);
/// How much of a body is read on after its request was turned down.
const READ_PAST: usize = 16 * BODY_LIMIT;
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

struct Client {
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
    fn close(&self) {
        self.stage.set(Stage::Closing(Instant::now()));
        self.close.notify_one();
    }

    /// Ends or closes it if its time is up. A request whose rest has come, and only waits to be read since this
    /// node was held up itself, is owed its answer: bytes that wait to be read are a reason to wait.
    fn look(&self, now: Instant) {
        let begun = if self.asked.get() { self.socket.heard() } else { Some(self.accepted) };
        let late = begun.is_some_and(|begun| now > begun + READ_TIMEOUT);
        match self.stage.get() {
            Stage::Closing(since) if now > since + LINGER => self.end.notify_one(),
            Stage::Idle(_) if late && self.socket.is_quiet() => self.end.notify_one(),
            Stage::Idle(since) if !late && now > since + IDLE_TIMEOUT => self.close(),
            _ => {}
        }
    }

    /// If no request is open or begun: whether it has ever asked, and since when it has been idle. In this order
    /// they make room: a crowd of the silent takes no place from those that are served.
    fn idle(&self) -> Option<(bool, Instant)> {
        match self.stage.get() {
            Stage::Idle(since) if self.socket.heard().is_none() => Some((self.asked.get(), since)),
            _ => None,
        }
    }
}

pub struct Front {
    site: Site,
    intake: Intake,
    ready: Rc<Cell<bool>>,
    closing: Cell<bool>,
    /// The last number that a connection was given.
    numbers: Cell<u64>,
    longest_deadline: Duration,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    most_clients: usize,
    /// Room for bodies, requests' and answers'.
    budget: Budget,
    /// The X-Call-Ids of the requests that have no answer yet.
    open: RefCell<HashSet<HeaderValue>>,
    /// A connection that is accepted, and waits for another to make room. It outlives a cancelled accept:
    /// it may hold a request.
    waiting: RefCell<Option<TcpStream>>,
    left: Notify,
}

impl Front {
    pub fn new(
        intake: Intake,
        site: Site,
        most_clients: usize,
        budget: Budget,
        ready: Rc<Cell<bool>>,
    ) -> Rc<Self> {
        let longest_deadline = site.settings.classes.iter().map(|class| class.deadline).max();
        Rc::new(Front {
            intake,
            site,
            ready,
            closing: Cell::new(false),
            numbers: Cell::new(0),
            longest_deadline: longest_deadline.unwrap_or_default(),
            clients: RefCell::default(),
            most_clients,
            budget,
            open: RefCell::default(),
            waiting: RefCell::default(),
            left: Notify::new(),
        })
    }

    /// Serves clients until `stop`, then ends in good order.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let watched = self.clone();
        spawn_local(async move {
            loop {
                sleep(WATCH).await;
                let now = Instant::now();
                watched.clients.borrow().values().for_each(|client| client.look(now));
            }
        });
        tokio::select! {
            () = self.accept(&listener) => {}
            () = stop => {}
        }
        log("told to stop: unready, finishing what is held");
        self.closing.set(true);
        let _ = timeout(ACCEPT_ON, self.accept(&listener)).await;
        self.serve_waiting();
        // A connection that waits in the queue may hold a request already: closing the listener would reset it.
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
            self.serve(stream);
        }
        drop(listener);
        sleep(LAST_WORDS).await;
        self.clients.borrow().values().for_each(|client| client.close.notify_one());
        let all_left = async {
            while !self.clients.borrow().is_empty() {
                self.left.notified().await;
            }
        };
        // Every request has its answer by its deadline; who is left then has sent half a request at most.
        if timeout(self.longest_deadline, all_left).await.is_err() {
            log("a client would not end its connection");
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
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
            while self.waiting.borrow().is_some() && self.clients.borrow().len() >= self.most_clients {
                self.make_room();
                let _ = timeout(ACCEPT_PAUSE, self.left.notified()).await;
            }
            self.serve_waiting();
        }
    }

    fn serve_waiting(self: &Rc<Self>) {
        let waiting = self.waiting.borrow_mut().take();
        waiting.into_iter().for_each(|stream| self.serve(stream));
    }

    /// Between requests a node may close a connection: the first that has nothing to say.
    fn make_room(&self) {
        let (clients, now) = (self.clients.borrow(), Instant::now());
        let closing = clients.values().filter_map(|client| match client.stage.get() {
            Stage::Closing(since) => Some((since, client)),
            _ => None,
        });
        match closing.min_by_key(|(since, _)| *since) {
            // It will leave by itself in a moment, or it has had its moment.
            Some((since, client)) if now > since + ACCEPT_PAUSE => return client.end.notify_one(),
            Some(_) => return,
            None => {}
        }
        let mut idle: Vec<_> =
            clients.values().filter_map(|client| client.idle().map(|order| (order, client))).collect();
        idle.sort_unstable_by_key(|(order, _)| *order);
        if let Some((_, client)) = idle.into_iter().find(|(_, client)| client.socket.is_quiet()) {
            client.close();
        }
    }

    fn serve(self: &Rc<Self>, stream: TcpStream) {
        let (stream, handle) = Stream::new(stream);
        let now = Instant::now();
        let client = Rc::new(Client {
            socket: handle,
            accepted: now,
            asked: Cell::new(false),
            stage: Cell::new(Stage::Idle(now)),
            close: Notify::new(),
            end: Notify::new(),
        });
        let number = self.next();
        self.clients.borrow_mut().insert(number, client.clone());
        let front = self.clone();
        spawn_local(async move {
            let service = service_fn(|request| front.clone().respond(&client, request));
            let connection = http1::Builder::new()
                // Its time-out would run on idle connections too: `Client::look` tells them apart.
                .header_read_timeout(None)
                .max_buf_size(READ_BUFFER)
                .serve_connection(Socket(stream), service);
            let mut connection = std::pin::pin!(connection);
            let polite = async {
                // Biased: a request that has come is read before the connection is told to close.
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => {}
                    () = client.close.notified() => {
                        connection.as_mut().graceful_shutdown();
                        let _ = connection.await;
                    }
                }
            };
            tokio::select! {
                biased;
                () = polite => {}
                () = client.end.notified() => {}
            }
            front.clients.borrow_mut().remove(&number);
            front.left.notify_one();
        });
    }

    fn next(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    async fn respond(
        self: Rc<Self>,
        client: &Client,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        // The first request's time runs from the accept, a later one's from its first byte.
        let begun = if client.asked.replace(true) { client.socket.heard() } else { Some(client.accepted) };
        let until = begun.unwrap_or_else(Instant::now) + READ_TIMEOUT;
        client.stage.set(Stage::Open);
        let (mut response, last) = match self.handle(request, until).await {
            Ok(response) => (response, self.closing.get()),
            // After what is malformed nobody can tell where the next request begins.
            Err((status, text)) => (plain(status, Bytes::from_static(text.as_bytes())), true),
        };
        client.socket.listen_anew();
        let now = Instant::now();
        client.stage.set(if last { Stage::Closing(now) } else { Stage::Idle(now) });
        if self.clients.borrow().len() >= self.most_clients {
            self.left.notify_one(); // whoever waits to come in finds this one idle
        }
        if last {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    async fn handle(&self, request: Request<Incoming>, until: Instant) -> Result<Response<Full<Bytes>>, Bad> {
        let (head, body) = request.into_parts();
        let ready_asked = head.uri.path() == "/health/ready";
        let checked = match request::length(&head, &body) {
            Ok(_) if ready_asked => {
                let ready = self.ready.get() && !self.closing.get();
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                return Ok(plain(status, Bytes::new()));
            }
            Ok(length) => request::check(&self.site, head, length),
            Err(bad) => Err(bad),
        };
        let request = match checked {
            Ok(request) => request,
            Err(bad) => {
                spawn_local(request::drain(body, READ_PAST, Instant::now() + LINGER / 2));
                return Err(bad);
            }
        };
        let Some(room) = self.budget.lease(request.length) else {
            log_peer("no room for a request's body: refused");
            return Ok(refusal(self.site.settings.limits.max_retry_after));
        };
        let body = request::read(body, request.length, room, until).await?;
        let at = self.intake.clock().now();
        // Its own, or another client's: that one's attempts must not be taken for this one's.
        let Some(_open) = Open::enter(&self.open, &request.call_id) else {
            return Err((StatusCode::CONFLICT, "a request with this X-Call-Id is open"));
        };
        let new = NewRequest {
            class: request.class,
            tenant: request.tenant,
            key: request.key,
            remaining: request.budget,
            cost: request.cost,
            client_retry: request.client_retry,
            ..NewRequest::default()
        };
        let bytes = |value: &HeaderValue| Bytes::copy_from_slice(value.as_bytes());
        let call = Call {
            class: request.class,
            safe: self.site.settings.classes[request.class].repeat == Repeat::Safe,
            target: Bytes::copy_from_slice(request.path.as_str().as_bytes()),
            call_id: bytes(&request.call_id),
            idempotency_key: request.idempotency_key.as_ref().map(bytes),
            content: Content::plain(body),
            judge: None,
            answered: true,
            deadline: at + request.budget,
            window: request.window,
            first_byte: Cell::new(None),
            over: Cell::new(false),
            out: Cell::new(0),
        };
        let Some(answer) = self.intake.submit(new, call, at).await else {
            return Ok(plain(StatusCode::BAD_GATEWAY, Bytes::new()));
        };
        Ok(match answer {
            Answer::Served(content) => plain(StatusCode::OK, content.bytes),
            Answer::Refused(after) => refusal(after),
            Answer::Failed => plain(StatusCode::BAD_GATEWAY, Bytes::new()),
            Answer::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
        })
    }
}

/// An X-Call-Id that is open, until this is dropped.
struct Open<'a> {
    all: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> Open<'a> {
    fn enter(all: &'a RefCell<HashSet<HeaderValue>>, id: &HeaderValue) -> Option<Self> {
        all.borrow_mut().insert(id.clone()).then(|| Open { all, id: id.clone() })
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
    }
}

fn refusal(after: Option<Duration>) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let after = after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(Ok(after)) = after.map(HeaderValue::try_from) {
        response.headers_mut().insert(RETRY_AFTER, after);
    }
    response
}

fn plain(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
