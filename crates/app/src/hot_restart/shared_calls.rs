//! Exchanges with the other processes of this node which calls are open that must not run twice.
//!
//! A process tells of a call before it looks at what the others have told, and both are system calls that never wait. Of two
//! processes that get the same identifier, at least one sees it at the other, and turns its call down.

use super::UPDATE_INTERVAL;
use super::call_peer::{Peer, PeerEnd, Received};
use hyper::header::HeaderValue;
use sillward_hot_restart::{
    CallMessage, CallTable, PeerId, TooManyCalls, encode_closed, encode_header, encode_listed,
    encode_opened,
};
use sillward_http1::CallIdExchange;
use sillward_logging::{log, log_peer};
use sillward_runtime::Clock;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::{sleep, timeout};
use sillward_runtime::unix_socket::{NonblockingUnixStream, UnixListener, UnixStream};
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// The file under `$TMPDIR` by which a newer process finds the older one.
const SOCKET_NAME: &str = "sillward-calls.sock";
/// An older process that runs tells its calls within this.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// How often it is looked whether the older process has told its calls.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The calls of all processes of this node that must not run twice.
pub(crate) struct SharedCalls {
    clock: Clock,
    state: RefCell<State>,
}

/// The calls, and the connections to the processes that have them open.
#[derive(Default)]
struct State {
    table: CallTable,
    peers: Vec<Peer>,
    next_peer: u64,
}

impl State {
    /// Adds a connection, and tells it all calls.
    fn add_peer(&mut self, stream: NonblockingUnixStream, now: Duration) -> PeerId {
        let id = PeerId(self.next_peer);
        self.next_peer += 1;
        let mut list = Vec::new();
        encode_header(&mut list);
        for call in self.table.in_use() {
            encode_opened(call, &mut list);
        }
        encode_listed(&mut list);
        self.peers.push(Peer::new(id, stream));
        self.send_to(|peer| peer == id, &list, now);
        id
    }

    /// Sends messages to the processes that are meant.
    fn send_to(&mut self, is_meant: impl Fn(PeerId) -> bool, encoded: &[u8], now: Duration) {
        self.write_to_peers(now, |peer| match is_meant(peer.id()) {
            true => peer.send(encoded),
            false => Ok(()),
        });
    }

    fn write_to_peers(
        &mut self,
        now: Duration,
        mut write: impl FnMut(&mut Peer) -> Result<(), PeerEnd>,
    ) {
        let written = self.peers.iter_mut().map(|peer| (peer.id(), write(peer)));
        let written: Vec<_> = written.collect();
        for (peer, result) in written {
            if let Err(end) = result {
                self.remove_peer(peer, end, now);
            }
        }
    }

    /// Drops a connection, and keeps its calls for some time.
    fn remove_peer(&mut self, id: PeerId, end: PeerEnd, now: Duration) {
        self.peers.retain(|peer| peer.id() != id);
        self.table.peer_exited(id, now);
        if let PeerEnd::Unusable(reason) = end {
            log_peer(format!(
                "calls are no longer exchanged with another process of this node: {reason}"
            ));
        }
    }

    /// Applies what the other processes have told, and tells it on. What one told before its end counts.
    fn receive(&mut self, now: Duration) {
        let received = self
            .peers
            .iter_mut()
            .map(|peer| (peer.id(), peer.receive()));
        let received: Vec<_> = received.collect();
        for (peer, Received { messages, end }) in received {
            self.apply(peer, &messages, now);
            match end {
                Some(end) => self.remove_peer(peer, end, now),
                // It was given up while another one's messages were told on.
                None if !self.is_connected(peer) => self.table.peer_exited(peer, now),
                None => {}
            }
        }
    }

    fn apply(&mut self, from: PeerId, messages: &[CallMessage], now: Duration) {
        for message in messages {
            match self.table.apply(from, message) {
                Ok(true) => self.tell_on(from, message, now),
                Ok(false) => {}
                Err(TooManyCalls) => {
                    let reason = "it has too many calls open".to_owned();
                    return self.remove_peer(from, PeerEnd::Unusable(reason), now);
                }
            }
        }
    }

    /// Tells a process's call to the processes on the other side: they are not connected with each other.
    fn tell_on(&mut self, from: PeerId, message: &CallMessage, now: Duration) {
        match message {
            CallMessage::Opened(id) => self.tell_opened(id, |peer| peer != from, now),
            CallMessage::Closed(id) => self.tell_closed(id, |peer| peer != from, now),
            CallMessage::Listed => {}
        }
    }

    fn tell_opened(&mut self, id: &[u8], is_meant: impl Fn(PeerId) -> bool, now: Duration) {
        let mut encoded = Vec::new();
        encode_opened(id, &mut encoded);
        self.send_to(is_meant, &encoded, now);
    }

    /// Tells that an identifier is no longer in use, unless another process has it in use still.
    fn tell_closed(&mut self, id: &[u8], is_meant: impl Fn(PeerId) -> bool, now: Duration) {
        let peers = self.peers.iter().map(|peer| peer.id());
        let meant: Vec<PeerId> = peers
            .filter(|peer| is_meant(*peer) && !self.table.is_in_use_beside(*peer, id))
            .collect();
        let mut encoded = Vec::new();
        encode_closed(id, &mut encoded);
        self.send_to(|peer| meant.contains(&peer), &encoded, now);
    }

    /// Reads, writes what could not be written, and releases what was kept long enough.
    fn update(&mut self, now: Duration) {
        self.receive(now);
        self.write_to_peers(now, Peer::flush);
        for id in self.table.release_expired(now) {
            self.tell_closed(&id, |_| true, now);
        }
    }

    fn is_connected(&self, id: PeerId) -> bool {
        self.peers.iter().any(|peer| peer.id() == id)
    }

    fn has_listed(&self, id: PeerId) -> bool {
        // One that has gone tells nothing more.
        let mut peers = self.peers.iter();
        peers
            .find(|peer| peer.id() == id)
            .is_none_or(Peer::has_listed)
    }

    fn is_alone(&self) -> bool {
        self.peers.is_empty() && !self.table.retains_ids()
    }
}

impl SharedCalls {
    /// Learns the calls of the process that ran before, and takes its place for the next.
    pub(crate) async fn start(folder: &Path, clock: Clock) -> Rc<Self> {
        let this = Rc::new(SharedCalls {
            clock,
            state: RefCell::default(),
        });
        let path = folder.join(SOCKET_NAME);
        if let Ok(stream) = UnixStream::connect(&path).await {
            this.learn_from(stream).await;
        }
        match UnixListener::replace(&path) {
            Ok(listener) => drop(spawn_local(this.clone().run(Some(listener)))),
            Err(error) => {
                log(format_args!(
                    "the next process will not know this one's calls by {}: {error}",
                    path.display()
                ));
                drop(spawn_local(this.clone().run(None)));
            }
        }
        this
    }

    async fn learn_from(&self, stream: UnixStream) {
        let Ok(stream) = stream.into_nonblocking() else {
            return;
        };
        let older = self.state.borrow_mut().add_peer(stream, self.clock.now());
        let listed = async {
            loop {
                self.state.borrow_mut().update(self.clock.now());
                if self.state.borrow().has_listed(older) {
                    return;
                }
                sleep(LIST_POLL_INTERVAL).await;
            }
        };
        if timeout(LIST_TIMEOUT, listed).await.is_err() {
            log("an older process of this node does not tell its calls");
        }
    }

    /// Keeps the calls up to date for as long as the process runs.
    async fn run(self: Rc<Self>, listener: Option<UnixListener>) {
        let accept = async || match &listener {
            Some(listener) => listener.accept().await,
            None => std::future::pending().await,
        };
        loop {
            let is_alone = self.state.borrow().is_alone();
            let connected = tokio::select! {
                biased;
                connected = accept() => Some(connected),
                () = sleep(UPDATE_INTERVAL), if !is_alone => None,
            };
            match connected.map(|stream| stream.and_then(UnixStream::into_nonblocking)) {
                Some(Ok(stream)) => {
                    self.state.borrow_mut().add_peer(stream, self.clock.now());
                }
                Some(Err(_)) => sleep(UPDATE_INTERVAL).await,
                None => {}
            }
            self.state.borrow_mut().update(self.clock.now());
        }
    }
}

impl CallIdExchange for SharedCalls {
    fn try_open(&self, id: &HeaderValue) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.table.open(id.as_bytes());
        if state.is_alone() {
            return true;
        }
        state.tell_opened(id.as_bytes(), |_| true, now);
        state.receive(now);
        let is_free = !state.table.is_in_use_elsewhere(id.as_bytes(), now);
        drop(state);
        if !is_free {
            self.close(id);
        }
        is_free
    }

    fn close(&self, id: &HeaderValue) {
        let mut state = self.state.borrow_mut();
        if !state.table.close(id.as_bytes()) || state.is_alone() {
            return;
        }
        state.tell_closed(id.as_bytes(), |_| true, self.clock.now());
    }
}
