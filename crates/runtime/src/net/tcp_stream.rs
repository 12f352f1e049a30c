//! TCP connections.

use crate::simulation::{self, Socket};
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::{IpAddr, SocketAddr};
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};

/// The ioctl request `SIOCOUTQ` of tcp(7). Its number is that of `TIOCOUTQ`, on x86-64 and arm64 alike.
const SIOCOUTQ: rustix::ioctl::Opcode = 0x5411;

/// A TCP connection.
pub struct TcpStream(Inner);

enum Inner {
    System(tokio::net::TcpStream),
    Simulated(Box<dyn Socket>),
}

impl TcpStream {
    /// Opens a connection.
    ///
    /// # Errors
    /// An operating system error.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(match simulation::current() {
            None => Self::from_system(tokio::net::TcpStream::connect(address).await?),
            Some(machine) => Self::from_simulated(machine.connect(address).await?),
        })
    }

    /// Opens a connection from the local address `from`.
    ///
    /// # Errors
    /// An operating system error.
    pub async fn connect_from(from: IpAddr, address: SocketAddr) -> io::Result<Self> {
        if let Some(machine) = simulation::current() {
            return Ok(Self::from_simulated(machine.connect(address).await?));
        }
        let socket = match from {
            IpAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
            IpAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
        };
        socket.bind(SocketAddr::new(from, 0))?;
        Ok(Self::from_system(socket.connect(address).await?))
    }

    /// Disables Nagle's algorithm: bytes that the kernel delays are lost when the connection is reset.
    pub(super) fn from_system(stream: tokio::net::TcpStream) -> Self {
        let _ = stream.set_nodelay(true); // fails only if the peer has already closed the connection
        TcpStream(Inner::System(stream))
    }

    pub(super) fn from_simulated(socket: Box<dyn Socket>) -> Self {
        TcpStream(Inner::Simulated(socket))
    }

    /// Whether the peer has closed its sending side or reset the connection, as far as the kernel and Tokio can tell
    /// without reading: if there are unread bytes, only Tokio can.
    pub(crate) fn has_peer_closed(&self) -> bool {
        let stream = match &self.0 {
            Inner::System(stream) => stream,
            Inner::Simulated(socket) => return socket.has_peer_closed(),
        };
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => true,
            Ok(_) => {
                let readiness = pin!(stream.ready(Interest::READABLE));
                let readiness = readiness.poll(&mut Context::from_waker(Waker::noop()));
                matches!(readiness, Poll::Ready(Ok(ready)) if ready.is_read_closed())
            }
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Sets the size of the kernel's send buffer: the limit for bytes that the peer has not received yet.
    pub(crate) fn set_send_buffer_size(&self, bytes: usize) {
        match &self.0 {
            Inner::System(stream) => {
                let _ = SockRef::from(stream).set_send_buffer_size(bytes); // on an error, the size stays unchanged
            }
            Inner::Simulated(socket) => socket.set_send_buffer_size(bytes),
        }
    }

    /// Whether the connection is open and has nothing to read. Asks the kernel, since Tokio's readiness may be out of date.
    pub(crate) fn read_would_block(&self) -> bool {
        match &self.0 {
            Inner::System(stream) => {
                let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
                peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
            }
            Inner::Simulated(socket) => socket.read_would_block(),
        }
    }

    /// The number of bytes that the kernel has received and nobody has read; `None` if it can't tell.
    pub(crate) fn unread_bytes(&self) -> Option<u64> {
        match &self.0 {
            Inner::System(stream) => rustix::io::ioctl_fionread(stream).ok(),
            Inner::Simulated(_) => None,
        }
    }

    /// The number of bytes that were written and that the peer's kernel has not acknowledged; `None` if the kernel can't tell.
    pub(crate) fn unacknowledged_bytes(&self) -> Option<u64> {
        match &self.0 {
            Inner::System(stream) => unacknowledged_bytes(stream).ok(),
            Inner::Simulated(_) => None,
        }
    }

    /// As [`AsyncRead::poll_read`], by a shared reference.
    pub(crate) fn poll_read_shared(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let stream = match &self.0 {
            Inner::System(stream) => stream,
            Inner::Simulated(socket) => return socket.poll_read(cx, buffer),
        };
        loop {
            ready!(stream.poll_read_ready(cx))?;
            match stream.try_read(buffer) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// As [`AsyncWrite::poll_write_vectored`], by a shared reference.
    pub(crate) fn poll_write_shared(
        &self,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = match &self.0 {
            Inner::System(stream) => stream,
            Inner::Simulated(socket) => {
                let first = bytes.iter().find(|slice| !slice.is_empty());
                return socket.poll_write(cx, first.map_or(&[][..], |slice| slice));
            }
        };
        loop {
            ready!(stream.poll_write_ready(cx))?;
            match stream.try_write_vectored(bytes) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Closes the sending side.
    pub(crate) fn shutdown_write(&self) -> io::Result<()> {
        match &self.0 {
            Inner::System(stream) => SockRef::from(stream).shutdown(std::net::Shutdown::Write),
            Inner::Simulated(socket) => socket.shutdown_write(),
        }
    }
}

#[expect(
    unsafe_code,
    reason = "no safe function of a library makes this ioctl request"
)]
fn unacknowledged_bytes(stream: &tokio::net::TcpStream) -> io::Result<u64> {
    // SAFETY: `Getter` requires that the opcode is of a request that writes one value of this type. `SIOCOUTQ` of a TCP
    // socket writes a C `int`.
    let count = unsafe {
        rustix::ioctl::ioctl(
            stream,
            rustix::ioctl::Getter::<SIOCOUTQ, std::ffi::c_int>::new(),
        )
    }?;
    u64::try_from(count).map_err(io::Error::other)
}

// For libraries that read from and write to the stream themselves.
impl AsyncRead for TcpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut self.get_mut().0 {
            Inner::System(stream) => Pin::new(stream).poll_read(cx, buffer),
            Inner::Simulated(socket) => {
                let count = ready!(socket.poll_read(cx, buffer.initialize_unfilled()))?;
                buffer.advance(count);
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl AsyncWrite for TcpStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut self.get_mut().0 {
            Inner::System(stream) => Pin::new(stream).poll_write(cx, bytes),
            Inner::Simulated(socket) => socket.poll_write(cx, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(())) // nothing is buffered here
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.get_mut().0 {
            Inner::System(stream) => Pin::new(stream).poll_shutdown(cx),
            Inner::Simulated(socket) => Poll::Ready(socket.shutdown_write()),
        }
    }
}

#[cfg(test)]
mod tests;
