//! Responses that the node gives to front ends.

use crate::{BodyStream, Payload};
use sillward_balancer::{LoadReport, RequestId};
use std::time::Duration;

/// The final response of a request, of which each request has exactly one.
pub enum FinalResponse {
    /// A backend's complete response.
    Complete(Payload),
    /// A backend's long response, forwarded while it is being received.
    Streamed {
        /// The bytes received so far.
        first: Payload,
        /// The length of the whole body in bytes, if known.
        length: Option<u64>,
        /// The bytes after `first`.
        rest: Box<dyn BodyStream>,
    },
    /// Rejected. The decision module has determined that the client may retry safely.
    Rejected {
        /// The time after which the client should retry, if the settings allow it to be sent.
        retry_after: Option<Duration>,
        /// Whether the request is known never to have run. If not, it may have run.
        never_ran: bool,
    },
    /// Failed; the request may have run.
    Failed,
    /// Failed at its deadline; the request may have run.
    TimedOut,
}

/// The first bytes of a streamed response.
pub struct ResponseStarted {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, in the order of sending, from 0.
    pub number: u32,
    /// The bytes received so far.
    pub payload: Payload,
    /// The length of the whole body in bytes, if known.
    pub length: Option<u64>,
    /// The load that the backend reported, if it did.
    pub report: Option<LoadReport>,
    /// The bytes after `payload`.
    pub rest: Box<dyn BodyStream>,
}
