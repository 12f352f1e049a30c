//! TCP listeners.

use super::tcp_stream::TcpStream;
use crate::simulation::{self, Listener};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// The highest file descriptor of a standard stream.
const STDERR_FD: i32 = 2;

/// A socket that listens for TCP connections.
pub struct TcpListener(Inner);

enum Inner {
    System(tokio::net::TcpListener),
    Simulated(Box<dyn Listener>),
}

impl TcpListener {
    /// Listens at an address; at a free port if its port is 0.
    ///
    /// # Errors
    /// An operating system error.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(TcpListener(match simulation::current() {
            None => Inner::System(tokio::net::TcpListener::bind(address).await?),
            Some(machine) => Inner::Simulated(machine.listen(address)?),
        }))
    }

    /// Takes ownership of a listening socket that this process inherited.
    ///
    /// # Errors
    /// The descriptor is not open, or is not a listening TCP socket.
    #[expect(
        unsafe_code,
        reason = "safe code cannot take ownership of a raw descriptor; this is the only place that does"
    )]
    pub fn from_inherited_fd(descriptor: i32) -> io::Result<Self> {
        let invalid = |reason: &str| io::Error::new(ErrorKind::InvalidInput, reason.to_owned());
        if descriptor <= STDERR_FD {
            return Err(invalid("a standard stream is not a listening socket"));
        }
        // If no descriptor with this number were open, dropping the owned value could close an unrelated one opened later.
        std::fs::metadata(format!("/proc/self/fd/{descriptor}"))?;
        // SAFETY: `from_raw_fd` requires that the descriptor is open and that nothing else in this process owns it. It is
        // open, as was checked above. It was inherited: the process that started this one gave up its ownership by passing
        // the number, this function is called once, before anything else is opened, and no other code learns the number.
        let owned =
            unsafe { <std::os::fd::OwnedFd as std::os::fd::FromRawFd>::from_raw_fd(descriptor) };
        let socket = socket2::Socket::from(owned);
        if !socket.is_listener()? {
            return Err(invalid("the socket is not listening"));
        }
        socket.set_nonblocking(true)?;
        socket.set_cloexec(true)?;
        let listener = tokio::net::TcpListener::from_std(socket.into())?;
        Ok(TcpListener(Inner::System(listener)))
    }

    /// The address at which it listens.
    ///
    /// # Errors
    /// An operating system error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match &self.0 {
            Inner::System(listener) => listener.local_addr(),
            Inner::Simulated(listener) => Ok(listener.address()),
        }
    }

    /// The next connection and its peer's address. Cancellation safe.
    ///
    /// # Errors
    /// An operating system error: there is no file descriptor left, or the client has already disconnected.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        match &self.0 {
            Inner::System(listener) => {
                let (stream, peer) = listener.accept().await?;
                Ok((TcpStream::from_system(stream), peer))
            }
            Inner::Simulated(listener) => {
                let (socket, peer) = std::future::poll_fn(|cx| listener.poll_accept(cx)).await?;
                Ok((TcpStream::from_simulated(socket), peer))
            }
        }
    }
}
