//! The counters of a node since the start of its process, and their text form for operators.
#![forbid(unsafe_code)]

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended, from the client's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A backend gave the final response.
    Served,
    /// The client may retry safely.
    Rejected,
    /// The request may have run.
    Failed,
}

/// The numbers of requests of a class, by outcome.
#[derive(Default)]
struct ClassCounts {
    name: String,
    served: u64,
    rejected: u64,
    failed: u64,
}

/// The gauges of the endpoint list, passed in when the counters are rendered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointGauges {
    /// The number of endpoints in the list.
    pub known: usize,
    /// The number of endpoints that the node currently avoids.
    pub avoided: usize,
}

/// The outcome of reloading a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// The configuration is in use.
    Applied,
    /// The configuration was invalid and was ignored.
    Rejected,
}

/// The counters of a process.
#[derive(Default)]
pub struct Counters {
    /// By class index. Classes are never removed.
    classes: RefCell<Vec<ClassCounts>>,
    in_progress: Cell<u64>,
    attempts: Cell<u64>,
    under_older_settings: Cell<u64>,
    rejected_by_shutdown: Cell<u64>,
    over_request_limit: Cell<u64>,
    queued_messages: Cell<usize>,
    overdue_bodies: Cell<u64>,
    out_of_memory: Cell<u64>,
    reloads: Cell<u64>,
    reload_errors: Cell<u64>,
}

impl Counters {
    /// Counters that are all zero.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Registers the class names by class index. A later call may add classes, but never renames one.
    pub fn register_classes(&self, names: &[String]) {
        let mut classes = self.classes.borrow_mut();
        for name in names.iter().skip(classes.len()) {
            classes.push(ClassCounts {
                name: name.clone(),
                ..ClassCounts::default()
            });
        }
    }

    /// Counts a request that has its final response. An unknown class is ignored.
    pub fn request_ended(&self, class: usize, outcome: RequestOutcome) {
        if let Some(counts) = self.classes.borrow_mut().get_mut(class) {
            let count = match outcome {
                RequestOutcome::Served => &mut counts.served,
                RequestOutcome::Rejected => &mut counts.rejected,
                RequestOutcome::Failed => &mut counts.failed,
            };
            *count += 1;
        }
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn request_started(self: &Rc<Self>) -> InProgressGuard {
        self.in_progress.set(self.in_progress.get() + 1);
        InProgressGuard(self.clone())
    }

    /// Counts an attempt whose last byte was written to a backend.
    pub fn attempt_written(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Counts a request that is decided under the settings of its head, which have been replaced since.
    pub fn request_under_older_settings(&self) {
        self.under_older_settings
            .set(self.under_older_settings.get() + 1);
    }

    /// Counts a request that was rejected because the process shuts down; it is also counted by its outcome.
    pub fn rejected_by_shutdown(&self) {
        self.rejected_by_shutdown
            .set(self.rejected_by_shutdown.get() + 1);
    }

    /// Counts a request that was not admitted because too many are open; it is also counted by its outcome.
    pub fn over_request_limit(&self) {
        self.over_request_limit
            .set(self.over_request_limit.get() + 1);
    }

    /// Counts a request whose client may have waited its whole time although the node had not received its body completely;
    /// it is also counted by its outcome.
    pub fn body_overdue(&self) {
        self.overdue_bodies.set(self.overdue_bodies.get() + 1);
    }

    /// Counts a request that was rejected because the memory budget is exhausted.
    pub fn out_of_memory(&self) {
        self.out_of_memory.set(self.out_of_memory.get() + 1);
    }

    /// Sets the number of messages about requests that wait for the node.
    pub fn set_queued_messages(&self, count: usize) {
        self.queued_messages.set(count);
    }

    /// The number of requests without a final response.
    pub fn in_progress(&self) -> u64 {
        self.in_progress.get()
    }

    /// Counts a configuration reload.
    pub fn config_reloaded(&self, outcome: ReloadOutcome) {
        let count = match outcome {
            ReloadOutcome::Applied => &self.reloads,
            ReloadOutcome::Rejected => &self.reload_errors,
        };
        count.set(count.get() + 1);
    }

    /// The text form: a line `name=number` for each counter. The names are part of the platform's interface.
    pub fn render(&self, endpoints: EndpointGauges) -> String {
        let mut out = String::with_capacity(512);
        for counts in self.classes.borrow().iter() {
            let outcomes = [
                ("passed", counts.served),
                ("dropped", counts.rejected),
                ("bad_gateway", counts.failed),
            ];
            for (outcome, count) in outcomes {
                // Writing to a string cannot fail.
                let _ = writeln!(out, "node.handled.{}.{outcome}={count}", counts.name);
            }
        }
        let totals = [
            ("upstream_tries", self.attempts.get()),
            ("in_progress", self.in_progress.get()),
            ("known_backends", endpoints.known as u64),
            ("skipped_backends", endpoints.avoided as u64),
            ("loads", self.reloads.get()),
            ("load_errors", self.reload_errors.get()),
            ("older_settings", self.under_older_settings.get()),
            ("shutdown_refused", self.rejected_by_shutdown.get()),
            ("limit_refused", self.over_request_limit.get()),
            ("queued_messages", self.queued_messages.get() as u64),
            ("overdue_bodies", self.overdue_bodies.get()),
            ("memory_refused", self.out_of_memory.get()),
        ];
        for (name, count) in totals {
            let _ = writeln!(out, "node.{name}={count}");
        }
        out
    }
}

/// Counts a request as in progress until it is dropped.
pub struct InProgressGuard(Rc<Counters>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        let count = &self.0.in_progress;
        count.set(count.get().saturating_sub(1));
    }
}
