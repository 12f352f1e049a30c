//! What the balancer asks its host to do, in the order given.

use crate::ids::{RequestId, ServerId};
use std::time::Duration;

/// An action for the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// The attempt times out after this.
        timeout: Duration,
    },
    /// Final answer: rejected. The client may safely retry.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; `None` where clients are not told.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed. The request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number, in the order of sending, from 0.
        attempt: u32,
    },
    /// Report an [`crate::Event::Timer`] later.
    SetTimer {
        /// Delay from now.
        after: Duration,
        /// The token that the event carries.
        token: u64,
    },
    /// Run a health check against a server.
    HealthCheck {
        /// The server.
        server: ServerId,
    },
    /// Close idle connections to a server. Part of the wire; never sent today.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Open a watch on the endpoint list, or close it.
    WatchEndpoints {
        /// Whether to open it. Always true today.
        on: bool,
    },
    /// Fetch the whole endpoint list once. Part of the wire; never sent today.
    FetchEndpoints,
    /// Send a message to another node, or to all of them. Part of the wire; never sent today.
    SendToPeer {
        /// The receiver's node number; `None` for all nodes.
        to: Option<u32>,
        /// At most 256 bytes.
        data: Vec<u8>,
    },
    /// Write a line to the log. Part of the wire; never sent today.
    Log {
        /// The line.
        text: String,
    },
}
