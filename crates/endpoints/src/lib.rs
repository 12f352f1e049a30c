//! The list of endpoints merged from several sources. No I/O and no clock: updates and times in, changed endpoints out.
//!
//! - The strictest state wins: an endpoint drains, or is removed, as soon as one source that lists it reports that, from
//!   the first report on. A source that disconnects withdraws nothing.
//! - A report is about one incarnation of the endpoint: the one whose start time it gives, or else the newest that was
//!   known when it was made. A newer start time, from whichever source, voids it.
//! - Address, zone, machine type, cell and weight are those of the first source, in the order given, that lists the
//!   endpoint in its newest incarnation.
//! - Removals that a resync implies are withheld where they are implausibly many ([`RemovalGuard`]).
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
