//! The sockets of a member: one for datagrams and one for connections, at the same address.

use crate::error::TransportError;
use sillward_runtime::net::{TcpListener, UdpSocket};
use std::net::SocketAddr;

/// Attempts to find one free port for both sockets.
const MAX_BIND_ATTEMPTS: usize = 16;

/// Bound sockets of a member that does not run yet.
pub struct BoundSockets {
    pub(crate) udp: UdpSocket,
    pub(crate) tcp: TcpListener,
    /// The address of both.
    pub address: SocketAddr,
}

impl BoundSockets {
    /// Binds both sockets at one address; where its port is 0, at a port that is free for both.
    pub(crate) async fn bind(listen: SocketAddr) -> Result<Self, TransportError> {
        let error = |source| TransportError::Listen {
            address: listen,
            source,
        };
        let mut attempts = 1;
        loop {
            let tcp = TcpListener::bind(listen).await.map_err(error)?;
            let address = tcp.local_addr().map_err(error)?;
            match UdpSocket::bind(address).await {
                Ok(udp) => return Ok(BoundSockets { udp, tcp, address }),
                Err(_) if listen.port() == 0 && attempts < MAX_BIND_ATTEMPTS => attempts += 1,
                Err(source) => return Err(error(source)),
            }
        }
    }
}
