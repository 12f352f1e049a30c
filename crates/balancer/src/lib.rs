//! The decisions of a load-balancing proxy, without the proxy.
//!
//! A [`Balancer`] takes the [`Event`]s of one node and returns [`Action`]s: which server each request is sent to, and
//! when it is retried, hedged, rejected or failed. Servers are selected by Join-Up-To(m) by default. It does no input or
//! output, reads no clock and shares no state with other nodes; the same seed, settings and events always give the same
//! actions.
//!
//! Times are [`std::time::Duration`]s. A point in time is the time elapsed since a fixed origin of the host's monotonic
//! clock.
//!
//! Each policy is a type in its own file under `policy`; [`Balancer`] composes them.
#![forbid(unsafe_code)]

mod action;
mod endpoint;
mod event;
mod ids;
mod load_report;
mod policy;
pub mod settings;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointUpdate, ServerState};
pub use event::{AttemptEnd, Event, HealthCheckEnd, NewRequest, Outcome};
pub use ids::{RequestId, ServerId};
pub use load_report::LoadReport;
pub use policy::{Balancer, EndpointCounts, FinishReason, HoldReason, SendBlocked};
pub use settings::{
    Class, Idempotency, Limits, ObjectiveWeights, Penalties, ReportSource, RequestPolicy,
    SafetyRules, Scope, Settings, Tenant,
};

/// The README's example, compiled as a test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
