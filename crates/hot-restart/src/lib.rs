//! Hot restart: while a newer process of a node replaces an older one, both together keep the node's limits, and each knows
//! the calls of the other that must not run twice. This package handles events and computes limits, without I/O. The older
//! process reports its use of resources to the newer one over a connection, whose end means that the older process has exited;
//! over another, both tell each other their calls.
#![forbid(unsafe_code)]

mod call_message;
mod call_table;
mod report;
mod resources;
mod split;

pub use call_message::{
    CallId, CallMessage, CallMessageDecoder, CallMessageError, encode_closed, encode_header,
    encode_listed, encode_opened,
};
pub use call_table::{CallTable, PeerId, TooManyCalls};
pub use report::{MAX_REPORT_BYTES, decode, encode};
pub use resources::Resources;
pub use split::{Event, ResourceSplit};
