//! The lifecycle of a node, from its start to its shutdown: whether it reports itself healthy, whether a response closes
//! its connection, and when idle connections may be closed.
//!
//! This package does no I/O and reads no clock. The caller passes the time of each event as a duration since the node's
//! start.
#![forbid(unsafe_code)]

mod shutdown;

pub use shutdown::ShutdownSchedule;
use std::time::Duration;

/// An event in the lifecycle of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The node knows enough endpoints to serve.
    EndpointsKnown,
    /// An operator takes the node out of service.
    OutOfService,
    /// An operator returns the node to service.
    InService,
    /// The process was asked to shut down.
    ShutDown,
}

/// The result of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOutcome {
    /// The event was applied, or had been applied before.
    Applied,
    /// The node is shutting down and cannot return to service.
    RejectedShuttingDown,
}

/// Durations that depend on the platform.
#[derive(Clone, Copy, Debug)]
pub struct LifecycleSettings {
    /// How long new connections may arrive after the node has reported itself unhealthy. No idle connection is closed
    /// before that, since its client may be about to send a request.
    pub deregistration_delay: Duration,
}

/// Whether the node is in service. Shutting down is a final state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServiceState {
    InService,
    OutOfService { draining_since: Duration },
    ShuttingDown { draining_since: Duration },
}

impl ServiceState {
    /// When draining started; `None` if the node is in service. A shutdown continues a drain that is in progress.
    fn draining_since(self) -> Option<Duration> {
        match self {
            ServiceState::InService => None,
            ServiceState::OutOfService { draining_since }
            | ServiceState::ShuttingDown { draining_since } => Some(draining_since),
        }
    }
}

/// The lifecycle state of a node.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    settings: LifecycleSettings,
    endpoints_known: bool,
    service: ServiceState,
}

impl Lifecycle {
    /// Creates the state of a node that has just started: in service, but without known endpoints.
    pub fn new(settings: LifecycleSettings) -> Self {
        Lifecycle {
            settings,
            endpoints_known: false,
            service: ServiceState::InService,
        }
    }

    /// Applies an event that happened at `now`. A repeated event has no further effect.
    pub fn handle(&mut self, now: Duration, event: Event) -> EventOutcome {
        let draining_since = self.service.draining_since().unwrap_or(now);
        self.service = match (event, self.service) {
            (Event::EndpointsKnown, service) => {
                self.endpoints_known = true;
                service
            }
            (Event::InService, ServiceState::ShuttingDown { .. }) => {
                return EventOutcome::RejectedShuttingDown;
            }
            (Event::InService, _) => ServiceState::InService,
            (Event::OutOfService, ServiceState::ShuttingDown { .. }) | (Event::ShutDown, _) => {
                ServiceState::ShuttingDown { draining_since }
            }
            (Event::OutOfService, _) => ServiceState::OutOfService { draining_since },
        };
        EventOutcome::Applied
    }

    /// Whether the node reports itself healthy to the load balancer in front of it.
    pub fn is_healthy(&self) -> bool {
        self.endpoints_known && !self.is_draining()
    }

    /// Whether the process can serve, as reported to operators. A node out of service still can.
    pub fn can_serve(&self) -> bool {
        self.endpoints_known && !matches!(self.service, ServiceState::ShuttingDown { .. })
    }

    /// Whether the node is out of service or shutting down, in which case each response closes its connection.
    pub fn is_draining(&self) -> bool {
        self.service.draining_since().is_some()
    }

    /// Whether idle connections may be closed: draining has lasted for the deregistration delay.
    pub fn may_close_idle(&self, now: Duration) -> bool {
        self.service
            .draining_since()
            .is_some_and(|since| now >= since + self.settings.deregistration_delay)
    }
}
