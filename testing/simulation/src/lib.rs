//! The shipped node on a virtual clock and a simulated network: several nodes, their backends, membership sources and
//! clients in one thread, faults from a seed, the four rules checked at every step, and every run played again
//! exactly. Nothing of the node is modelled; the world round it is.
#![forbid(unsafe_code)]

pub mod bell;
pub mod dice;
pub mod faults;
pub mod fleet;
pub mod ledger;
pub mod net;
pub mod parties;
pub mod plants;
pub mod run;
pub mod scoped;
pub mod script;
pub mod shrink;
pub mod story;
pub mod trace;
