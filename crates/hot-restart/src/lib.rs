//! Hot restart: while a new process of a node takes the place of an old one, both together keep the node's limits. Events
//! in, limits out; no I/O. The older process reports to the newer one over a connection whose end says that it has exited.
#![forbid(unsafe_code)]

mod report;
mod resources;
mod split;

pub use report::{MAX_REPORT_BYTES, decode, encode};
pub use resources::Resources;
pub use split::{Event, ResourceSplit};
