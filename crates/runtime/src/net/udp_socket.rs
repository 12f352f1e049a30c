//! Sockets for datagrams.

use crate::simulation::{self, DatagramSocket};
use std::io;
use std::net::SocketAddr;

/// A socket for datagrams.
pub struct UdpSocket(Inner);

enum Inner {
    System(tokio::net::UdpSocket),
    Simulated(Box<dyn DatagramSocket>),
}

impl UdpSocket {
    /// Binds to an address; to a free port if its port is 0.
    ///
    /// # Errors
    /// The system's error.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(UdpSocket(match simulation::current() {
            None => Inner::System(tokio::net::UdpSocket::bind(address).await?),
            Some(machine) => Inner::Simulated(machine.bind_udp(address)?),
        }))
    }

    /// The address it receives at.
    ///
    /// # Errors
    /// The system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match &self.0 {
            Inner::System(socket) => socket.local_addr(),
            Inner::Simulated(socket) => Ok(socket.address()),
        }
    }

    /// Receives the next datagram: how many of its bytes fitted, and its sender's address. Cancellation safe.
    ///
    /// # Errors
    /// The system's error, also that of an earlier send to an address where nobody listens.
    pub async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        match &self.0 {
            Inner::System(socket) => socket.recv_from(buffer).await,
            Inner::Simulated(socket) => {
                let max_bytes = buffer.len();
                let (bytes, from) =
                    std::future::poll_fn(|cx| socket.poll_receive(cx, max_bytes)).await?;
                let count = bytes.len().min(max_bytes);
                buffer[..count].copy_from_slice(&bytes[..count]);
                Ok((count, from))
            }
        }
    }

    /// Sends a datagram, or drops it if the system's buffer is full: datagrams may be lost anywhere.
    ///
    /// # Errors
    /// The buffer is full, there is no route, or nobody listened there the last time.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        match &self.0 {
            Inner::System(socket) => socket.try_send_to(bytes, to).map(drop),
            Inner::Simulated(socket) => socket.send(bytes, to),
        }
    }
}
