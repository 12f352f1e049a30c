//! Transport errors.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Reason why the transport could not start.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The sockets could not be bound.
    #[error("cannot bind the sockets for fleet traffic to {address}: {source}")]
    Listen {
        /// The configured listen address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The state directory could not be created, or the incarnation file could not be read.
    #[error("cannot use the fleet's state directory {}: {source}", path.display())]
    StateDir {
        /// The state directory.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The operating system provided no random numbers.
    #[error("cannot get random numbers for the fleet transport: {0}")]
    Random(#[source] io::Error),
}
