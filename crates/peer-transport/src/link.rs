//! Links: one connection a pair where something longer is to be said, made at need and closed when idle.

use crate::send_queue::{OutboundMessage, SendQueue};
use crate::session::{Channel, Direction, Hello, MAX_MESSAGE_BYTES, TopicMessage};
use crate::{IDLE, PATIENCE, PeerTransport};
use prost::Message;
use sillward_membership::{Incarnation, Name};
use sillward_runtime::net::TcpStream;
use sillward_runtime::random::entropy;
use sillward_runtime::time::{sleep, timeout};
use sillward_runtime::{Stream, task::spawn_local};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// A link, or one that is being made.
pub struct Link {
    outbox: RefCell<SendQueue>,
    posted: Notify,
    /// Whether this end dialled.
    dialled: bool,
    /// Messages since it was last looked at.
    used: Cell<bool>,
}

impl Link {
    fn new(dialled: bool) -> Rc<Self> {
        let (outbox, posted) = (RefCell::default(), Notify::new());
        Rc::new(Link {
            outbox,
            posted,
            dialled,
            used: Cell::new(true),
        })
    }

    fn post(&self, posted: OutboundMessage) {
        self.outbox.borrow_mut().push(posted);
        self.posted.notify_one();
    }
}

/// The channels of a link, once both ends have said who they are.
struct Ends {
    name: Name,
    /// The peer's incarnation, and this node's own when the link was made: after either has ended nothing here counts.
    incarnation: Incarnation,
    own: Incarnation,
    out: Channel,
    into: Channel,
}

impl PeerTransport {
    /// Posts a message to a member, over the link that there is or a new one. It may be lost with the link.
    pub fn send_message(self: &Rc<Self>, to: &Name, address: SocketAddr, posted: OutboundMessage) {
        if let Some(link) = self.links.borrow().get(to) {
            return link.post(posted);
        }
        if self.links.borrow().len() >= self.most_links {
            return self.dropped_long.set(self.dropped_long.get() + 1);
        }
        let link = Link::new(true);
        link.post(posted);
        self.links.borrow_mut().insert(to.clone(), link.clone());
        let (fleet, to) = (self.clone(), to.clone());
        spawn_local(async move {
            fleet.clone().dial(&to, address, &link).await;
            fleet.unlink(&to, &link);
        });
    }

    fn unlink(&self, name: &Name, link: &Rc<Link>) {
        let mut links = self.links.borrow_mut();
        if links.get(name).is_some_and(|other| Rc::ptr_eq(other, link)) {
            links.remove(name);
        }
    }

    async fn dial(self: Rc<Self>, to: &Name, address: SocketAddr, link: &Rc<Link>) {
        let connect = TcpStream::connect_from(self.own_ip, address);
        let Ok(Ok(stream)) = timeout(PATIENCE, connect).await else {
            return;
        };
        let (stream, _) = Stream::new(stream);
        let Ok(Some(ends)) = timeout(PATIENCE, self.greet(&stream)).await else {
            return;
        };
        if ends.name == *to {
            self.carry(&stream, ends, link).await;
        }
    }

    async fn greet(&self, stream: &Stream) -> Option<Ends> {
        let (own, nonce) = (self.incarnation(), entropy().ok()?.max(1));
        let mut out = Channel::new(&self.keys, Direction::DialerToAcceptor);
        let mut into = Channel::new(&self.keys, Direction::AcceptorToDialer);
        let hello = Hello::new(&self.fleet, &self.name, own, nonce, 0);
        write(stream, &out.seal(&hello.encode_to_vec())).await?;
        let bytes = read(stream).await?;
        let (name, incarnation, hello) = Hello::parse(into.open(&bytes)?, &self.fleet)?;
        if hello.echoed_nonce != nonce {
            return None;
        }
        out.bind(nonce, hello.nonce);
        into.bind(nonce, hello.nonce);
        Some(Ends {
            name,
            incarnation,
            own,
            out,
            into,
        })
    }

    /// Serves a connection that was taken.
    pub(crate) async fn accepted(self: Rc<Self>, stream: TcpStream) {
        let (stream, _) = Stream::new(stream);
        let Ok(Some(ends)) = timeout(PATIENCE, self.answer(&stream)).await else {
            return self.bad_links.set(self.bad_links.get() + 1);
        };
        let name = ends.name.clone();
        let link = Link::new(false);
        {
            let mut links = self.links.borrow_mut();
            // Of two that cross the one counts that the lesser name dialled; the other is read until it is idle.
            let ours = links
                .get(&name)
                .is_some_and(|other| other.dialled && self.name < name);
            if !ours && (links.len() < self.most_links || links.contains_key(&name)) {
                if let Some(old) = links.insert(name.clone(), link.clone()) {
                    // What waited for the other goes by this one.
                    while let Some(posted) = { old.outbox.borrow_mut().pop() } {
                        link.post(posted);
                    }
                }
            }
        }
        self.carry(&stream, ends, &link).await;
        self.unlink(&name, &link);
    }

    async fn answer(&self, stream: &Stream) -> Option<Ends> {
        let (own, nonce) = (self.incarnation(), entropy().ok()?.max(1));
        let mut out = Channel::new(&self.keys, Direction::AcceptorToDialer);
        let mut into = Channel::new(&self.keys, Direction::DialerToAcceptor);
        let bytes = read(stream).await?;
        let (name, incarnation, hello) = Hello::parse(into.open(&bytes)?, &self.fleet)?;
        if name == self.name {
            return None;
        }
        let answer = Hello::new(&self.fleet, &self.name, own, nonce, hello.nonce);
        write(stream, &out.seal(&answer.encode_to_vec())).await?;
        out.bind(hello.nonce, nonce);
        into.bind(hello.nonce, nonce);
        Some(Ends {
            name,
            incarnation,
            own,
            out,
            into,
        })
    }

    /// Both ways, until either end has had enough.
    async fn carry(self: &Rc<Self>, stream: &Stream, ends: Ends, link: &Rc<Link>) {
        let Ends {
            name,
            incarnation,
            own,
            mut out,
            mut into,
        } = ends;
        let reading = async {
            while let Some(bytes) = read(stream).await {
                let long = into
                    .open(&bytes)
                    .and_then(|body| TopicMessage::decode(body).ok());
                let Some(long) = long else {
                    return self.bad_links.set(self.bad_links.get() + 1);
                };
                link.used.set(true);
                if !self.heard(&name, incarnation, own, &long) {
                    return;
                }
            }
        };
        let writing = async {
            loop {
                let next = link.outbox.borrow_mut().pop();
                let Some(posted) = next else {
                    link.posted.notified().await;
                    continue;
                };
                link.used.set(true);
                let long = TopicMessage {
                    topic: posted.topic,
                    bytes: posted.bytes,
                };
                let bytes = out.seal(&long.encode_to_vec());
                self.note_sent(bytes.len(), true);
                // A peer that takes nothing for so long is cut off; what it missed comes by the next comparison.
                if !matches!(timeout(PATIENCE, write(stream, &bytes)).await, Ok(Some(()))) {
                    return;
                }
            }
        };
        let idle = async {
            while link.used.replace(false) || !link.outbox.borrow().is_empty() {
                sleep(IDLE).await;
            }
        };
        tokio::select! {
            biased;
            () = reading => {}
            () = writing => {}
            () = idle => {}
        }
    }
}

/// The bytes behind a length.
async fn read(stream: &Stream) -> Option<Vec<u8>> {
    let mut head = [0; 4];
    fill(stream, &mut head).await?;
    let length = Channel::frame_length(head)?;
    let mut bytes = Vec::new();
    while bytes.len() < length {
        // No more is kept ready than has come, but for a piece.
        let (from, piece) = (bytes.len(), (length - bytes.len()).min(8 * 1024));
        bytes.resize(from + piece, 0);
        fill(stream, &mut bytes[from..]).await?;
    }
    debug_assert!(bytes.len() <= MAX_MESSAGE_BYTES + 16);
    Some(bytes)
}

async fn fill(stream: &Stream, mut to: &mut [u8]) -> Option<()> {
    while !to.is_empty() {
        let count = stream.read(to).await.ok().filter(|count| *count > 0)?;
        to = &mut to[count..];
    }
    Some(())
}

async fn write(stream: &Stream, mut bytes: &[u8]) -> Option<()> {
    while !bytes.is_empty() {
        let count = stream.write(bytes).await.ok().filter(|count| *count > 0)?;
        bytes = &bytes[count..];
    }
    Some(())
}
