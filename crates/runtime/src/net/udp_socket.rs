//! UDP sockets.

use crate::simulation::{self, DatagramSocket};
use std::io;
use std::net::SocketAddr;

/// A UDP socket.
pub struct UdpSocket(Inner);

enum Inner {
    System(tokio::net::UdpSocket),
    Simulated(Box<dyn DatagramSocket>),
}

impl UdpSocket {
    /// Binds to an address; to a free port if its port is 0.
    ///
    /// # Errors
    /// An operating system error.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(UdpSocket(match simulation::current() {
            None => Inner::System(tokio::net::UdpSocket::bind(address).await?),
            Some(machine) => Inner::Simulated(machine.bind_udp(address)?),
        }))
    }

    /// The address at which it receives.
    ///
    /// # Errors
    /// An operating system error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match &self.0 {
            Inner::System(socket) => socket.local_addr(),
            Inner::Simulated(socket) => Ok(socket.address()),
        }
    }

    /// Receives the next datagram. Returns how many of its bytes fit into `buffer`, and its sender's address. Cancellation
    /// safe.
    ///
    /// # Errors
    /// An operating system error, also one caused by an earlier datagram to an address where nothing listens.
    pub async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        match &self.0 {
            Inner::System(socket) => socket.recv_from(buffer).await,
            Inner::Simulated(socket) => {
                let max_bytes = buffer.len();
                let (bytes, sender) =
                    std::future::poll_fn(|cx| socket.poll_receive(cx, max_bytes)).await?;
                let count = bytes.len().min(max_bytes);
                buffer[..count].copy_from_slice(&bytes[..count]);
                Ok((count, sender))
            }
        }
    }

    /// Sends a datagram, or drops it if the send buffer is full: datagrams may be lost anyway.
    ///
    /// # Errors
    /// The buffer is full, there is no route, or an earlier datagram found nothing listening there.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        match &self.0 {
            Inner::System(socket) => socket.try_send_to(bytes, to).map(drop),
            Inner::Simulated(socket) => socket.send(bytes, to),
        }
    }
}
