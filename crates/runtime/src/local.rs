//! Sockets between processes of one machine, by a path of the file system. No world stands beneath: what uses them is on
//! only where the platform replaces processes.

use std::io;
use std::path::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};

/// A listener.
pub struct LocalListener(UnixListener);

impl LocalListener {
    /// Listens at a path, in the place of whatever stands there: whoever connected to that keeps what they have.
    ///
    /// # Errors
    /// The system's.
    pub fn replace(path: &Path) -> io::Result<Self> {
        let beside = path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&beside); // a dead process of the same number left it
        let listener = UnixListener::bind(&beside)?;
        std::fs::rename(&beside, path)?;
        Ok(LocalListener(listener))
    }

    /// The next connection.
    ///
    /// # Errors
    /// The system's.
    pub async fn accept(&self) -> io::Result<LocalStream> {
        Ok(LocalStream(self.0.accept().await?.0))
    }
}

/// A connection.
pub struct LocalStream(UnixStream);

impl LocalStream {
    /// Connects to whoever listens at a path.
    ///
    /// # Errors
    /// Nobody does.
    pub async fn connect(path: &Path) -> io::Result<Self> {
        Ok(LocalStream(UnixStream::connect(path).await?))
    }

    /// The two ends of a connection within this process.
    ///
    /// # Errors
    /// Out of descriptors.
    pub fn pair() -> io::Result<(Self, Self)> {
        UnixStream::pair().map(|(one, other)| (LocalStream(one), LocalStream(other)))
    }

    /// Reads what is there; 0 at the end. Dropped while it waits, it loses nothing.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        self.0.read(to).await
    }

    /// Writes what there is room for, and says how much. Dropped while it waits, it has written nothing.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn write(&mut self, from: &[u8]) -> io::Result<usize> {
        self.0.write(from).await
    }
}
