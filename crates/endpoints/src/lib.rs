//! The endpoint list merged from several sources, without I/O or a clock: the caller passes in updates with their time
//! and gets back the endpoints that changed.
//!
//! - The strictest state wins: an endpoint is draining or removed from the first such report of any source that lists
//!   it. The reports of a source that disconnects remain in effect.
//! - A report refers to one incarnation of the endpoint: the one whose start time it gives, or else the newest one
//!   known when the report was made. A newer start time from any source makes it obsolete.
//! - Address, zone, machine type, cell and weight come from the first source, in the given order, that lists the newest
//!   incarnation of the endpoint.
//! - If a resync implies an implausible number of removals, they are withheld ([`RemovalGuard`]).
#![forbid(unsafe_code)]

mod endpoint;
mod guard;
mod merge;
mod merged;
mod source;

pub use endpoint::ListedEndpoint;
pub use guard::RemovalGuard;
pub use merged::{MergedEndpoints, SourceId};
pub use source::{SourceConfig, SourceEntry, SourceState, SourceStatus};
