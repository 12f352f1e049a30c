//! The resources of a node that its processes share.

use std::fmt;

/// Resources in use, or limits on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Client connections.
    pub client_connections: usize,
    /// Connections to backends.
    pub backend_connections: usize,
    /// Bytes of request and response bodies.
    pub body_bytes: usize,
}

impl Resources {
    /// Combines each resource with the same resource of `other`.
    #[must_use]
    pub fn zip(self, other: Self, combine: impl Fn(usize, usize) -> usize) -> Self {
        Resources {
            client_connections: combine(self.client_connections, other.client_connections),
            backend_connections: combine(self.backend_connections, other.backend_connections),
            body_bytes: combine(self.body_bytes, other.body_bytes),
        }
    }

    /// Half of each resource.
    #[must_use]
    pub fn half(self) -> Self {
        self.zip(self, |amount, _| amount / 2)
    }

    /// The larger amount of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.zip(other, usize::max)
    }

    /// The smaller amount of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, usize::min)
    }

    /// The difference of each resource, at least 0.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        self.zip(other, usize::saturating_sub)
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} client connections, {} backend connections, {} body bytes",
            self.client_connections, self.backend_connections, self.body_bytes
        )
    }
}
