//! Unix domain sockets, which connect processes of one machine by a path of the file system.
//!
//! They have no simulated counterpart: they are used only for hot restarts.

use std::io::{self, Read, Write};
use std::path::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net;

/// A Unix domain socket that listens for connections.
pub struct UnixListener(net::UnixListener);

impl UnixListener {
    /// Listens at a path, and replaces an existing listener there. The connections of that listener stay open.
    ///
    /// # Errors
    /// An operating system error.
    pub fn replace(path: &Path) -> io::Result<Self> {
        let temporary = path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&temporary); // left by an earlier process with the same id
        let listener = net::UnixListener::bind(&temporary)?;
        std::fs::rename(&temporary, path)?;
        Ok(UnixListener(listener))
    }

    /// The next connection. Cancellation safe.
    ///
    /// # Errors
    /// An operating system error.
    pub async fn accept(&self) -> io::Result<UnixStream> {
        let (stream, _) = self.0.accept().await?;
        Ok(UnixStream(stream))
    }
}

/// A connection over a Unix domain socket.
pub struct UnixStream(net::UnixStream);

impl UnixStream {
    /// Connects to the listener at a path.
    ///
    /// # Errors
    /// Nothing listens at the path.
    pub async fn connect(path: &Path) -> io::Result<Self> {
        Ok(UnixStream(net::UnixStream::connect(path).await?))
    }

    /// A connection whose reads and writes are system calls that never wait.
    ///
    /// # Errors
    /// An operating system error.
    pub fn into_nonblocking(self) -> io::Result<NonblockingUnixStream> {
        self.0.into_std().map(NonblockingUnixStream)
    }

    /// Opens a connection within this process, and returns its two ends.
    ///
    /// # Errors
    /// There is no file descriptor left.
    pub fn pair() -> io::Result<(Self, Self)> {
        net::UnixStream::pair().map(|(first, second)| (UnixStream(first), UnixStream(second)))
    }

    /// Reads what is available; 0 at the end of the stream. Cancellation safe.
    ///
    /// # Errors
    /// The connection has failed.
    pub async fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read(buffer).await
    }

    /// Writes as many bytes as fit, and returns how many. Cancellation safe: if dropped, it has written nothing.
    ///
    /// # Errors
    /// The connection has failed.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes).await
    }
}

/// A connection over a Unix domain socket that is read and written without waiting.
///
/// What the other process has written before a read is read by it, unlike with [`UnixStream`], which reads once the event
/// loop has seen that there is something to read.
pub struct NonblockingUnixStream(std::os::unix::net::UnixStream);

impl NonblockingUnixStream {
    /// Reads what is available; 0 at the end of the stream.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if there is nothing, or the connection has failed.
    pub fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read(buffer)
    }

    /// Writes as many bytes as fit, and returns how many.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if none fit, or the connection has failed.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }
}
