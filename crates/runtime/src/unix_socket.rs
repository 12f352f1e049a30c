//! Unix domain sockets, which connect processes of one machine by a path of the file system.
//!
//! They have no simulated counterpart: they are used only for hot restarts.

use std::io;
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
