//! Responses on their way from a backend to a client.

use crate::{BodyStream, Payload};
use sillward_balancer::{LoadReport, RequestId};
use std::time::Duration;

/// The one final response of a request.
pub enum FinalResponse {
    /// A backend's complete response.
    Complete(Payload),
    /// A backend's long response, forwarded while it is received.
    Streamed {
        /// What has been received so far.
        first: Payload,
        /// The length of the whole body in bytes, where known.
        length: Option<u64>,
        /// What follows `first`.
        rest: Box<dyn BodyStream>,
    },
    /// Rejected: a retry is safe, as the balancer decides it.
    Rejected {
        /// Retry after this time, where the settings allow to say so.
        retry_after: Option<Duration>,
        /// The request is known never to have run; otherwise it may have.
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
    /// What has been received so far.
    pub payload: Payload,
    /// The length of the whole body in bytes, where known.
    pub length: Option<u64>,
    /// The load that the backend reported, if it did.
    pub report: Option<LoadReport>,
    /// What follows `payload`.
    pub rest: Box<dyn BodyStream>,
}
