//! Errors of the transport.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the transport could not be started.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The sockets could not be bound.
    #[error("cannot listen for the fleet on {address}: {source}")]
    Listen {
        /// The address of the settings.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The state directory could not be created, or the file in it not be read.
    #[error("cannot use the fleet's folder {}: {source}", path.display())]
    StateDir {
        /// The state directory.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The system gave no random numbers.
    #[error("no random numbers for the fleet: {0}")]
    Random(#[source] io::Error),
}
