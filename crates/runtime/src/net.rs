//! TCP and UDP sockets of the operating system or of a [`SimulatedMachine`](crate::simulation::SimulatedMachine).

mod tcp_listener;
mod tcp_stream;
mod udp_socket;

pub use tcp_listener::TcpListener;
pub use tcp_stream::TcpStream;
pub use udp_socket::UdpSocket;
