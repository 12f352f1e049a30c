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

/// Timeout of connecting, of the handshake and of writing one message.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the idle check; a connection without traffic since the last check is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

impl PeerTransport {
    /// Sends a message to a member over the existing connection, or dials one. The message is lost if the connection fails.
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

    /// Dials a member and runs the connection until it closes.
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

    /// Performs the handshake on an accepted connection and runs it until it closes.
    pub(crate) async fn accept(self: Rc<Self>, stream: TcpStream) {
        let (stream, _) = Stream::new(stream);
        let handshake = async { handshake::accept(&stream, self.local_end()).await };
        let Ok(Some(session)) = timeout(IO_TIMEOUT, handshake).await else {
            increment(&self.traffic.bad_connections);
            return;
        };
        let peer = session.peer.clone();
        let connection = Connection::new(false);
        self.register_accepted(&peer, &connection);
        self.serve(&stream, session, &connection).await;
        self.remove_connection(&peer, &connection);
    }

    /// Uses an accepted connection for sending from now on. If both members dialed at the same time, the connection dialed by
    /// the member with the lesser name is used; the other one is only read until it is idle.
    fn register_accepted(&self, peer: &Name, connection: &Rc<Connection>) {
        let mut connections = self.connections.borrow_mut();
        let existing = connections.get(peer);
        let prefers_existing =
            existing.is_some_and(|existing| existing.is_dialed() && self.name < *peer);
        let has_capacity = existing.is_some() || connections.len() < self.max_connections;
        if prefers_existing || !has_capacity {
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

    /// Reads and writes messages until either end closes the connection, a message is invalid, or the connection is idle.
    /// Dropping a partly read or written message is safe, because the connection is closed with it.
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
            // Disconnects a member that stops reading; anti-entropy later repairs what it missed.
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
