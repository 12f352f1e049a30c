//! Splits the limits of a node between an older and a newer process.
//!
//! The newer process gets what the older one does not use or reserve. A process that has replaced an older one, and is itself
//! being replaced by a newer one, keeps half of its part.

use crate::resources::Resources;

/// An event between two processes of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An older process is running.
    OlderFound,
    /// The older process reported what it may use.
    OlderReported(Resources),
    /// The older process has exited.
    OlderExited,
    /// A newer process has connected to replace this one.
    NewerConnected,
    /// The newer process has exited.
    NewerExited,
    /// This process is shutting down: it accepts nothing new.
    Shutdown,
}

/// What this process knows of the older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OlderProcess {
    None,
    /// It is running, and has not reported yet.
    AwaitingReport,
    Reported(Resources),
}

/// What this process knows of the newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewerProcess {
    None,
    Connected {
        /// What this process last reported to it.
        reported: Option<Resources>,
    },
}

/// The split of a node's limits, as seen by one process.
#[derive(Clone, Debug)]
pub struct ResourceSplit {
    /// The limits of a single process.
    single: Resources,
    /// The limits of two processes together. They are lower, as a second process has an overhead.
    combined: Resources,
    older: OlderProcess,
    newer: NewerProcess,
    shutting_down: bool,
    has_uncounted_clients: bool,
}

impl ResourceSplit {
    /// The split of a process that has just started. `single` are the limits of a single process, `overhead` is what a second
    /// process needs for itself.
    pub fn new(single: Resources, overhead: Resources) -> Self {
        ResourceSplit {
            single,
            combined: single.saturating_sub(overhead),
            older: OlderProcess::None,
            newer: NewerProcess::None,
            shutting_down: false,
            has_uncounted_clients: false,
        }
    }

    /// Declares that the process may have clients whose connections are not counted, as those of another protocol. While it
    /// shuts down, it keeps memory and backend connections for their requests until it exits.
    #[must_use]
    pub fn with_uncounted_clients(mut self) -> Self {
        self.has_uncounted_clients = true;
        self
    }

    /// Handles an event. A report after the older process has exited is ignored.
    pub fn handle(&mut self, event: Event) {
        match event {
            Event::OlderFound => self.older = OlderProcess::AwaitingReport,
            Event::OlderReported(resources) => {
                if self.older != OlderProcess::None {
                    self.older = OlderProcess::Reported(resources);
                }
            }
            Event::OlderExited => self.older = OlderProcess::None,
            Event::NewerConnected => self.newer = NewerProcess::Connected { reported: None },
            Event::NewerExited => self.newer = NewerProcess::None,
            Event::Shutdown => self.shutting_down = true,
        }
    }

    /// Whether this process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// The limits of this process, which uses `in_use`. They may be lower than `in_use`: then nothing is closed, but nothing
    /// more is allocated.
    pub fn limits(&self, in_use: Resources) -> Resources {
        let own_part = match (self.older, self.newer) {
            (OlderProcess::None, NewerProcess::None) => return self.single,
            (OlderProcess::None, NewerProcess::Connected { .. }) => self.combined,
            (OlderProcess::AwaitingReport, _) => Resources::default(),
            (OlderProcess::Reported(older), _) => self.combined.saturating_sub(older),
        };
        match self.newer {
            NewerProcess::None => own_part,
            NewerProcess::Connected { .. } if !self.shutting_down => own_part.half().max(in_use),
            NewerProcess::Connected { reported } => {
                self.limits_at_shutdown(in_use, reported.unwrap_or(in_use))
            }
        }
    }

    /// The limits of a process that is shutting down while a newer one is running. They are never raised above what was
    /// reported to the newer process, and shrink with each report. Each client may still send one request, over one backend
    /// connection.
    fn limits_at_shutdown(&self, in_use: Resources, reported: Resources) -> Resources {
        let clients = in_use.client_connections;
        if self.has_uncounted_clients {
            let needed = Resources {
                client_connections: clients,
                ..reported
            };
            return needed.max(in_use);
        }
        let needed = Resources {
            client_connections: clients,
            backend_connections: clients.max(in_use.backend_connections),
            body_bytes: if clients > 0 {
                reported.body_bytes
            } else {
                in_use.body_bytes
            },
        };
        needed.min(reported).max(in_use)
    }

    /// What to report to the newer process: the limits, or what is in use where that exceeds them until it is released.
    pub fn report(&mut self, in_use: Resources) -> Resources {
        let report = self.limits(in_use).max(in_use);
        if let NewerProcess::Connected { reported } = &mut self.newer {
            *reported = Some(report);
        }
        report
    }
}
