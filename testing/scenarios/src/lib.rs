//! Scenarios round a node under test: faults and load over the stand-ins, each with a verdict. On loopback only.
#![forbid(unsafe_code)]

pub mod pages;
pub mod scenario;

pub use sillward_test_servers::{
    etcd, held_request, ledger, peers, platform, random, raw_backend, relay, reserved_port, tally,
};
