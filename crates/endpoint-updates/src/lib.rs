//! The way of endpoint updates from discovery and an additional source to the node: updates go into the merged list, its
//! changes on to the node. What the list comes to is decided by `sillward-endpoints` alone.
#![forbid(unsafe_code)]

mod aggregator;
mod event;

pub use aggregator::EndpointAggregator;
pub use event::SourceEvent;
