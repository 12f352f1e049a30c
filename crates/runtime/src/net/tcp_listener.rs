//! Listeners for TCP connections.

use super::tcp_stream::TcpStream;
use crate::simulation::{self, Listener};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// The highest descriptor of a standard stream.
const STANDARD_ERROR: i32 = 2;

/// A listener.
pub struct TcpListener(Inner);

enum Inner {
    System(tokio::net::TcpListener),
    Simulated(Box<dyn Listener>),
}

impl TcpListener {
    /// Listens at an address; at a free port if its port is 0.
    ///
    /// # Errors
    /// The system's error.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(TcpListener(match simulation::current() {
            None => Inner::System(tokio::net::TcpListener::bind(address).await?),
            Some(machine) => Inner::Simulated(machine.listen(address)?),
        }))
    }

    /// Adopts a listening socket that this process was started with.
    ///
    /// # Errors
    /// The descriptor is not open, or is no listening TCP socket.
    #[expect(
        unsafe_code,
        reason = "a number can't be owned in safe code; the one place that does"
    )]
    pub fn from_inherited_fd(descriptor: i32) -> io::Result<Self> {
        let invalid = |what: &str| io::Error::new(ErrorKind::InvalidInput, what.to_owned());
        if descriptor <= STANDARD_ERROR {
            return Err(invalid("a standard stream is no listener"));
        }
        // A number that is not open would make the owned value close another's descriptor later.
        std::fs::metadata(format!("/proc/self/fd/{descriptor}"))?;
        // SAFETY: `from_raw_fd` asks that the descriptor is open and owned by nobody else in this process. It is open, as
        // was just seen. It was inherited: whoever started the process gave it away by naming it, this is called once,
        // before anything else is opened, and nothing else here ever learns its number.
        let owned =
            unsafe { <std::os::fd::OwnedFd as std::os::fd::FromRawFd>::from_raw_fd(descriptor) };
        let socket = socket2::Socket::from(owned);
        if !socket.is_listener()? {
            return Err(invalid("it does not listen"));
        }
        socket.set_nonblocking(true)?;
        socket.set_cloexec(true)?;
        let listener = tokio::net::TcpListener::from_std(socket.into())?;
        Ok(TcpListener(Inner::System(listener)))
    }

    /// The address it listens at.
    ///
    /// # Errors
    /// The system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match &self.0 {
            Inner::System(listener) => listener.local_addr(),
            Inner::Simulated(listener) => Ok(listener.address()),
        }
    }

    /// The next connection and its peer's address. Cancellation safe.
    ///
    /// # Errors
    /// The system's error: out of descriptors, or the client has left already.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        match &self.0 {
            Inner::System(listener) => {
                let (stream, from) = listener.accept().await?;
                Ok((TcpStream::from_system(stream), from))
            }
            Inner::Simulated(listener) => {
                let (socket, from) = std::future::poll_fn(|cx| listener.poll_accept(cx)).await?;
                Ok((TcpStream::from_simulated(socket), from))
            }
        }
    }
}
