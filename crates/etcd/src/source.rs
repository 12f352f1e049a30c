//! The source: does what the session wishes, and tells what keys say.

use crate::grpc::{Grpc, Status, Stream};
use crate::proto::{
    AuthenticateRequest, AuthenticateResponse, RangeRequest, RangeResponse, WatchCreateRequest,
    WatchProgressRequest, WatchRequest, WatchResponse, WatchWish, range_end,
};
use crate::session::{Session, Times, Wish};
use bytes::Bytes;
use sillward_balancer::ServerId;
use sillward_endpoint_updates::Telling;
use sillward_forwarding::{Backend, LiveSettings};
use sillward_logging::{log, log_peer};
use sillward_runtime::time::{Instant, sleep, timeout};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Keys of a page of the list.
const PAGE: i64 = 500;
/// Lines that are told at once: between two such parts other work has its turn.
const PART: usize = 25;
/// So long at least between two parts of a whole list.
const BREATH: Duration = Duration::from_millis(1);
/// gRPC's code for a revision that is compacted, or in the future.
const OUT_OF_RANGE: u32 = 11;

/// What an installation says of its etcd.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Tried in turn; at least one.
    pub endpoints: Vec<SocketAddr>,
    /// The keys that are backends.
    pub prefix: String,
    /// User and password, where etcd asks for them.
    pub user: Option<(String, String)>,
    /// How long to wait for what.
    pub times: Times,
}

/// Follows etcd.
pub struct Etcd {
    terms: Terms,
    live: Rc<LiveSettings>,
    session: Session,
    tellings: mpsc::Sender<Telling>,
    /// The last good line of each key.
    lines: BTreeMap<Bytes, Backend>,
    /// Those of before the list that is being read.
    before: BTreeMap<Bytes, Backend>,
    part: Vec<Backend>,
    listing: bool,
}

impl Etcd {
    pub fn new(
        terms: Terms,
        live: Rc<LiveSettings>,
        seed: u64,
        tellings: mpsc::Sender<Telling>,
    ) -> Self {
        let session = Session::new(terms.endpoints.len(), terms.times, seed.rotate_left(17));
        let (lines, before) = (BTreeMap::new(), BTreeMap::new());
        Etcd {
            terms,
            live,
            session,
            tellings,
            lines,
            before,
            part: Vec::new(),
            listing: false,
        }
    }

    /// Follows it for good. Whatever breaks is no news: what was told stays.
    pub async fn run(mut self) {
        loop {
            let endpoint = self.terms.endpoints[self.session.endpoint()];
            let broken = self.follow(endpoint).await;
            log(format_args!("etcd at {endpoint}: {broken}"));
            self.listing = false;
            self.part.clear();
            self.tell(Telling::Silent).await;
            sleep(self.session.lost()).await;
        }
    }

    /// Follows one endpoint until that breaks; returns why.
    async fn follow(&mut self, endpoint: SocketAddr) -> String {
        match self.followed(endpoint).await {
            Ok(()) => "it ended".to_owned(),
            Err(Status { code, message }) => format!("{message} (gRPC {code})"),
        }
    }

    async fn followed(&mut self, endpoint: SocketAddr) -> Result<(), Status> {
        let silent = || Status {
            code: 4,
            message: "silent".to_owned(),
        };
        let times = self.terms.times;
        let mut grpc = timeout(times.connect, Grpc::connect(endpoint))
            .await
            .map_err(|_| silent())??;
        if let Some((name, password)) = self.terms.user.clone() {
            let request = AuthenticateRequest { name, password };
            let call = grpc.unary("/etcdserverpb.Auth/Authenticate", &request);
            let response: AuthenticateResponse =
                timeout(times.connect, call).await.map_err(|_| silent())??;
            grpc.authorize(&response.token);
        }
        let mut wishes: VecDeque<Wish> = self.session.connected().into();
        let mut watch: Option<Stream> = None;
        let mut resync_at = Instant::now() + times.resync;
        loop {
            while let Some(wish) = wishes.pop_front() {
                match wish {
                    Wish::Range { after, revision } => {
                        let page =
                            timeout(times.keep_alive, self.page(&mut grpc, &after, revision)).await;
                        wishes.extend(match page.map_err(|_| silent())? {
                            Ok(page) => self.session.page(page),
                            Err(status) if status.code == OUT_OF_RANGE => {
                                self.session.page_compacted()
                            }
                            Err(status) => return Err(status),
                        });
                    }
                    Wish::Watch { from } => {
                        let create = WatchCreateRequest {
                            key: self.terms.prefix.clone().into(),
                            range_end: range_end(self.terms.prefix.as_bytes()),
                            start_revision: from,
                            progress_notify: true,
                            fragment: true,
                        };
                        let create = WatchRequest {
                            wish: Some(WatchWish::Create(create)),
                        };
                        let opened = grpc.stream("/etcdserverpb.Watch/Watch", &create);
                        watch = Some(
                            timeout(times.keep_alive, opened)
                                .await
                                .map_err(|_| silent())??,
                        );
                    }
                    Wish::Begin => {
                        // A list that broke off has left some of them here.
                        self.before.append(&mut self.lines);
                        self.listing = true;
                        self.tell(Telling::Begin).await;
                    }
                    Wish::Put { key, value } => self.put(key, &value).await,
                    Wish::Delete { key } => self.delete(&key).await,
                    Wish::End => {
                        self.flush().await;
                        self.before.clear();
                        self.listing = false;
                        self.tell(Telling::End).await;
                    }
                    Wish::Drop(why) => {
                        return Err(Status {
                            code: 13,
                            message: why,
                        });
                    }
                }
            }
            self.flush().await;
            let Some(stream) = &mut watch else {
                return Err(silent());
            };
            let mut asked = 0;
            let response: WatchResponse = loop {
                match timeout(times.keep_alive / 3, stream.next()).await {
                    Ok(response) => break response?,
                    Err(_) if asked < 2 => {
                        asked += 1;
                        let wish = Some(WatchWish::Progress(WatchProgressRequest {}));
                        stream.send(&WatchRequest { wish })?;
                    }
                    Err(_) => return Err(silent()),
                }
            };
            self.tell(Telling::Heard).await;
            wishes.extend(self.session.watched(response));
            if wishes.is_empty() && Instant::now() >= resync_at && self.session.is_current() {
                resync_at = Instant::now() + times.resync;
                wishes.extend(self.session.resync());
            }
        }
    }

    async fn page(
        &self,
        grpc: &mut Grpc,
        after: &[u8],
        revision: i64,
    ) -> Result<RangeResponse, Status> {
        // From the key that comes next after the last one.
        let key = if after.is_empty() {
            self.terms.prefix.clone().into()
        } else {
            [after, &[0]].concat().into()
        };
        let range_end = range_end(self.terms.prefix.as_bytes());
        let request = RangeRequest {
            key,
            range_end,
            limit: PAGE,
            revision,
        };
        grpc.unary("/etcdserverpb.KV/Range", &request).await
    }

    async fn put(&mut self, key: Bytes, value: &[u8]) {
        let backend = match sillward_discovery::read_entry(&self.live.get(), value) {
            Ok(backend) => backend,
            Err(e) => {
                let name = String::from_utf8_lossy(&key).into_owned();
                log_peer(format_args!(
                    "etcd: the value of {name:?} can't be read, its last good one stays: {e}"
                ));
                match self.before.get(&key).or_else(|| self.lines.get(&key)) {
                    Some(last) => last.clone(),
                    None => return,
                }
            }
        };
        let id = backend.endpoint.id;
        let old = self.lines.insert(key, backend.clone());
        if let Some(old) = old.filter(|old| old.endpoint.id != id) {
            self.gone(old.endpoint.id).await;
        }
        self.part.push(backend);
        if self.part.len() >= PART {
            self.flush().await;
            if self.listing {
                sleep(BREATH).await;
            }
        }
    }

    async fn delete(&mut self, key: &Bytes) {
        if let Some(old) = self.lines.remove(key) {
            self.gone(old.endpoint.id).await;
        }
    }

    /// A key no longer names that backend; perhaps another does.
    async fn gone(&mut self, id: ServerId) {
        self.flush().await;
        if !self.lines.values().any(|line| line.endpoint.id == id) {
            self.tell(Telling::Gone(id)).await;
        }
    }

    async fn flush(&mut self) {
        if !self.part.is_empty() {
            let part = std::mem::take(&mut self.part);
            self.tell(Telling::Lines(part)).await;
        }
    }

    async fn tell(&self, telling: Telling) {
        let _ = self.tellings.send(telling).await; // or the node has ended
    }
}
