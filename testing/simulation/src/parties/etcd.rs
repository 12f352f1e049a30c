//! An etcd as its watch API and its Range show it, after the public proto files: history with revisions, compaction,
//! stalls. Enough for nodes that follow it; the rig's stand-in knows more.

use crate::bell::Bell;
use crate::ledger::Ledger;
use crate::net::{Host, Net, Socket};
use crate::parties::roster::State;
use bytes::Bytes;
use h2::server::SendResponse;
use http::{HeaderMap, HeaderValue, Request, Response};
use sillward_etcd::proto::{
    Event, EventType, KeyValue, RangeRequest, RangeResponse, ResponseHeader, WatchRequest,
    WatchRequestUnion, WatchResponse,
};
use sillward_etcd::{FrameDecoder, encode_frame};
use sillward_runtime::time::sleep_until;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::{JoinSet, spawn_local};

/// A change of a key.
struct Change {
    revision: i64,
    backend: usize,
    key: Bytes,
    /// `None` if it was deleted.
    value: Option<Bytes>,
    state: State,
}

/// The etcd.
pub struct Etcd {
    net: Net,
    ledger: Rc<Ledger>,
    host: Host,
    changes: RefCell<Vec<Change>>,
    /// What is compacted away, up to this revision.
    compacted: Cell<i64>,
    silent_until: Cell<Duration>,
    changed: Bell,
    /// Bumped: all connections end.
    broken: Bell,
}

struct Wire(Socket);

impl AsyncRead for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let count = ready!(self.0.take(cx, to.initialize_unfilled()))?;
        to.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.give(cx, from)
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

type Failed = (u16, &'static str);

impl Etcd {
    /// Starts it.
    pub fn start(net: &Net, ledger: &Rc<Ledger>, at: SocketAddr) -> Rc<Self> {
        let host = net.machine("etcd", 0, 4096);
        let etcd = Rc::new(Etcd {
            net: net.clone(),
            ledger: ledger.clone(),
            host,
            changes: RefCell::default(),
            compacted: Cell::new(0),
            silent_until: Cell::default(),
            changed: Bell::default(),
            broken: Bell::default(),
        });
        if let Ok(listener) = net.listen(host, at, 64) {
            let own = etcd.clone();
            spawn_local(async move {
                let mut connections = JoinSet::new();
                loop {
                    tokio::select! {
                        biased;
                        accepted = listener.accept() => {
                            let Ok(socket) = accepted else { return };
                            let own = own.clone();
                            connections.spawn_local(async move { own.connection(socket).await });
                        }
                        Some(_) = connections.join_next(), if !connections.is_empty() => {}
                    }
                }
            });
        }
        etcd
    }

    fn revision(&self) -> i64 {
        self.changes
            .borrow()
            .last()
            .map_or(1, |change| change.revision)
    }

    /// Puts a backend's line, or deletes its key.
    pub fn put(&self, backend: usize, state: State, line: Option<String>) {
        let revision = self.revision() + 1;
        let key = Bytes::from(format!("/tally/b{backend}"));
        let value = line.map(Bytes::from);
        self.changes.borrow_mut().push(Change {
            revision,
            backend,
            key,
            value,
            state,
        });
        self.changed.ring();
    }

    /// Forgets its history, and breaks all watches off.
    pub fn compact(&self) {
        self.compacted.set(self.revision());
        self.net
            .step(self.host, format_args!("compacts to {}", self.revision()));
        self.broken.ring();
    }

    /// Says nothing until then.
    pub fn stall(&self, until: Duration) {
        self.net.step(self.host, format_args!("stalls"));
        self.silent_until.set(until);
    }

    async fn awake(&self) {
        let until = self.silent_until.get();
        if until > self.net.now() {
            sleep_until(self.net.at(until)).await;
        }
    }

    async fn connection(self: Rc<Self>, socket: Socket) {
        let seen = self.broken.count();
        let node = socket.peer();
        let served = async {
            let Ok(mut connection) = h2::server::handshake(Wire(socket)).await else {
                return;
            };
            let mut calls = JoinSet::new();
            while let Some(Ok((request, respond))) = connection.accept().await {
                let own = self.clone();
                calls.spawn_local(async move { own.call(node, request, respond).await });
            }
        };
        tokio::select! {
            biased;
            () = served => {}
            _ = self.broken.after(seen) => {}
        }
    }

    fn header(&self) -> Option<ResponseHeader> {
        Some(ResponseHeader {
            cluster_id: 1,
            member_id: 1,
            revision: self.revision(),
            raft_term: 1,
        })
    }

    async fn call(
        self: Rc<Self>,
        node: Host,
        request: Request<h2::RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        let path = request.uri().path().to_owned();
        let mut body = request.into_body();
        let mut head = Response::new(());
        head.headers_mut()
            .insert("content-type", HeaderValue::from_static("application/grpc"));
        if path == "/etcdserverpb.Watch/Watch" {
            let Ok(out) = respond.send_response(head, false) else {
                return;
            };
            return self.watch(node, body, out).await;
        }
        let mut frames = FrameDecoder::default();
        while let Some(Ok(data)) = body.data().await {
            frames.push(&data);
            let _ = body.flow_control().release_capacity(data.len());
        }
        self.awake().await;
        let answer = match path.as_str() {
            "/etcdserverpb.KV/Range" => self.range(node, &mut frames),
            _ => Err((12, "no such method")),
        };
        let Ok(mut out) = respond.send_response(head, false) else {
            return;
        };
        let (code, message) = match answer {
            Ok(answer) => {
                let _ = out.send_data(answer, false);
                (0, "")
            }
            Err(failed) => failed,
        };
        let mut trailers = HeaderMap::new();
        trailers.insert("grpc-status", HeaderValue::from(code));
        trailers.insert("grpc-message", HeaderValue::from_static(message));
        let _ = out.send_trailers(trailers);
    }

    fn range(&self, node: Host, frames: &mut FrameDecoder) -> Result<Bytes, Failed> {
        let request: RangeRequest = frames.message().ok().flatten().ok_or((3, "no message"))?;
        let revision = if request.revision > 0 {
            request.revision
        } else {
            self.revision()
        };
        if revision < self.compacted.get() {
            return Err((11, "etcdserver: mvcc: required revision has been compacted"));
        }
        let changes = self.changes.borrow();
        let mut latest: BTreeMap<&Bytes, &Change> = BTreeMap::new();
        for change in changes.iter().filter(|change| change.revision <= revision) {
            latest.insert(&change.key, change);
        }
        let in_range = latest
            .into_values()
            .filter(|c| c.key >= request.key && c.key < request.range_end);
        let kvs: Vec<KeyValue> = in_range
            .filter_map(|change| {
                let value = change.value.clone()?;
                self.tells(node, change);
                let (key, mod_revision) = (change.key.clone(), change.revision);
                let create_revision = change.revision;
                Some(KeyValue {
                    key,
                    value,
                    mod_revision,
                    create_revision,
                    version: 1,
                    lease: 0,
                })
            })
            .collect();
        let count = kvs.len() as i64;
        Ok(encode_frame(&RangeResponse {
            header: self.header(),
            kvs,
            more: false,
            count,
        }))
    }

    /// What it says of a backend that drains or is gone binds the node.
    fn tells(&self, node: Host, change: &Change) {
        let (node, cut_off) = self.net.with(node, |machine| {
            (
                machine.name.clone(),
                machine.silent_until > Some(self.net.now()),
            )
        });
        // What a node that is cut off is told gets there later: then its time begins.
        if change.state == State::InService || cut_off {
            return;
        }
        if let Some(number) = node
            .strip_prefix('n')
            .and_then(|number| number.parse().ok())
        {
            self.ledger.tells(number, change.backend, true);
        }
    }

    async fn watch(&self, node: Host, mut body: h2::RecvStream, mut out: h2::SendStream<Bytes>) {
        let mut frames = FrameDecoder::default();
        let mut from: Option<i64> = None;
        loop {
            self.awake().await;
            while let Ok(Some(WatchRequest {
                request_union: Some(request),
            })) = frames.message()
            {
                let mut response = WatchResponse {
                    header: self.header(),
                    ..WatchResponse::default()
                };
                match request {
                    WatchRequestUnion::Create(create) => {
                        response.created = true;
                        let _ = out.send_data(encode_frame(&response), false);
                        let start = if create.start_revision == 0 {
                            self.revision() + 1
                        } else {
                            create.start_revision
                        };
                        if start <= self.compacted.get() {
                            response.created = false;
                            response.canceled = true;
                            response.compact_revision = self.compacted.get();
                            let _ = out.send_data(encode_frame(&response), false);
                            continue;
                        }
                        from = Some(start);
                    }
                    WatchRequestUnion::Progress(_) => {
                        drop(out.send_data(encode_frame(&response), false))
                    }
                    WatchRequestUnion::Cancel(_) => from = None,
                }
            }
            let seen = self.changed.count();
            if let Some(start) = from {
                let changes = self.changes.borrow();
                let due: Vec<&Change> = changes
                    .iter()
                    .filter(|change| change.revision >= start)
                    .collect();
                if !due.is_empty() {
                    let events = due.iter().map(|change| {
                        self.tells(node, change);
                        let kind = if change.value.is_some() {
                            EventType::Put
                        } else {
                            EventType::Delete
                        };
                        Event {
                            r#type: kind as i32,
                            kv: Some(KeyValue {
                                key: change.key.clone(),
                                value: change.value.clone().unwrap_or_default(),
                                mod_revision: change.revision,
                                create_revision: change.revision,
                                version: 1,
                                lease: 0,
                            }),
                        }
                    });
                    let events = events.collect();
                    let response = WatchResponse {
                        header: self.header(),
                        events,
                        ..WatchResponse::default()
                    };
                    let _ = out.send_data(encode_frame(&response), false);
                }
                from = Some(self.revision().max(start - 1) + 1);
            }
            tokio::select! {
                biased;
                data = body.data() => match data {
                    Some(Ok(data)) => {
                        frames.push(&data);
                        let _ = body.flow_control().release_capacity(data.len());
                    }
                    _ => return,
                },
                _ = self.changed.after(seen) => {}
            }
        }
    }
}
