//! The decisions of a load-balancing proxy, without the proxy.
//!
//! A [`Balancer`] is told what happens at one node and answers with what to do: where each request
//! goes, when it is sent again, refused or given up. Its ordinary path is Join-Up-To(m). It does no
//! input or output, reads no clock and shares nothing with other nodes; the same events always give
//! the same actions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod interface;
mod policy;
pub mod settings;
mod state;

pub use interface::*;
pub use policy::Balancer;

/// The README's example, compiled as a test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
