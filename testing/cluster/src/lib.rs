//! The ground: many processes of the shipped program, with faults between them and to them. Each process has its own
//! configuration, operator file, folder, discovery and clients; every way between two of them goes through a relay that
//! stands here. On loopback only, bounded in count and time; whatever is started is ended, by its id, also after a failure.
//!
//! Checks read what was done and what relays, boxes and clients saw, in one clock, before what a node says of itself.
#![forbid(unsafe_code)]

pub mod fleet;
pub mod history;
pub mod members;
pub mod outcomes;
pub mod process;
pub mod relays;
pub mod script;
pub mod settings;
