//! The core of the proxy: the request table, calls, attempts, final responses and the memory budget.
//!
//! This package is independent of protocols and opens no sockets. Front-end protocols decode requests into a [`Call`]
//! and encode a [`FinalResponse`]; back-end protocols ([`BackendProtocol`]) encode an [`Attempt`] and decode the
//! backend's response into an outcome. The [`Node`] connects them and is the only owner of the decision module and of
//! the request table. A new protocol needs no change in this package.
#![forbid(unsafe_code)]

mod attempt;
mod backend_update;
mod body;
mod call;
mod health_check;
mod limits;
mod live_settings;
mod load_report;
mod memory;
mod message;
mod node;
mod node_handle;
mod observer;
mod payload;
mod protocol;
mod protocol_dispatcher;
mod request_limit;
mod response;
mod settings_lease;

pub use attempt::{Attempt, AttemptResult, Exchange, StopReason, run_attempt};
pub use backend_update::{Backend, BackendUpdate, DiscoveryCommand};
pub use body::{
    BodyReceiver, BodySender, BodyStream, EarliestLastByte, IncompleteBody, StreamingBody,
};
pub use call::{Call, CallProgress, ClientConnectedCheck, ResponseValidator, key_hash};
pub use health_check::{HealthCheckResponse, HealthCheckResult};
pub use limits::{
    HEALTH_CHECK_TIMEOUT, MAX_BODY_BYTES, MAX_BUFFERED_RESPONSE_BYTES, MAX_REPLAYABLE_BODY_BYTES,
    READ_BUFFER_BYTES, STREAM_BUFFER_BYTES,
};
pub use live_settings::{LiveSettings, SettingsSnapshot};
pub use load_report::LoadReportParser;
pub use memory::{MemoryBudget, MemoryReservation};
pub use message::{Message, RequestMessage};
pub use node::{Node, NodeGauges};
pub use node_handle::{AcceptedRequest, NodeHandle};
pub use observer::{AttemptTimes, NodeObserver};
pub use payload::{Payload, PayloadFormat};
pub use protocol::{BackendProtocol, LocalBoxFuture};
pub use protocol_dispatcher::ProtocolDispatcher;
pub use request_limit::{RequestLimit, RequestPermit};
pub use response::{FinalResponse, ResponseStarted};
pub use settings_lease::SettingsLease;
