//! Fleet membership: which members are alive, suspect, left or dead, in which incarnation, and the small key-value
//! pairs that each member publishes about itself.
//!
//! The protocol is SWIM (random probes, indirect probes, gossip piggybacked on frames) with the Lifeguard extensions: a
//! node that is slow itself waits longer before it suspects others, a ping to a suspected member carries the suspicion
//! ahead of other gossip, and a suspicion that several members confirm expires sooner. Anti-entropy repairs differences
//! that gossip leaves behind. Deviations from SWIM and their reasons are described in `docs/design/fleet.md`.
//!
//! The crate does no I/O and reads neither a clock nor a source of randomness: [`Membership`] takes [`Event`]s with
//! their times and returns [`Action`]s. The same seed and events always give the same actions.
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
