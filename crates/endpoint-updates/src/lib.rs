//! Applies endpoint updates of discovery and an additional source to the merged list, and forwards its changes to the
//! node. The rules for merging are those of `sillward-endpoints`.
#![forbid(unsafe_code)]

mod aggregator;
mod event;

pub use aggregator::EndpointAggregator;
pub use event::SourceEvent;
