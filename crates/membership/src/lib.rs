//! Who else is in the fleet: alive, suspected, gone, in which incarnation; and the small values that each tells of itself.
//! No I/O, no clock and no dice of its own: events with times in, frames and news out, the same for the same seed.
//!
//! The ways are SWIM's (random probes, helpers, rumours on frames that go out anyway) with Lifeguard's three lessons: who
//! is slow itself waits longer before it accuses, the accused is told first, and the more accuse the shorter the wait.
//! What is said here beyond them, and why, stands in `docs/design/fleet.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod incarnation;
mod local_health;
mod machine;
mod members;
mod probes;
mod rumours;
mod sync;
mod values;
pub mod wire;

pub use incarnation::{Incarnation, MemberState, MemberUpdate, Name, NodeMetadata};
pub use local_health::LocalHealth;
pub use machine::{
    Action, Counters, Event, InjectedBug, LocalNode, Membership, MembershipSettings,
    MembershipStatus,
};
pub use members::{Member, ProbeCounts};
pub use sync::SyncStep;
pub use values::{MAX_KEY_BYTES, MAX_VALUE_BYTES, MAX_VALUES, Value};
