//! Actions that the balancer requests from its host, to be executed in order.

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
        /// The timeout of the attempt.
        timeout: Duration,
    },
    /// Final response: rejected. The client may safely retry.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; `None` if clients get no `Retry-After`.
        retry_after: Option<Duration>,
    },
    /// Final response: failed. The request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number within the request, in send order, from 0.
        attempt: u32,
    },
    /// Report an [`crate::Event::Timer`] after a delay.
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
    /// Close idle connections to a server. Part of the wire protocol; not emitted at present.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Open a watch on the endpoint list, or close it.
    WatchEndpoints {
        /// Whether to open it. Always true at present.
        on: bool,
    },
    /// Fetch the whole endpoint list once. Part of the wire protocol; not emitted at present.
    FetchEndpoints,
    /// Send a message to one node or to all nodes. Part of the wire protocol; not emitted at present.
    SendToPeer {
        /// The receiver's node number; `None` for all nodes.
        to: Option<u32>,
        /// The message, at most 256 bytes.
        data: Vec<u8>,
    },
    /// Write a line to the log. Part of the wire protocol; not emitted at present.
    Log {
        /// The line.
        text: String,
    },
}
