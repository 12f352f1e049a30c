//! A loopback port that the system gives to nobody else.

use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// A TCP port that is bound and not listened on: connections to it are refused. The system assigns it neither to a listener
/// that asks for any port nor to an outgoing connection. Whoever names the port may listen on it while it is reserved.
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves a port that is free.
    pub fn new() -> Self {
        let any = SocketAddr::from(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        // Lets a listener that names the port bind it.
        socket.set_reuse_address(true).expect("its option");
        socket.bind(&any.into()).expect("a port");
        let address = socket.local_addr().expect("its address");
        ReservedPort {
            address: address.as_socket().expect("an IP address"),
            _socket: socket,
        }
    }

    /// The address that refuses connections until somebody listens there.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Default for ReservedPort {
    fn default() -> Self {
        Self::new()
    }
}
