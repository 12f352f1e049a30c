//! Group membership of the fleet: which members are alive, suspected, departed or dead, in which incarnation, and the
//! small values that each member publishes about itself.
//!
//! The protocol is SWIM (random probes, indirect probes, gossip piggybacked on frames) with the extensions of Lifeguard:
//! a node that is slow itself waits longer before it suspects others, a suspected member is notified first, and a suspicion
//! that several members confirm expires sooner. Divergence that gossip leaves behind is repaired by anti-entropy.
//! Deviations from SWIM and their reasons are described in `docs/design/fleet.md`.
//!
//! The crate does no I/O and reads neither a clock nor a random device: [`Membership`] takes timed [`Event`]s and returns
//! [`Action`]s, and the same seed and events give the same actions.
#![forbid(unsafe_code)]

mod anti_entropy;
mod counters;
mod digest;
mod dissemination;
mod event;
mod failure_detector;
mod incarnation;
mod joining;
mod local_health;
mod local_node;
mod members;
mod membership;
mod metadata;
mod name;
mod node;
mod own_incarnation;
mod random;
mod settings;
mod status;
mod update;
mod values;
pub mod wire;

pub use counters::Counters;
pub use event::{Action, Event, ReceivedSync};
pub use incarnation::Incarnation;
pub use local_health::LocalHealth;
pub use local_node::LocalNode;
pub use members::{Member, ProbeCounts};
pub use membership::Membership;
pub use metadata::NodeMetadata;
pub use name::Name;
pub use settings::{InjectedBug, MembershipSettings};
pub use status::MembershipStatus;
pub use update::{MemberState, MemberUpdate};
pub use values::{MAX_KEY_BYTES, MAX_VALUE_BYTES, MAX_VALUES, PublishError, Value};
