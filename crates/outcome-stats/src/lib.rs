//! Outcome statistics of a fleet: the counts of each node by backend and class, their exchange between all nodes, and the
//! estimates that a node makes from them. It does no I/O and reads no clock: the caller passes in events with their times and
//! sends the returned messages. The behaviour is deterministic for a given seed.
//!
//! A node counts in windows ([`WindowedCounts`]). Its *report* is the sum of its last closed windows, identified by its
//! name, its incarnation and a version. A newer report of an incarnation replaces an older one, so that duplicates, late
//! arrivals and several paths do not count a report twice ([`ReportStore`]). Reports are never pushed: a node pulls
//! from another the reports that this one has received since the last pull. No report in a response is older than its stated
//! age plus the time since the request was sent ([`StatsExchange`]). The estimates come with their age, coverage and
//! error ([`FleetEstimate`]).
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
