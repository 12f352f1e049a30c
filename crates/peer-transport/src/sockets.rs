//! The UDP and TCP sockets of a member, bound to the same address.

use crate::error::TransportError;
use sillward_runtime::net::{TcpListener, UdpSocket};
use std::net::SocketAddr;

/// Maximum number of attempts to find a port that is free for both UDP and TCP.
const MAX_BIND_ATTEMPTS: usize = 16;

/// Bound sockets of a member whose event loop has not started.
pub struct BoundSockets {
    pub(crate) udp: UdpSocket,
    pub(crate) tcp: TcpListener,
    /// The address of both sockets.
    pub address: SocketAddr,
}

impl BoundSockets {
    /// Binds both sockets to one address; if the port is 0, picks one that is free for both.
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
