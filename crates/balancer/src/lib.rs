//! The decisions of a load-balancing proxy, without the proxy.
//!
//! A [`Balancer`] is given the [`Event`]s of one node and answers with [`Action`]s: which server each request is sent to,
//! when it is retried or hedged, rejected or failed. Its ordinary choice is Join-Up-To(m). It does no input or output, reads
//! no clock and shares nothing with other nodes; the same events always give the same actions.
//!
//! Times are [`std::time::Duration`]s. A point in time is the time since a fixed moment of the host's monotonic clock.
//!
//! Each policy is a type in a file of `policy`; [`Balancer`] composes them.
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
    Class, Idempotency, Limits, ObjectiveWeights, Penalties, ReportSource, SafetyRules, Scope,
    Settings, Tenant,
};

/// The README's example, compiled as a test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
