//! Who else is in the fleet: alive, suspected, gone, in which life; and the small values that each tells of itself.
//! No I/O, no clock and no dice of its own: events with times in, frames and news out, the same for the same seed.
//!
//! The ways are SWIM's (random probes, helpers, rumours on frames that go out anyway) with Lifeguard's three lessons: who
//! is slow itself waits longer before it accuses, the accused is told first, and the more accuse the shorter the wait.
//! What is said here beyond them, and why, stands in `docs/design/fleet.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod health;
mod life;
mod machine;
mod members;
mod probes;
mod rumours;
mod sync;
mod values;
pub mod words;

pub use health::Health;
pub use life::{About, Claim, Life, Name, State};
pub use machine::{Action, Event, Figures, Me, Peers, Plant, Standing, Terms};
pub use members::Member;
pub use sync::SyncStep;
pub use values::{MOST_BYTES, MOST_KEY, MOST_VALUES, Value};
