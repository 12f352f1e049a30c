//! How an older and a newer process of a node split its limits.
//!
//! The newer process gets what the older one does not use or reserve. A process that both took the place of an older one and
//! is being replaced by a newer one keeps half of its part.

use crate::resources::Resources;

/// What happens between two processes of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An older process is running.
    OlderFound,
    /// The older process reported what it may use.
    OlderReported(Resources),
    /// The older process has exited.
    OlderExited,
    /// A newer process has connected to take this one's place.
    NewerConnected,
    /// The newer process has exited.
    NewerExited,
    /// This process is shutting down: it accepts nothing new.
    Shutdown,
}

/// The older process, as this one knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OlderProcess {
    None,
    /// It runs, and has reported nothing yet.
    Silent,
    Reported(Resources),
}

/// The newer process, as this one knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewerProcess {
    None,
    Connected {
        /// What this process last reported to it.
        reported: Option<Resources>,
    },
}

/// One process's view of the split.
#[derive(Clone, Debug)]
pub struct ResourceSplit {
    /// The node's limits while one process runs alone.
    alone: Resources,
    /// The limits of two processes together: a second process needs some for itself.
    together: Resources,
    older: OlderProcess,
    newer: NewerProcess,
    shutting_down: bool,
}

impl ResourceSplit {
    /// A process that has just started. `overhead` is what a second process needs for itself.
    pub fn new(alone: Resources, overhead: Resources) -> Self {
        ResourceSplit {
            alone,
            together: alone.saturating_sub(overhead),
            older: OlderProcess::None,
            newer: NewerProcess::None,
            shutting_down: false,
        }
    }

    /// Takes an event. A report after the older process has exited is ignored.
    pub fn handle(&mut self, event: Event) {
        match event {
            Event::OlderFound => self.older = OlderProcess::Silent,
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

    /// The limits of this process, which uses `in_use`. They may be lower than that: nothing is closed for it, and nothing
    /// more is taken.
    pub fn limits(&self, in_use: Resources) -> Resources {
        let own_part = match (self.older, self.newer) {
            (OlderProcess::None, NewerProcess::None) => return self.alone,
            (OlderProcess::None, NewerProcess::Connected { .. }) => self.together,
            (OlderProcess::Silent, _) => Resources::default(),
            (OlderProcess::Reported(older), _) => self.together.saturating_sub(older),
        };
        match self.newer {
            NewerProcess::None => own_part,
            NewerProcess::Connected { .. } if !self.shutting_down => own_part.half().max(in_use),
            NewerProcess::Connected { reported } => {
                Self::limits_at_shutdown(in_use, reported.unwrap_or(in_use))
            }
        }
    }

    /// The limits of a process that is shutting down beside a newer one. What was reported to that one is never taken back,
    /// and ever less of it is kept. Each client may still send one request, over one backend connection.
    fn limits_at_shutdown(in_use: Resources, reported: Resources) -> Resources {
        let clients = in_use.client_connections;
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

    /// What to report to the newer process. Limits below what is in use count as that until it is released.
    pub fn report(&mut self, in_use: Resources) -> Resources {
        let report = self.limits(in_use).max(in_use);
        if let NewerProcess::Connected { reported } = &mut self.newer {
            *reported = Some(report);
        }
        report
    }
}
