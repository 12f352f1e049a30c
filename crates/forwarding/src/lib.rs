//! The node's middle, which knows no protocol and opens no socket. Fronts turn bytes into a [`Call`] and an
//! [`FinalResponse`] into bytes; backend protocols ([`BackendProtocol`]) turn an [`Attempt`] into bytes and what comes back
//! into an outcome. Between them stands the [`Node`]: the only owner of the decision module and of the request
//! table. A further protocol needs no change here.
#![forbid(unsafe_code)]

mod attempt;
mod call;
mod dispatch;
mod flow;
mod intake;
mod live;
mod memory;
mod news;
mod node;
mod report;
mod witness;

pub use attempt::{
    Attempt, AttemptResult, BackendProtocol, Exchange, HealthCheckReply, HealthCheckResult,
    LocalBoxFuture, ResponseStarted, StopReason, run_attempt,
};
pub use call::{
    Call, CallProgress, ClientCheck, FinalResponse, Payload, PayloadFormat, ResponseValidator,
    key_hash,
};
pub use dispatch::Dispatch;
pub use flow::{BodyReceiver, BodySender, BodyStream, IncompleteBody, StreamingBody};
pub use intake::{AcceptedRequest, NodeHandle};
pub use live::{LiveSettings, SettingsLease};
pub use memory::{MemoryBudget, MemoryReservation};
pub use news::{Backend, BackendUpdate, DiscoveryCommand};
pub use node::{Node, NodeGauges};
pub use report::LoadReportParser;
pub use witness::{AttemptTimes, NodeObserver};

/// The most bytes of a body, either way.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// Up to so many bytes an answer is read whole before it goes on, so that a broken one is an outcome and no half answer.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;
/// Up to so many bytes a request's body is read whole before it goes on, and kept: so long it can be sent again.
pub const MAX_REPLAYABLE_BODY_BYTES: usize = 256 * 1024;
/// What a connection may buffer. For HTTP no head is longer; the least that hyper allows.
pub const READ_BUFFER_BYTES: usize = 8 * 1024;
/// A probe that is not answered by then tells nothing that is still true.
pub const HEALTH_CHECK_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(250);

/// What reaches the node.
pub enum Message {
    /// A request that a front has taken.
    Request(Box<AcceptedRequest>),
    /// A client has left before its answer.
    ClientGone(sillward_balancer::RequestId),
    /// The last byte of a request has come whose body went on while it came: at that time.
    BodyReceived(sillward_balancer::RequestId, std::time::Duration),
    /// The first bytes of a long answer are there.
    ResponseStarted(ResponseStarted),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// A probe has ended.
    HealthChecked(HealthCheckResult),
    /// A change of the list of backends.
    EndpointList(BackendUpdate),
    /// The settings have changed; the generation, where a [`SettingsLease`] says whether they may be acted on.
    Settings {
        settings: std::rc::Rc<sillward_balancer::settings::PlatformSettings>,
        generation: u64,
    },
    /// Somebody asks how many backends are listed, and how many of them are avoided.
    View(tokio::sync::oneshot::Sender<sillward_metrics::EndpointGauges>),
}
