//! The events that an additional source sends.

use sillward_balancer::ServerId;
use sillward_forwarding::Backend;

/// An event of an endpoint source other than discovery.
#[derive(Debug)]
pub enum SourceEvent {
    /// A resync has started: the complete list follows.
    ResyncStarted,
    /// Endpoints of the complete list, or changed endpoints.
    Updated(Vec<Backend>),
    /// An endpoint was removed.
    Removed(ServerId),
    /// The resync has finished: the complete list has been sent.
    ResyncFinished,
    /// The source is connected, and none of its changes is missing.
    Connected,
    /// The source is disconnected; what it sent remains in effect.
    Disconnected,
}
