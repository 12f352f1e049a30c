//! Hot restart: while a newer process of a node replaces an older one, both together keep the node's limits. This package
//! handles events and computes limits, without I/O. The older process reports to the newer one over a connection, whose end
//! means that the older process has exited.
#![forbid(unsafe_code)]

mod report;
mod resources;
mod split;

pub use report::{MAX_REPORT_BYTES, decode, encode};
pub use resources::Resources;
pub use split::{Event, ResourceSplit};
