//! What an additional source sends.

use sillward_balancer::ServerId;
use sillward_forwarding::Backend;

/// An event of a source other than discovery.
#[derive(Debug)]
pub enum SourceEvent {
    /// Its complete list follows.
    ResyncStarted,
    /// Endpoints of its complete list, or changed ones.
    Updated(Vec<Backend>),
    /// An endpoint is gone.
    Removed(ServerId),
    /// The complete list has been sent.
    ResyncFinished,
    /// The source is connected, and has nothing new.
    Connected,
    /// The source is disconnected; what it sent still counts.
    Disconnected,
}
