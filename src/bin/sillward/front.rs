//! The clients' side: takes requests, checks them, and writes the final answers that the node gives.

use crate::Clock;
use crate::backend::BODY_LIMIT;
use crate::config::Config;
use crate::log;
use crate::node::{Answer, Forward, Message, Taken};
use bytes::{Bytes, BytesMut};
use hillpick::settings::Site;
use hillpick::{NewRequest, Repeat, RequestId};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// After SIGTERM new connections go on coming for up to 0.4 s: so long they are accepted, and a little more.
const ACCEPT_ON: Duration = Duration::from_millis(450);
/// Then what was accepted last has so long to send its request before idle connections are closed.
const LAST_WORDS: Duration = Duration::from_millis(100);
/// A head or a body that takes longer comes from nobody who still waits for an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How much of a body that is too long is read, so that its sender sees the answer and not a reset.
const READ_PAST_LIMIT: usize = 16 * BODY_LIMIT;
/// What a connection may buffer: no head is longer.
const READ_BUFFER: usize = 32 * 1024;
/// After an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_BUDGET_MS: u64 = 600_000;
const LONGEST_ID: usize = 256;

struct Client {
    /// Since when no request of it is held.
    idle: Cell<Option<Instant>>,
    close: Notify,
}

pub struct Front {
    clock: Clock,
    site: Site,
    messages: mpsc::Sender<Message>,
    ready: Rc<Cell<bool>>,
    closing: Cell<bool>,
    /// The last number that a request or a connection was given.
    numbers: Cell<u64>,
    longest_deadline: Duration,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    most_clients: usize,
    /// A connection that is accepted, and waits for another to make room. It outlives a cancelled accept:
    /// it may hold a request.
    waiting: RefCell<Option<TcpStream>>,
    left: Notify,
}

/// Why a request is turned down without being taken: a 4xx, which promises nothing.
type Bad = (StatusCode, &'static str);

impl Front {
    pub fn new(
        clock: Clock,
        config: &Config,
        messages: mpsc::Sender<Message>,
        ready: Rc<Cell<bool>>,
    ) -> Rc<Self> {
        let classes = config.site.settings.classes.iter();
        Rc::new(Front {
            clock,
            site: config.site.clone(),
            messages,
            ready,
            closing: Cell::new(false),
            numbers: Cell::new(0),
            longest_deadline: classes.map(|class| class.deadline).max().unwrap_or_default(),
            clients: RefCell::default(),
            most_clients: config.client_connections,
            waiting: RefCell::default(),
            left: Notify::new(),
        })
    }

    /// Serves clients until `stop`, then ends in good order.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
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
                        log(format_args!("cannot accept: {e}"));
                        self.close_longest_idle();
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
            while self.waiting.borrow().is_some() && self.clients.borrow().len() >= self.most_clients {
                // Between requests a node may close a connection: the longest idle one makes room.
                self.close_longest_idle();
                self.left.notified().await;
            }
            self.serve_waiting();
        }
    }

    fn serve_waiting(self: &Rc<Self>) {
        let waiting = self.waiting.borrow_mut().take();
        waiting.into_iter().for_each(|stream| self.serve(stream));
    }

    fn close_longest_idle(&self) {
        let clients = self.clients.borrow();
        let idle = clients.values().filter(|client| client.idle.get().is_some());
        if let Some(client) = idle.min_by_key(|client| client.idle.get()) {
            client.close.notify_one();
        }
    }

    fn serve(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let client = Rc::new(Client { idle: Cell::new(Some(Instant::now())), close: Notify::new() });
        let number = self.next();
        self.clients.borrow_mut().insert(number, client.clone());
        let front = self.clone();
        spawn_local(async move {
            let service = service_fn(|request| front.clone().respond(&client, request));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(READ_TIMEOUT * 6)
                .max_buf_size(READ_BUFFER)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            // Biased: a request that has come is read before the connection is told to close.
            tokio::select! {
                biased;
                _ = connection.as_mut() => {}
                () = client.close.notified() => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
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
        client.idle.set(None);
        let mut response = match self.handle(request).await {
            Ok(response) => response,
            Err((status, text)) => plain(status, Bytes::from_static(text.as_bytes())),
        };
        client.idle.set(Some(Instant::now()));
        if self.clients.borrow().len() >= self.most_clients {
            self.left.notify_one(); // whoever waits to come in finds this one idle
        }
        if self.closing.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Bad> {
        let (head, body) = request.into_parts();
        // Read whole before anything is said: an answer over an unread body would end as a reset.
        let body = read(body).await;
        let at = self.clock.now();
        if head.uri.path() == "/health/ready" {
            let ready = self.ready.get() && !self.closing.get();
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return Ok(plain(status, Bytes::new()));
        }
        let (new, forward) = self.check(head, body?, at)?;
        let (reply, answer) = oneshot::channel();
        // The place for the news that the client has left is kept now: a drop can't wait for one.
        let Ok(place) = self.messages.clone().reserve_owned().await else {
            return Ok(plain(StatusCode::BAD_GATEWAY, Bytes::new()));
        };
        let mut gone = Gone { id: new.id, place: Some(place) };
        let taken = Box::new(Taken { new, at, forward, reply });
        if self.messages.send(Message::Request(taken)).await.is_err() {
            return Ok(plain(StatusCode::BAD_GATEWAY, Bytes::new()));
        }
        let answer = answer.await.unwrap_or(Answer::Failed);
        gone.place = None;
        Ok(match answer {
            Answer::Served(body) => plain(StatusCode::OK, body),
            Answer::Refused(after) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
                let after = after.map(|after| format!("{:.3}", after.as_secs_f64()));
                if let Some(Ok(after)) = after.map(HeaderValue::try_from) {
                    response.headers_mut().insert(RETRY_AFTER, after);
                }
                response
            }
            Answer::Failed => plain(StatusCode::BAD_GATEWAY, Bytes::new()),
            Answer::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
        })
    }

    /// Reads a request as the protocol words it. What does not fit never reaches a backend.
    fn check(&self, head: Parts, body: Bytes, at: Duration) -> Result<(NewRequest, Forward), Bad> {
        const BAD: StatusCode = StatusCode::BAD_REQUEST;
        let path = head.uri.path_and_query().ok_or((BAD, "no path"))?.clone();
        let mut parts = path.path().strip_prefix('/').ok_or((BAD, "no path"))?.split('/');
        let name = parts.next().unwrap_or_default();
        let class = self.site.class_names.iter().position(|known| known == name);
        let class = class.ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
        let key = parts.next_back().filter(|key| !key.is_empty()).map_or(0, key_number);
        let terms = &self.site.settings.classes[class];

        let idempotency_key = head.headers.get("idempotency-key").cloned();
        let method = if terms.repeat == Repeat::Safe { Method::GET } else { Method::POST };
        if head.method != method {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "wrong method for this class"));
        }
        if method == Method::GET && !body.is_empty() {
            return Err((BAD, "a body where none belongs"));
        }
        let window = match terms.repeat {
            Repeat::Keyed { window, .. } if idempotency_key.is_some() => Some(window),
            Repeat::Keyed { .. } => return Err((BAD, "no Idempotency-Key")),
            _ => None,
        };
        let call_id = head.headers.get("x-call-id").filter(|id| (1..=LONGEST_ID).contains(&id.len()));
        let call_id = call_id.ok_or((BAD, "no X-Call-Id"))?.clone();
        let budget = text(&head.headers, "x-budget-ms").and_then(|text| text.parse::<u64>().ok());
        let budget = budget.filter(|ms| (1..=LONGEST_BUDGET_MS).contains(ms));
        let remaining = Duration::from_millis(budget.ok_or((BAD, "no X-Budget-Ms that makes sense"))?);
        let caller = text(&head.headers, "x-caller");
        let tenant = self.site.tenant_names.iter().position(|known| Some(known.as_str()) == caller);
        if tenant.is_none() && !self.site.tenant_names.is_empty() {
            return Err((StatusCode::FORBIDDEN, "unknown tenant"));
        }
        let cost = text(&head.headers, "x-call-cost").and_then(|text| text.parse().ok());
        let new = NewRequest {
            id: RequestId(self.next()),
            class,
            tenant: tenant.unwrap_or_default(),
            key,
            remaining,
            cost: cost.map(Duration::from_micros),
            client_retry: head.headers.get("x-again").is_some_and(|value| value == "1"),
        };
        let forward = Forward {
            method,
            path,
            call_id,
            idempotency_key,
            body,
            deadline: at + remaining,
            window,
            first_byte: Cell::new(None),
            over: Cell::new(false),
        };
        Ok((new, forward))
    }
}

/// A client that leaves drops the future that serves it, and this with it.
struct Gone {
    id: RequestId,
    place: Option<mpsc::OwnedPermit<Message>>,
}

impl Drop for Gone {
    fn drop(&mut self) {
        if let Some(place) = self.place.take() {
            place.send(Message::ClientGone(self.id));
        }
    }
}

async fn read(mut body: Incoming) -> Result<Bytes, Bad> {
    let (mut whole, mut length) = (BytesMut::new(), 0);
    let until = Instant::now() + READ_TIMEOUT;
    while let Some(frame) =
        timeout_at(until, body.frame()).await.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "too slow"))?
    {
        let frame = frame.map_err(|_| (StatusCode::BAD_REQUEST, "broken body"))?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        if length > READ_PAST_LIMIT {
            break;
        } else if length <= BODY_LIMIT {
            whole.extend_from_slice(&data);
        }
    }
    if length > BODY_LIMIT {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"));
    }
    Ok(whole.freeze())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// What a request is about, as the module's number: the same text gives the same number at every node.
fn key_number(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}

fn plain(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
