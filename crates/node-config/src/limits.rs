//! How the process's limits are split between connections and bodies.

use crate::error::FileError;
use crate::file::FileLimits;
use sillward_forwarding::READ_BUFFER_BYTES;

/// Descriptors for all but connections: standard streams, listener, runtime, discovery, dials that end.
const RESERVED_SOCKETS: usize = 48;
/// Descriptors for operators, beside these: their listener and their connections.
const ADMIN_SOCKETS: usize = 33;
/// Memory of the program itself, its code, tables and queues, in bytes.
const PROCESS_BYTES: usize = 8 << 20;
/// Memory of a connection in bytes: hyper's buffers both ways, and its tasks.
const CONNECTION_BYTES: usize = READ_BUFFER_BYTES + 8 * 1024;
/// Least memory for bodies, in bytes.
const MIN_BODY_BYTES: usize = 1 << 20;
/// The least memory for open requests beside their bodies, in bytes.
const MIN_REQUEST_BYTES: usize = 256 << 10;
/// Fewer connections are of no use: one to a client and one to a backend.
const MIN_CONNECTIONS: usize = 2;

/// The node's limits.
pub(crate) struct ResourceLimits {
    pub(crate) client_connections: usize,
    pub(crate) backend_connections: usize,
    pub(crate) body_bytes: usize,
    /// Memory for open requests beside their bodies, in bytes.
    pub(crate) request_bytes: usize,
}

impl ResourceLimits {
    /// Splits the limits of the process. Half of the memory at most is for connections; an eighth of the rest for open
    /// requests, and an eighth is left free.
    ///
    /// # Errors
    /// [`FileError::Sockets`] if the limit on sockets leaves none for connections.
    pub(crate) fn new(limits: &FileLimits, has_admin: bool) -> Result<Self, FileError> {
        let memory = (limits.memory_mb * f64::from(1 << 20)) as usize;
        let memory = memory.saturating_sub(PROCESS_BYTES);
        let reserved = RESERVED_SOCKETS + if has_admin { ADMIN_SOCKETS } else { 0 };
        let sockets = limits.sockets.saturating_sub(reserved);
        if sockets < MIN_CONNECTIONS {
            return Err(FileError::Sockets {
                sockets: limits.sockets,
                reserved,
            });
        }
        let connections = sockets
            .min(memory / 2 / CONNECTION_BYTES)
            .max(MIN_CONNECTIONS);
        let left = memory.saturating_sub(connections * CONNECTION_BYTES);
        Ok(ResourceLimits {
            client_connections: connections / 2,
            backend_connections: connections - connections / 2,
            body_bytes: (left / 4 * 3).max(MIN_BODY_BYTES),
            request_bytes: (left / 8).max(MIN_REQUEST_BYTES),
        })
    }
}
