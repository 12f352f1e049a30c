//! Connections between members: dialed on demand, accepted, and closed when idle.

use crate::connection::Connection;
use crate::handshake::{self, LocalEnd, Session, read_message, write_all};
use crate::send_queue::OutboundMessage;
use crate::session::{Channel, TopicMessage};
use crate::traffic::increment;
use crate::transport::PeerTransport;
use prost::Message;
use sillward_membership::{Incarnation, Name};
use sillward_runtime::net::TcpStream;
use sillward_runtime::time::{sleep, timeout};
use sillward_runtime::{Stream, task::spawn_local};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The longest time that connecting, a handshake or a write may take.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection that carries nothing for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

impl PeerTransport {
    /// Sends a message to a member, over an existing connection or a new one. It is lost if the connection fails.
    pub fn send_message(self: &Rc<Self>, to: &Name, address: SocketAddr, message: OutboundMessage) {
        if let Some(connection) = self.connections.borrow().get(to) {
            connection.send(message);
            return;
        }
        if self.connections.borrow().len() >= self.max_connections {
            increment(&self.traffic.dropped_messages);
            return;
        }
        let connection = Connection::new(true);
        connection.send(message);
        self.connections
            .borrow_mut()
            .insert(to.clone(), connection.clone());
        let transport = self.clone();
        let to = to.clone();
        spawn_local(async move {
            transport.dial(&to, address, &connection).await;
            transport.remove_connection(&to, &connection);
        });
    }

    /// Connects to a member and serves the connection until it ends.
    async fn dial(self: &Rc<Self>, to: &Name, address: SocketAddr, connection: &Connection) {
        let connect = TcpStream::connect_from(self.own_ip, address);
        let Ok(Ok(stream)) = timeout(IO_TIMEOUT, connect).await else {
            return;
        };
        let (stream, _) = Stream::new(stream);
        let handshake = async { handshake::dial(&stream, self.local_end()).await };
        let Ok(Some(session)) = timeout(IO_TIMEOUT, handshake).await else {
            return;
        };
        if session.peer == *to {
            self.serve(&stream, session, connection).await;
        }
    }

    /// Serves an accepted connection until it ends.
    pub(crate) async fn accept(self: Rc<Self>, stream: TcpStream) {
        let (stream, _) = Stream::new(stream);
        let handshake = async { handshake::accept(&stream, self.local_end()).await };
        let Ok(Some(session)) = timeout(IO_TIMEOUT, handshake).await else {
            increment(&self.traffic.bad_connections);
            return;
        };
        let peer = session.peer.clone();
        let connection = Connection::new(false);
        self.add_accepted(&peer, &connection);
        self.serve(&stream, session, &connection).await;
        self.remove_connection(&peer, &connection);
    }

    /// Sends over an accepted connection from now on. Of two connections that were made at once the one counts that the
    /// lesser name dialed; the other is read until it is idle.
    fn add_accepted(&self, peer: &Name, connection: &Rc<Connection>) {
        let mut connections = self.connections.borrow_mut();
        let known = connections.get(peer);
        let keeps_own = known.is_some_and(|known| known.is_dialed() && self.name < *peer);
        let has_capacity = known.is_some() || connections.len() < self.max_connections;
        if keeps_own || !has_capacity {
            return;
        }
        if let Some(replaced) = connections.insert(peer.clone(), connection.clone()) {
            connection.take_over(&replaced);
        }
    }

    fn remove_connection(&self, name: &Name, connection: &Rc<Connection>) {
        let mut connections = self.connections.borrow_mut();
        let current = connections.get(name);
        if current.is_some_and(|current| Rc::ptr_eq(current, connection)) {
            connections.remove(name);
        }
    }

    fn local_end(&self) -> LocalEnd<'_> {
        LocalEnd {
            fleet: &self.fleet,
            name: &self.name,
            keys: &self.keys,
            incarnation: self.incarnation(),
        }
    }

    /// Reads and writes messages until either end closes the connection, a message is invalid, or it is idle. What is
    /// dropped half read or written then goes with the connection.
    async fn serve(self: &Rc<Self>, stream: &Stream, session: Session, connection: &Connection) {
        let Session {
            peer,
            peer_incarnation,
            own_incarnation,
            outbound,
            inbound,
        } = session;
        let incarnations = (peer_incarnation, own_incarnation);
        tokio::select! {
            biased;
            () = self.read_messages(stream, inbound, &peer, incarnations, connection) => {}
            () = self.write_messages(stream, outbound, connection) => {}
            () = wait_until_idle(connection) => {}
        }
    }

    async fn read_messages(
        self: &Rc<Self>,
        stream: &Stream,
        mut inbound: Channel,
        peer: &Name,
        (peer_incarnation, own_incarnation): (Incarnation, Incarnation),
        connection: &Connection,
    ) {
        while let Some(bytes) = read_message(stream).await {
            let message = inbound
                .open(&bytes)
                .and_then(|body| TopicMessage::decode(body).ok());
            let Some(message) = message else {
                increment(&self.traffic.bad_connections);
                return;
            };
            connection.mark_used();
            if !self.handle_message(peer, peer_incarnation, own_incarnation, &message) {
                return;
            }
        }
    }

    async fn write_messages(
        &self,
        stream: &Stream,
        mut outbound: Channel,
        connection: &Connection,
    ) {
        loop {
            let message = connection.next_message().await;
            connection.mark_used();
            let message = TopicMessage {
                topic: message.topic,
                bytes: message.bytes,
            };
            let bytes = outbound.seal(&message.encode_to_vec());
            self.traffic.sent_messages.add(bytes.len());
            // A member that reads nothing for so long is cut off; anti-entropy makes up for what it missed.
            let written = timeout(IO_TIMEOUT, write_all(stream, &bytes)).await;
            if !matches!(written, Ok(Some(()))) {
                return;
            }
        }
    }
}

async fn wait_until_idle(connection: &Connection) {
    while !connection.check_idle() {
        sleep(IDLE_TIMEOUT).await;
    }
}
