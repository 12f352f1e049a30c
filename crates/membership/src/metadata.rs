//! What a node publishes about itself once per incarnation.

/// A node's metadata.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeMetadata {
    /// Its zone; empty if it has none.
    pub zone: String,
    /// Its region; empty if it has none.
    pub region: String,
    /// The build it runs.
    pub build: String,
    /// The protocols that it supports, so that no member sends it messages it cannot read.
    pub capabilities: Vec<String>,
}
