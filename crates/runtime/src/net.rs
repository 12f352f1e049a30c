//! TCP and UDP: the system's, or those of a simulated [`SimulatedMachine`](crate::simulation::SimulatedMachine).

mod tcp_listener;
mod tcp_stream;
mod udp_socket;

pub use tcp_listener::TcpListener;
pub use tcp_stream::TcpStream;
pub use udp_socket::UdpSocket;
