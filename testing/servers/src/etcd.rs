//! A stand-in etcd, from the public proto files: Range, Put, DeleteRange, Compact, leases, Watch with progress,
//! fragments and cancel reasons, and on cue: compacts, restarts empty or older, stalls, answers slowly, splits and
//! repeats events.

use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{HeaderMap, HeaderValue, Request, Response};
use prost::Message;
use sillward_etcd::proto::*;
use sillward_etcd::{EtcdError, FrameDecoder, GrpcConnection, encode_frame};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// A value, and the revision that made it; none where the key was deleted.
#[derive(Clone)]
struct Version {
    revision: i64,
    value: Option<(Bytes, i64, i64)>,
}

struct Store {
    cluster: u64,
    revision: i64,
    compacted: i64,
    keys: BTreeMap<Bytes, Vec<Version>>,
    leases: BTreeMap<i64, Instant>,
    next_lease: i64,
}

impl Store {
    fn new(cluster: u64) -> Self {
        let (keys, leases) = (BTreeMap::new(), BTreeMap::new());
        Store {
            cluster,
            revision: 1,
            compacted: 0,
            keys,
            leases,
            next_lease: 1,
        }
    }

    fn header(&self) -> Option<ResponseHeader> {
        Some(ResponseHeader {
            cluster_id: self.cluster,
            member_id: 1,
            revision: self.revision,
            raft_term: 1,
        })
    }

    fn put(&mut self, key: Bytes, value: Bytes, lease: i64) {
        self.revision += 1;
        let revision = self.revision;
        let versions = self.keys.entry(key).or_default();
        let created = versions
            .last()
            .and_then(|v| v.value.as_ref().map(|(_, created, _)| *created));
        versions.push(Version {
            revision,
            value: Some((value, created.unwrap_or(revision), lease)),
        });
    }

    /// All in one revision, as etcd does it.
    fn delete(&mut self, keys: &[Bytes]) -> bool {
        let live = |key: &&Bytes| {
            self.keys
                .get(*key)
                .is_some_and(|v| v.last().is_some_and(|v| v.value.is_some()))
        };
        let keys: Vec<Bytes> = keys.iter().filter(live).cloned().collect();
        if keys.is_empty() {
            return false;
        }
        self.revision += 1;
        for key in keys {
            self.keys.entry(key).or_default().push(Version {
                revision: self.revision,
                value: None,
            });
        }
        true
    }

    fn range(&self, key: &[u8], end: &[u8]) -> Vec<Bytes> {
        let within = |k: &&Bytes| match end {
            [] => &k[..] == key,
            [0] => &k[..] >= key,
            end => &k[..] >= key && &k[..] < end,
        };
        self.keys.keys().filter(within).cloned().collect()
    }

    fn at(&self, key: &Bytes, revision: i64) -> Option<KeyValue> {
        let version = self
            .keys
            .get(key)?
            .iter()
            .rev()
            .find(|version| version.revision <= revision)?;
        let (value, create_revision, lease) = version.value.clone()?;
        Some(KeyValue {
            key: key.clone(),
            value,
            create_revision,
            mod_revision: version.revision,
            lease,
            ..KeyValue::default()
        })
    }

    /// Events in a range of keys, from a revision on, by revision.
    fn events(&self, key: &[u8], end: &[u8], from: i64) -> Vec<Event> {
        let mut events = Vec::new();
        for key in self.range(key, end) {
            for version in self.keys[&key]
                .iter()
                .filter(|version| version.revision >= from)
            {
                let kind = if version.value.is_some() {
                    EventType::Put
                } else {
                    EventType::Delete
                };
                let kv = match &version.value {
                    Some(_) => self.at(&key, version.revision),
                    None => Some(KeyValue {
                        key: key.clone(),
                        mod_revision: version.revision,
                        ..KeyValue::default()
                    }),
                };
                events.push(Event {
                    r#type: kind as i32,
                    kv,
                });
            }
        }
        events.sort_by_key(event_revision);
        events
    }

    fn responses_by_revision(&self, events: &[Event]) -> Vec<WatchResponse> {
        let response = |events: &[Event]| WatchResponse {
            header: self.header(),
            events: events.to_vec(),
            ..WatchResponse::default()
        };
        events
            .chunk_by(|one, next| event_revision(one) == event_revision(next))
            .map(response)
            .collect()
    }
}

fn event_revision(event: &Event) -> i64 {
    event.kv.as_ref().map_or(0, |kv| kv.mod_revision)
}

/// How it behaves.
#[derive(Clone, Default)]
pub struct Manner {
    /// Says nothing, with connections open.
    pub stalled: bool,
    /// Waits before each answer.
    pub slow: Duration,
    /// Sends events in fragments of so many; 0 for whole responses.
    pub split: usize,
    /// Sends the events of each revision in a response of its own, and waits `slow` before each.
    pub by_revision: bool,
    /// Sends each response of events twice.
    pub twice: bool,
    /// A fault: watches from a compacted revision run on from the present one, as if nothing had been lost.
    pub forgets: bool,
    /// A fault: tells that every key was deleted, once, to each watch.
    pub empties: bool,
}

/// What has been handed to a connection, and when.
#[derive(Clone, Debug)]
pub enum Sent {
    /// An event of that key and revision.
    Event(String, i64),
    /// The last page of a whole list at that revision.
    List(i64),
}

/// What it asks of who connects, and what it has seen.
#[derive(Default)]
struct Seen {
    connections: usize,
    ranges: usize,
    watches: usize,
    token: bool,
}

/// The stand-in.
pub struct Etcd {
    pub address: SocketAddr,
    store: Arc<Mutex<Store>>,
    manner: Arc<Mutex<Manner>>,
    seen: Arc<Mutex<Seen>>,
    sent: Arc<Mutex<Vec<(std::time::Instant, Sent)>>>,
    user: Option<(String, String)>,
    /// Wakes watches; its value counts changes.
    change: watch::Sender<u64>,
    /// Counts restarts: a connection lives in one of them. `None` while it is down.
    run: watch::Sender<Option<u64>>,
    runs: Mutex<u64>,
}

impl Etcd {
    pub fn start() -> Arc<Self> {
        Etcd::start_with("127.0.0.1:0".parse().expect("an address"), None)
    }

    /// One that asks for a user and password, or for none.
    pub fn start_with(address: SocketAddr, user: Option<(&str, &str)>) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a port");
        listener.set_nonblocking(true).expect("its mode");
        let etcd = Arc::new(Etcd {
            address: listener.local_addr().expect("its address"),
            store: Arc::new(Mutex::new(Store::new(7))),
            manner: Arc::default(),
            seen: Arc::default(),
            sent: Arc::default(),
            user: user.map(|(name, password)| (name.to_owned(), password.to_owned())),
            change: watch::channel(0).0,
            run: watch::channel(Some(0)).0,
            runs: Mutex::new(0),
        });
        let served = Arc::downgrade(&etcd);
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                let listener = tokio::net::TcpListener::from_std(listener).expect("its listener");
                loop {
                    // Leases run out whether or not anybody calls.
                    tokio::select! {
                        accepted = listener.accept() => {
                            let (Ok((stream, _)), Some(etcd)) = (accepted, served.upgrade()) else { return };
                            tokio::task::spawn_local(etcd.connection(stream));
                        }
                        () = sleep(Duration::from_millis(20)) => match served.upgrade() {
                            Some(etcd) => etcd.expire(),
                            None => return,
                        },
                    }
                }
            });
        });
        etcd
    }

    fn changed(&self) {
        self.change.send_modify(|count| *count += 1);
    }

    fn expire(&self) {
        let mut store = self.store.lock().expect("the store");
        let now = Instant::now();
        let over: Vec<i64> = store
            .leases
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            store.leases.remove(&id);
            let revision = store.revision;
            let all = store.range(&[0], &[0]);
            let keys: Vec<Bytes> = all
                .into_iter()
                .filter(|key| store.at(key, revision).is_some_and(|kv| kv.lease == id))
                .collect();
            if store.delete(&keys) {
                self.changed();
            }
        }
    }

    // ---- What a test tells it ---------------------------------------------------------------------

    /// Puts a value, under a lease if that is not 0; returns the revision.
    pub fn put(&self, key: &str, value: &str, lease: i64) -> i64 {
        let mut store = self.store.lock().expect("the store");
        store.put(
            Bytes::copy_from_slice(key.as_bytes()),
            Bytes::copy_from_slice(value.as_bytes()),
            lease,
        );
        let revision = store.revision;
        drop(store);
        self.changed();
        revision
    }

    pub fn delete(&self, key: &str) {
        self.store
            .lock()
            .expect("the store")
            .delete(&[Bytes::copy_from_slice(key.as_bytes())]);
        self.changed();
    }

    /// A lease that runs out after that time.
    pub fn grant(&self, ttl: Duration) -> i64 {
        let mut store = self.store.lock().expect("the store");
        store.next_lease += 1;
        let id = store.next_lease;
        store.leases.insert(id, Instant::now() + ttl);
        id
    }

    pub fn revision(&self) -> i64 {
        self.store.lock().expect("the store").revision
    }

    /// Compacts everything before the present revision.
    pub fn compact(&self) {
        let mut store = self.store.lock().expect("the store");
        store.compacted = store.revision;
    }

    pub fn behave(&self, manner: Manner) {
        *self.manner.lock().expect("its manner") = manner;
        self.changed();
    }

    /// Ends all connections and accepts no more.
    pub fn down(&self) {
        self.run.send_replace(None);
    }

    /// Accepts again.
    pub fn up(&self) {
        let mut runs = self.runs.lock().expect("its runs");
        *runs += 1;
        self.run.send_replace(Some(*runs));
    }

    /// Ends all connections, and has forgotten everything: another cluster, or the same.
    pub fn restart_empty(&self, other_cluster: bool) {
        self.down();
        let mut store = self.store.lock().expect("the store");
        let cluster = store.cluster + u64::from(other_cluster);
        *store = Store::new(cluster);
        drop(store);
        self.up();
    }

    /// Ends all connections, and is as it was at that revision.
    pub fn restart_at(&self, revision: i64) {
        self.down();
        let mut store = self.store.lock().expect("the store");
        store.revision = revision;
        store.compacted = store.compacted.min(revision);
        for versions in store.keys.values_mut() {
            versions.retain(|version| version.revision <= revision);
        }
        store.keys.retain(|_, versions| !versions.is_empty());
        drop(store);
        self.up();
    }

    /// How many connections, Ranges and watches there have been.
    pub fn seen(&self) -> (usize, usize, usize) {
        let seen = self.seen.lock().expect("seen");
        (seen.connections, seen.ranges, seen.watches)
    }

    /// What has been handed to connections, in order.
    pub fn sent(&self) -> Vec<(std::time::Instant, Sent)> {
        self.sent.lock().expect("sent").clone()
    }

    fn note(&self, sent: Sent) {
        self.sent
            .lock()
            .expect("sent")
            .push((std::time::Instant::now(), sent));
    }

    /// Whether a call has come with the token that it gave.
    pub fn was_authorized(&self) -> bool {
        self.seen.lock().expect("seen").token
    }

    // ---- Its side of the wire ---------------------------------------------------------------------

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let mut run = self.run.subscribe();
        let Some(own) = *run.borrow_and_update() else {
            return;
        };
        self.seen.lock().expect("seen").connections += 1;
        let _ = stream.set_nodelay(true);
        let served = async {
            let Ok(mut connection) = h2::server::handshake(stream).await else {
                return;
            };
            while let Some(Ok((request, respond))) = connection.accept().await {
                let mut run = run.clone();
                let etcd = self.clone();
                tokio::task::spawn_local(async move {
                    tokio::select! {
                        () = etcd.call(request, respond) => {}
                        _ = run.wait_for(|run| *run != Some(own)) => {}
                    }
                });
            }
        };
        let mut ended = self.run.subscribe();
        tokio::select! {
            () = served => {}
            _ = ended.wait_for(|run| *run != Some(own)) => {}
        }
    }

    /// Waits as its manner says.
    async fn wait(&self) {
        let mut change = self.change.subscribe();
        loop {
            change.borrow_and_update();
            let manner = self.manner.lock().expect("its manner").clone();
            if !manner.stalled {
                return sleep(manner.slow).await;
            }
            if change.changed().await.is_err() {
                return;
            }
        }
    }

    async fn call(self: Arc<Self>, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let path = request.uri().path().to_owned();
        let token = request
            .headers()
            .get("token")
            .is_some_and(|token| token == "the-token");
        let mut body = request.into_body();
        let allowed = self.user.is_none() || token || path.ends_with("/Authenticate");
        self.seen.lock().expect("seen").token |= token;
        if path == "/etcdserverpb.Watch/Watch" && allowed {
            return self.watch(body, respond).await;
        }
        let mut frames = FrameDecoder::default();
        while let Some(Ok(data)) = body.data().await {
            frames.push(&data);
            let _ = body.flow_control().release_capacity(data.len());
        }
        self.wait().await;
        let answer = if allowed {
            self.unary(&path, &mut frames)
        } else {
            Err((16, "invalid auth token"))
        };
        let response = Response::builder()
            .header("content-type", "application/grpc")
            .body(())
            .expect("a head");
        let Ok(mut out) = respond.send_response(response, false) else {
            return;
        };
        let (code, message) = match answer {
            Ok(answer) => {
                send(&mut out, answer).await;
                (0, "")
            }
            Err(failed) => failed,
        };
        let mut trailers = HeaderMap::new();
        trailers.insert("grpc-status", HeaderValue::from(code));
        trailers.insert("grpc-message", HeaderValue::from_static(message));
        let _ = out.send_trailers(trailers);
    }

    fn unary(&self, path: &str, frames: &mut FrameDecoder) -> Result<Bytes, (u16, &'static str)> {
        fn read<M: Message + Default>(frames: &mut FrameDecoder) -> Result<M, (u16, &'static str)> {
            frames.message().ok().flatten().ok_or((3, "no message"))
        }
        let mut store = self.store.lock().expect("the store");
        match path {
            "/etcdserverpb.KV/Range" => {
                let request: RangeRequest = read(frames)?;
                self.seen.lock().expect("seen").ranges += 1;
                let revision = if request.revision > 0 {
                    request.revision
                } else {
                    store.revision
                };
                if revision < store.compacted {
                    return Err((11, "etcdserver: mvcc: required revision has been compacted"));
                }
                if revision > store.revision {
                    return Err((
                        11,
                        "etcdserver: mvcc: required revision is a future revision",
                    ));
                }
                let keys = store.range(&request.key, &request.range_end);
                let mut kvs: Vec<KeyValue> = keys
                    .iter()
                    .filter_map(|key| store.at(key, revision))
                    .collect();
                let count = kvs.len() as i64;
                let more = request.limit > 0 && count > request.limit;
                if more {
                    kvs.truncate(request.limit as usize);
                }
                if !more {
                    self.note(Sent::List(revision));
                }
                Ok(encode_frame(&RangeResponse {
                    header: store.header(),
                    kvs,
                    more,
                    count,
                }))
            }
            "/etcdserverpb.KV/Put" => {
                let PutRequest { key, value, lease } = read(frames)?;
                store.put(key, value, lease);
                self.changed();
                Ok(encode_frame(&HeaderOnly {
                    header: store.header(),
                }))
            }
            "/etcdserverpb.KV/DeleteRange" => {
                let request: DeleteRangeRequest = read(frames)?;
                let keys = store.range(&request.key, &request.range_end);
                store.delete(&keys);
                self.changed();
                Ok(encode_frame(&HeaderOnly {
                    header: store.header(),
                }))
            }
            "/etcdserverpb.KV/Compact" => {
                let request: CompactionRequest = read(frames)?;
                store.compacted = request.revision.min(store.revision);
                Ok(encode_frame(&HeaderOnly {
                    header: store.header(),
                }))
            }
            "/etcdserverpb.Lease/LeaseGrant" => {
                let request: LeaseGrantRequest = read(frames)?;
                store.next_lease += 1;
                let id = if request.id == 0 {
                    store.next_lease
                } else {
                    request.id
                };
                let ttl = Duration::from_secs(u64::try_from(request.ttl).unwrap_or_default());
                store.leases.insert(id, Instant::now() + ttl);
                Ok(encode_frame(&LeaseGrantResponse {
                    header: store.header(),
                    id,
                    ttl: request.ttl,
                }))
            }
            "/etcdserverpb.Auth/Authenticate" => {
                let request: AuthenticateRequest = read(frames)?;
                if self
                    .user
                    .as_ref()
                    .is_some_and(|user| *user != (request.name, request.password))
                {
                    return Err((
                        3,
                        "etcdserver: authentication failed, invalid user ID or password",
                    ));
                }
                Ok(encode_frame(&AuthenticateResponse {
                    header: store.header(),
                    token: "the-token".to_owned(),
                }))
            }
            _ => Err((12, "no such method")),
        }
    }

    async fn watch(&self, mut body: RecvStream, mut respond: SendResponse<Bytes>) {
        let response = Response::builder()
            .header("content-type", "application/grpc")
            .body(())
            .expect("a head");
        let Ok(mut out) = respond.send_response(response, false) else {
            return;
        };
        let (mut change, mut frames) = (self.change.subscribe(), FrameDecoder::default());
        let mut watched: Option<WatchCreateRequest> = None;
        let mut emptied = false;
        let progress_at = Instant::now() + Duration::from_secs(600); // etcd's own interval
        loop {
            self.wait().await;
            // What the client requests.
            while let Ok(Some(WatchRequest {
                request_union: Some(request),
            })) = frames.message()
            {
                let header = self.store.lock().expect("the store").header();
                let mut response = WatchResponse {
                    header,
                    ..WatchResponse::default()
                };
                match request {
                    WatchRequestUnion::Create(mut create) => {
                        self.seen.lock().expect("seen").watches += 1;
                        response.created = true;
                        send(&mut out, encode_frame(&response)).await;
                        let forgets = self.manner.lock().expect("its manner").forgets;
                        let compacted = self.compacted(&mut create, forgets);
                        if let Some(response) = compacted {
                            send(&mut out, encode_frame(&response)).await;
                            continue;
                        }
                        watched = Some(create);
                    }
                    WatchRequestUnion::Progress(_) => send(&mut out, encode_frame(&response)).await,
                    WatchRequestUnion::Cancel(_) => {
                        response.canceled = true;
                        watched = None;
                        send(&mut out, encode_frame(&response)).await;
                    }
                }
            }
            // What has happened since.
            if let Some(create) = &mut watched {
                let manner = self.manner.lock().expect("its manner").clone();
                if manner.empties && !std::mem::replace(&mut emptied, true) {
                    let response = self.emptied(create);
                    send(&mut out, encode_frame(&response)).await;
                }
                for response in self.responses(create, &manner) {
                    if manner.by_revision {
                        sleep(manner.slow).await;
                    }
                    for kv in response.events.iter().filter_map(|event| event.kv.as_ref()) {
                        let key = String::from_utf8_lossy(&kv.key).into_owned();
                        self.note(Sent::Event(key, kv.mod_revision));
                    }
                    let response = encode_frame(&response);
                    send(&mut out, response).await;
                }
            }
            tokio::select! {
                data = body.data() => match data {
                    Some(Ok(data)) => {
                        frames.push(&data);
                        let _ = body.flow_control().release_capacity(data.len());
                    }
                    _ => return,
                },
                changed = change.changed() => if changed.is_err() { return },
                () = sleep_until(progress_at) => {}
            }
        }
    }

    /// Sets where a watch begins; the response that ends it if that is compacted away.
    fn compacted(&self, create: &mut WatchCreateRequest, forgets: bool) -> Option<WatchResponse> {
        let store = self.store.lock().expect("the store");
        if create.start_revision == 0 || (create.start_revision <= store.compacted && forgets) {
            create.start_revision = store.revision + 1;
        }
        (create.start_revision <= store.compacted).then(|| WatchResponse {
            header: store.header(),
            canceled: true,
            compact_revision: store.compacted,
            cancel_reason: "etcdserver: mvcc: required revision has been compacted".to_owned(),
            ..WatchResponse::default()
        })
    }

    /// Tells that every key is deleted, which is not so.
    fn emptied(&self, create: &WatchCreateRequest) -> WatchResponse {
        let store = self.store.lock().expect("the store");
        let keys = store.range(&create.key, &create.range_end);
        let events = keys.into_iter().map(|key| Event {
            r#type: EventType::Delete as i32,
            kv: Some(KeyValue {
                key,
                mod_revision: store.revision,
                ..KeyValue::default()
            }),
        });
        let events = events.collect();
        WatchResponse {
            header: store.header(),
            events,
            ..WatchResponse::default()
        }
    }

    /// The responses that are due to a watch, which is moved on.
    fn responses(&self, create: &mut WatchCreateRequest, manner: &Manner) -> Vec<WatchResponse> {
        let store = self.store.lock().expect("the store");
        let events = store.events(&create.key, &create.range_end, create.start_revision);
        if events.is_empty() {
            return Vec::new();
        }
        create.start_revision = store.revision + 1;
        if manner.by_revision {
            return store.responses_by_revision(&events);
        }
        let part = if manner.split > 0 && create.fragment {
            manner.split
        } else {
            events.len()
        };
        let parts = events.len().div_ceil(part);
        let responses: Vec<WatchResponse> = events
            .chunks(part)
            .enumerate()
            .map(|(i, events)| WatchResponse {
                header: store.header(),
                events: events.to_vec(),
                fragment: i + 1 < parts,
                ..WatchResponse::default()
            })
            .collect();
        if manner.twice {
            [responses.clone(), responses].concat()
        } else {
            responses
        }
    }
}

/// Sends a message as the peer makes room for it.
async fn send(out: &mut h2::SendStream<Bytes>, mut message: Bytes) {
    while !message.is_empty() {
        out.reserve_capacity(message.len());
        match std::future::poll_fn(|cx| out.poll_capacity(cx)).await {
            Some(Ok(room)) if room > 0 => {
                let part = message.split_to(room.min(message.len()));
                if out.send_data(part, false).is_err() {
                    return;
                }
            }
            Some(Ok(_)) => {}
            _ => return,
        }
    }
}

/// Puts a value into an etcd, this one or another, and returns the revision.
///
/// # Errors
/// The call failed.
pub fn put(to: SocketAddr, key: &str, value: &str) -> Result<i64, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let (key, value) = (
        Bytes::copy_from_slice(key.as_bytes()),
        Bytes::copy_from_slice(value.as_bytes()),
    );
    local.block_on(&runtime, async {
        let failed = |error: EtcdError| format!("{error} (code {})", error.code());
        let mut grpc = GrpcConnection::connect(to).await.map_err(failed)?;
        let put = PutRequest {
            key,
            value,
            lease: 0,
        };
        let done: HeaderOnly = grpc
            .unary("/etcdserverpb.KV/Put", &put)
            .await
            .map_err(failed)?;
        Ok(done.header.map_or(0, |header| header.revision))
    })
}

/// The operator file's part for it, with times that suit tests.
pub fn operator(endpoints: &[SocketAddr], keep_alive_ms: u64, more: &str) -> String {
    let endpoints: Vec<String> = endpoints
        .iter()
        .map(|address| format!("\"{address}\""))
        .collect();
    format!(
        "[etcd]\nendpoints = [{}]\nprefix = \"/tally/\"\nkeep_alive_ms = {keep_alive_ms}\nconnect_ms = 1000\n\
         first_pause_ms = 20\nlongest_pause_ms = 200\n{more}\n",
        endpoints.join(", ")
    )
}
