//! TCP and UDP: the system's, or that of a [`World`](crate::world::World).

use crate::world::{self, Datagrams, Listener, Socket};
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection.
pub struct TcpStream(Stands);

enum Stands {
    System(tokio::net::TcpStream),
    World(Box<dyn Socket>),
}

impl TcpStream {
    /// Opens a connection.
    ///
    /// # Errors
    /// It can't be opened: the system's error.
    pub async fn connect(to: SocketAddr) -> io::Result<Self> {
        Ok(TcpStream(match world::current() {
            None => Stands::System(prompt(tokio::net::TcpStream::connect(to).await?)),
            Some(world) => Stands::World(world.dial(to).await?),
        }))
    }

    /// Whether the peer has ended its sending or reset the connection, as far as the kernel and the runtime tell without
    /// reading: behind bytes that nobody has read the end shows only where the runtime has heard of it.
    pub(crate) fn has_ended(&self) -> bool {
        let stream = match &self.0 {
            Stands::System(stream) => stream,
            Stands::World(socket) => return socket.has_ended(),
        };
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => true,
            Ok(_) => {
                let heard = std::pin::pin!(stream.ready(tokio::io::Interest::READABLE));
                let heard = heard.poll(&mut Context::from_waker(std::task::Waker::noop()));
                matches!(heard, Poll::Ready(Ok(ready)) if ready.is_read_closed())
            }
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        }
    }

    pub(crate) fn bound_unsent(&self, bytes: usize) {
        match &self.0 {
            Stands::System(stream) => {
                let _ = SockRef::from(stream).set_send_buffer_size(bytes); // then it stays as it is
            }
            Stands::World(socket) => socket.bound_unsent(bytes),
        }
    }

    /// Asks the kernel: what the runtime has heard of it may be a turn of the loop old.
    pub(crate) fn is_quiet(&self) -> bool {
        match &self.0 {
            Stands::System(stream) => {
                let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
                peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
            }
            Stands::World(socket) => socket.is_quiet(),
        }
    }

    pub(crate) fn poll_take(&self, cx: &mut Context<'_>, to: &mut [u8]) -> Poll<io::Result<usize>> {
        let stream = match &self.0 {
            Stands::System(stream) => stream,
            Stands::World(socket) => return socket.poll_read(cx, to),
        };
        loop {
            ready!(stream.poll_read_ready(cx))?;
            match stream.try_read(to) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    pub(crate) fn poll_give(
        &self,
        cx: &mut Context<'_>,
        from: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = match &self.0 {
            Stands::System(stream) => stream,
            Stands::World(socket) => {
                let first = from.iter().find(|part| !part.is_empty());
                return socket.poll_write(cx, first.map_or(&[][..], |part| part));
            }
        };
        loop {
            ready!(stream.poll_write_ready(cx))?;
            match stream.try_write_vectored(from) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    pub(crate) fn shut(&self) -> io::Result<()> {
        match &self.0 {
            Stands::System(stream) => SockRef::from(stream).shutdown(std::net::Shutdown::Write),
            Stands::World(socket) => socket.shut_write(),
        }
    }
}

// For libraries that read and write it themselves.
impl AsyncRead for TcpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut self.get_mut().0 {
            Stands::System(stream) => Pin::new(stream).poll_read(cx, to),
            Stands::World(socket) => {
                let count = ready!(socket.poll_read(cx, to.initialize_unfilled()))?;
                to.advance(count);
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl AsyncWrite for TcpStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut self.get_mut().0 {
            Stands::System(stream) => Pin::new(stream).poll_write(cx, from),
            Stands::World(socket) => socket.poll_write(cx, from),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(())) // neither keeps anything back
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.get_mut().0 {
            Stands::System(stream) => Pin::new(stream).poll_shutdown(cx),
            Stands::World(socket) => Poll::Ready(socket.shut_write()),
        }
    }
}

impl TcpStream {
    /// Opens a connection that leaves from that address of this machine.
    ///
    /// # Errors
    /// It can't be opened: the system's error.
    pub async fn connect_from(from: std::net::IpAddr, to: SocketAddr) -> io::Result<Self> {
        Ok(TcpStream(match world::current() {
            None => {
                let socket = match from {
                    std::net::IpAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
                    std::net::IpAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
                };
                socket.bind(SocketAddr::new(from, 0))?;
                Stands::System(prompt(socket.connect(to).await?))
            }
            Some(world) => Stands::World(world.dial(to).await?),
        }))
    }
}

/// Sends what is written without delay: what the kernel still held back would go with a connection that is reset.
fn prompt(stream: tokio::net::TcpStream) -> tokio::net::TcpStream {
    let _ = stream.set_nodelay(true); // it has been closed by its peer already
    stream
}

/// A socket for datagrams.
pub struct UdpSocket(Carries);

enum Carries {
    System(tokio::net::UdpSocket),
    World(Box<dyn Datagrams>),
}

impl UdpSocket {
    /// Opens one at an address; at a free port if that is 0.
    ///
    /// # Errors
    /// The system's.
    pub async fn bind(at: SocketAddr) -> io::Result<Self> {
        Ok(UdpSocket(match world::current() {
            None => Carries::System(tokio::net::UdpSocket::bind(at).await?),
            Some(world) => Carries::World(world.datagrams(at)?),
        }))
    }

    /// Where it receives.
    ///
    /// # Errors
    /// The system's.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match &self.0 {
            Carries::System(socket) => socket.local_addr(),
            Carries::World(socket) => Ok(socket.address()),
        }
    }

    /// The next datagram: how many of its bytes there was room for, and where it comes from. Dropped while it waits, it
    /// loses none.
    ///
    /// # Errors
    /// The system's; also of an earlier send that nobody was there for.
    pub async fn receive(&self, to: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        match &self.0 {
            Carries::System(socket) => socket.recv_from(to).await,
            Carries::World(socket) => {
                let most = to.len();
                let (bytes, from) =
                    std::future::poll_fn(|cx| socket.poll_receive(cx, most)).await?;
                let count = bytes.len().min(most);
                to[..count].copy_from_slice(&bytes[..count]);
                Ok((count, from))
            }
        }
    }

    /// Hands one to the system, or drops it where that has no room: a datagram may be lost at any place, also here.
    ///
    /// # Errors
    /// There is no room, no way there, or nobody was there the last time.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        match &self.0 {
            Carries::System(socket) => socket.try_send_to(bytes, to).map(drop),
            Carries::World(socket) => socket.send(bytes, to),
        }
    }
}

/// A listener.
pub struct TcpListener(Listens);

enum Listens {
    System(tokio::net::TcpListener),
    World(Box<dyn Listener>),
}

impl TcpListener {
    /// Listens at an address; at a free port if that is 0.
    ///
    /// # Errors
    /// The system's.
    pub async fn bind(at: SocketAddr) -> io::Result<Self> {
        Ok(TcpListener(match world::current() {
            None => Listens::System(tokio::net::TcpListener::bind(at).await?),
            Some(world) => Listens::World(world.listen(at)?),
        }))
    }

    /// Adopts a listening socket that this process was started with.
    ///
    /// # Errors
    /// The descriptor is none, or no listening TCP socket.
    #[expect(
        unsafe_code,
        reason = "a number can't be owned in safe code; the one place that does"
    )]
    pub fn adopt(descriptor: i32) -> io::Result<Self> {
        let invalid = |what: &str| io::Error::new(ErrorKind::InvalidInput, what.to_owned());
        if descriptor <= 2 {
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
        Ok(TcpListener(Listens::System(
            tokio::net::TcpListener::from_std(socket.into())?,
        )))
    }

    /// Where it listens.
    ///
    /// # Errors
    /// The system's.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match &self.0 {
            Listens::System(listener) => listener.local_addr(),
            Listens::World(listener) => Ok(listener.address()),
        }
    }

    /// The next connection. Dropped while it waits, it loses none.
    ///
    /// # Errors
    /// The system's: out of descriptors, or the client has left already.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        match &self.0 {
            Listens::System(listener) => {
                let (stream, from) = listener.accept().await?;
                Ok((TcpStream(Stands::System(prompt(stream))), from))
            }
            Listens::World(listener) => {
                let (socket, from) = std::future::poll_fn(|cx| listener.poll_accept(cx)).await?;
                Ok((TcpStream(Stands::World(socket)), from))
            }
        }
    }
}

#[cfg(test)]
mod tests;
