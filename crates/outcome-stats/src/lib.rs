//! Outcome statistics of a fleet: what each node has counted of backends and classes, exchanged between all nodes, and the
//! estimates that a node makes from it. No I/O and no clock: events with times go in, messages come out, the same for the same
//! seed.
//!
//! A node counts in windows ([`WindowedCounts`]). Its *report* is the sum of its last closed windows, under its name, its
//! incarnation and a version. A newer report of an incarnation replaces an older one, so that receiving a report twice, late or
//! by several ways adds nothing ([`ReportStore`]). Reports are never pushed: a node pulls from another what that one has
//! received since the last pull, and so knows that no report in a response is older than it claimed to be when the request was
//! sent ([`StatsExchange`]). The estimates come with their age, their weight and their error ([`FleetEstimate`]).
//!
//! The design and its measurements are in `docs/design/outcomes.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod codec;
mod config;
mod counts;
mod estimate;
mod exchange;
mod histogram;
mod report_store;
mod windowed_counts;
pub mod wire;

pub use config::{InjectedBug, StatsConfig};
pub use counts::{
    AttemptCounts, AttemptOutcome, BackendClass, BackendId, CallCounts, ClassId, Counts,
};
pub use estimate::{BackendEstimate, Coverage, DemandEstimate, FleetEstimate};
pub use exchange::{Action, ExchangeCounters, StatsExchange};
pub use histogram::LatencyHistogram;
pub use report_store::{Report, ReportStore};
pub use windowed_counts::WindowedCounts;
