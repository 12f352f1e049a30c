//! Sockets between processes of one machine, by a path of the file system.
//!
//! They have no counterpart in a simulated world: they are used only where the platform replaces processes.

use std::io;
use std::path::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net;

/// A listener.
pub struct UnixListener(net::UnixListener);

impl UnixListener {
    /// Listens at a path, in place of what is there. Connections to that listener stay open.
    ///
    /// # Errors
    /// The system's error.
    pub fn replace(path: &Path) -> io::Result<Self> {
        let temporary = path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&temporary); // left by an ended process with the same id
        let listener = net::UnixListener::bind(&temporary)?;
        std::fs::rename(&temporary, path)?;
        Ok(UnixListener(listener))
    }

    /// The next connection. Cancellation safe.
    ///
    /// # Errors
    /// The system's error.
    pub async fn accept(&self) -> io::Result<UnixStream> {
        let (stream, _) = self.0.accept().await?;
        Ok(UnixStream(stream))
    }
}

/// A connection.
pub struct UnixStream(net::UnixStream);

impl UnixStream {
    /// Connects to the listener at a path.
    ///
    /// # Errors
    /// Nobody listens there.
    pub async fn connect(path: &Path) -> io::Result<Self> {
        Ok(UnixStream(net::UnixStream::connect(path).await?))
    }

    /// The two ends of a connection within this process.
    ///
    /// # Errors
    /// Out of descriptors.
    pub fn pair() -> io::Result<(Self, Self)> {
        net::UnixStream::pair().map(|(one, other)| (UnixStream(one), UnixStream(other)))
    }

    /// Reads what is available; 0 at the end of the stream. Cancellation safe.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read(buffer).await
    }

    /// Writes as many bytes as fit, and returns how many. Cancellation safe: if dropped, it has written nothing.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes).await
    }
}
