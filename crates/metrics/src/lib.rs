//! What a node counts since its process started, and the text form in which operators read it.
#![forbid(unsafe_code)]

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// Rejected: a retry is safe.
    Rejected,
    /// Failed: it may have run.
    Failed,
}

/// The requests of a class, by how they ended.
#[derive(Default)]
struct ClassCounts {
    name: String,
    served: u64,
    rejected: u64,
    failed: u64,
}

/// Values that are read when the counters are rendered, since they are no counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointGauges {
    /// Endpoints in the list.
    pub known: usize,
    /// Those of them that the node avoids now.
    pub avoided: usize,
}

/// What became of a configuration that was read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// It is in use.
    Applied,
    /// It was invalid, and changed nothing.
    Rejected,
}

/// The counters of a process.
#[derive(Default)]
pub struct Counters {
    /// By class index. A class stays once it was in use.
    classes: RefCell<Vec<ClassCounts>>,
    in_progress: Cell<u64>,
    attempts: Cell<u64>,
    reloads: Cell<u64>,
    reload_errors: Cell<u64>,
}

impl Counters {
    /// Counters that are all zero.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Names the classes by their index. A later call may add classes, and never renames one.
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

    /// Counts a configuration that was read again.
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
                // A write into a string cannot fail.
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
