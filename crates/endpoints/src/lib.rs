//! The endpoint list merged from several sources, without I/O or a clock: the caller passes in updates with their time
//! and gets back the endpoints that changed.
//!
//! - The strictest state wins: the merged state is never less strict than the last report of any source, unless that
//!   report is known to refer to an earlier incarnation of the endpoint. The reports of a source that disconnects remain
//!   in effect, and so do those of an endpoint that no source lists any more.
//! - A report refers to the incarnation whose start time it names, or else to the one that was running when the report
//!   was received ([`Incarnation`]). Clocks may differ by [`MAX_CLOCK_SKEW`].
//! - Address, zone, machine type, cell and weight come from the first source, in the given order, that lists the endpoint
//!   and whose report is not known to refer to an earlier incarnation.
//! - If a resync implies an implausible number of removals, they are withheld ([`RemovalGuard`]).
#![forbid(unsafe_code)]

mod endpoint;
mod guard;
mod incarnation;
mod merge;
mod merged;
mod source;
mod unlisted;

pub use endpoint::ListedEndpoint;
pub use guard::RemovalGuard;
pub use incarnation::{Incarnation, MAX_CLOCK_SKEW};
pub use merged::{MergedEndpoints, SourceId};
pub use source::{SourceConfig, SourceEntry, SourceState, SourceStatus};
pub use unlisted::MAX_UNLISTED_ENDPOINTS;
