//! What a host reports to the balancer: requests, ends of attempts and health checks, endpoint updates, timers.

use crate::endpoint::{Endpoint, EndpointUpdate};
use crate::ids::{RequestId, ServerId};
use crate::load_report::LoadReport;
use crate::settings::Settings;
use std::time::Duration;

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Served,
    /// The server returned an error; the request may have run.
    Error,
    /// The server rejected it without running it: its queue is full, or it is draining.
    Rejected,
    /// No answer within the attempt's timeout; the request may have run.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// Cancelled by this node; the request may have run.
    Cancelled,
    /// Never sent: by the time a connection was available the request was answered, past its deadline, or out of attempts.
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
    /// A hash of the object that it is about; 0 for none. No policy uses it.
    pub key: u64,
    /// How long the client waits for this request, from now.
    pub remaining: Duration,
    /// Its expected processor time on a standard core, where the client gives one.
    pub expected_work: Option<Duration>,
    /// Whether the client marks it as a retry of its own.
    pub client_retry: bool,
    /// Whether its body is still being received: `remaining` then counts from [`Event::BodyComplete`].
    pub body_pending: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, in the order of sending, from 0.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// Whether the client has the request's final answer; otherwise the node still owes it.
    pub has_final_response: bool,
    /// Whether the request's body is consumed: it was not buffered and cannot be sent again.
    pub body_consumed: bool,
    /// The server's load report, if the answer carried one.
    pub report: Option<LoadReport>,
}

/// How a health check ended.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckEnd {
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// The server's load report, if the answer carried one.
    pub report: Option<LoadReport>,
}

/// Something that has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The settings have changed. Classes and tenants keep their positions and none is removed; open requests keep the
    /// terms under which they were accepted.
    Settings(Box<Settings>),
    /// An update of the endpoint list, or the failure to get one.
    EndpointList {
        /// What the entries are.
        update: EndpointUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A request was accepted. The node owes it exactly one final answer.
    Request(NewRequest),
    /// The last byte of a request's body was received: its deadline counts from now.
    BodyComplete {
        /// The request.
        id: RequestId,
        /// Whether its body is consumed and cannot be sent again.
        body_consumed: bool,
    },
    /// The client has received the first bytes of this attempt's response; no other attempt can answer any more.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number, in the order of sending, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// The server's load report, if the answer carried one.
        report: Option<LoadReport>,
    },
    /// An attempt has ended. Each [`crate::Action::Send`] has exactly one such event.
    AttemptEnded(AttemptEnd),
    /// The client has disconnected; no answer is owed any more.
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
    /// A message from another node. Ignored today.
    PeerMessage {
        /// The sender's node number.
        from: u32,
        /// Its bytes.
        data: Vec<u8>,
    },
}
