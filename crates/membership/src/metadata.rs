//! The metadata that a node publishes about itself, once per incarnation.

/// A node's metadata.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeMetadata {
    /// The node's zone; empty if it has none.
    pub zone: String,
    /// The node's region; empty if it has none.
    pub region: String,
    /// The build that the node runs.
    pub build: String,
    /// The protocols that the node supports, so that other members send it only messages that it can read.
    pub capabilities: Vec<String>,
}
