//! Events that the host reports to the balancer: requests, ended attempts and health checks, endpoint updates, timers.

use crate::endpoint::{Endpoint, EndpointUpdate};
use crate::ids::{RequestId, ServerId};
use crate::load_report::LoadReport;
use crate::settings::{RequestPolicy, Settings};
use std::time::Duration;

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded without an error.
    Served,
    /// The server returned an error; the request may have run.
    Error,
    /// The server rejected the request without running it: its queue is full, or it is draining.
    Rejected,
    /// No response within the attempt's timeout; the request may have run.
    TimedOut,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection was lost; the request may have run.
    Reset,
    /// Cancelled by this node; the request may have run.
    Cancelled,
    /// Never sent: when a connection became available, the request already had its final response, was past its
    /// deadline, or had no attempts left.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A request as the node accepts it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewRequest {
    /// The request.
    pub id: RequestId,
    /// The position of its class in [`Settings::classes`].
    pub class: usize,
    /// The position of its tenant in [`Settings::tenants`].
    pub tenant: usize,
    /// A hash of the object that the request addresses; 0 for none. No policy uses it.
    pub key: u64,
    /// How long the client waits for this request, from now.
    pub remaining: Duration,
    /// Its expected processor time on a standard core, if the client states it.
    pub expected_work: Option<Duration>,
    /// Whether the client marks it as one of its own retries.
    pub client_retry: bool,
    /// Whether its body is still being received; `remaining` then counts from [`Event::BodyComplete`].
    pub body_pending: bool,
    /// The settings under which its head was accepted; `None` if these are the settings in force.
    pub policy: Option<RequestPolicy>,
}

impl NewRequest {
    /// How long after its last byte the client wants the response: the latency objective of its policy, if that is shorter
    /// than the time for which the client waits.
    pub fn wanted_within(&self) -> Duration {
        match &self.policy {
            Some(policy) => self.remaining.min(policy.class.latency_objective),
            None => self.remaining,
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt's number within the request, in send order, from 0.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// Whether the client has received the request's final response; otherwise the node still owes it.
    pub has_final_response: bool,
    /// Whether the request's body is consumed: it was not buffered, so it cannot be sent again.
    pub body_consumed: bool,
    /// The server's load report, if the response carried one.
    pub report: Option<LoadReport>,
}

/// The end of a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckEnd {
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// The server's load report, if the response carried one.
    pub report: Option<LoadReport>,
}

/// An event reported by the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The settings have changed. Classes and tenants keep their positions and none is removed; open requests, and those
    /// whose head was accepted before ([`NewRequest::policy`]), keep the policy under which they were accepted. A lower
    /// attempt limit and a ban on hedging apply to them too, and so does a stricter idempotency with
    /// [`Settings::tighten_open_requests`].
    Settings(Box<Settings>),
    /// An endpoint update, or a failure to get one.
    EndpointList {
        /// The kind of update.
        update: EndpointUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A request was accepted. The node owes it exactly one final response.
    Request(NewRequest),
    /// The last byte of a request's body was received; its deadline counts from when the client may have sent that.
    BodyComplete {
        /// The request.
        id: RequestId,
        /// How long ago the client may have sent the last byte, which the node reads late if a backend is slow.
        since_last_byte: Duration,
        /// Whether the body is consumed and cannot be sent again.
        body_consumed: bool,
    },
    /// A request's body is still being received, since no server reads it fast enough, and the client may have sent the last
    /// byte so long ago that its deadline has passed.
    BodyOverdue {
        /// The request.
        id: RequestId,
    },
    /// The client has received the first bytes of this attempt's response, so no other attempt can serve the request.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number within the request, in send order, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// The server's load report, if the response carried one.
        report: Option<LoadReport>,
    },
    /// An attempt has ended. Reported exactly once for each [`crate::Action::Send`].
    AttemptEnded(AttemptEnd),
    /// The client has disconnected; no response is owed any more.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A timer set by [`crate::Action::SetTimer`] has expired.
    Timer {
        /// The token that it was set with.
        token: u64,
    },
    /// A health check has ended.
    HealthChecked(HealthCheckEnd),
    /// A message from another node. Ignored at present.
    PeerMessage {
        /// The sender's node number.
        from: u32,
        /// Its bytes.
        data: Vec<u8>,
    },
}
