//! What a node counts of itself since its process began, and the lines in which operators read it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Passed,
    /// Refused: to try again is harmless.
    Dropped,
    /// Failed.
    BadGateway,
}

/// Requests of a class, by how they ended.
#[derive(Default)]
struct Handled {
    name: String,
    passed: u64,
    dropped: u64,
    bad_gateway: u64,
}

/// What is looked up when it is asked for, since it is a state and no count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Backends in the list.
    pub known: usize,
    /// Those of them that the node avoids now.
    pub skipped: usize,
}

/// The counts. There is one for each process.
#[derive(Default)]
pub struct Counters {
    /// By the class's number. A class once in use stays.
    handled: RefCell<Vec<Handled>>,
    in_progress: Cell<u64>,
    upstream_tries: Cell<u64>,
    loads: Cell<u64>,
    load_errors: Cell<u64>,
}

impl Counters {
    /// Nothing counted yet.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// The classes by their numbers. A later call may add some, and never gives a number to another name.
    pub fn name(&self, classes: &[String]) {
        let mut handled = self.handled.borrow_mut();
        for name in classes.iter().skip(handled.len()) {
            handled.push(Handled {
                name: name.clone(),
                ..Handled::default()
            });
        }
    }

    /// A request of that class has its final answer.
    pub fn ended(&self, class: usize, end: End) {
        if let Some(handled) = self.handled.borrow_mut().get_mut(class) {
            let count = match end {
                End::Passed => &mut handled.passed,
                End::Dropped => &mut handled.dropped,
                End::BadGateway => &mut handled.bad_gateway,
            };
            *count += 1;
        }
    }

    /// A request was taken; it has ended when what is returned is dropped.
    pub fn taken(self: &Rc<Self>) -> InProgress {
        self.in_progress.set(self.in_progress.get() + 1);
        InProgress(self.clone())
    }

    /// The last byte of an attempt was written.
    pub fn tried(&self) {
        self.upstream_tries.set(self.upstream_tries.get() + 1);
    }

    /// A configuration was read again: taken, or turned down.
    pub fn loaded(&self, taken: bool) {
        let count = if taken {
            &self.loads
        } else {
            &self.load_errors
        };
        count.set(count.get() + 1);
    }

    /// The lines, each a figure's name, `=` and a whole number.
    pub fn text(&self, view: View) -> String {
        let mut out = String::with_capacity(512);
        // Writes into a string can't fail.
        for Handled {
            name,
            passed,
            dropped,
            bad_gateway,
        } in self.handled.borrow().iter()
        {
            for (what, count) in [
                ("passed", passed),
                ("dropped", dropped),
                ("bad_gateway", bad_gateway),
            ] {
                let _ = writeln!(out, "node.handled.{name}.{what}={count}");
            }
        }
        let figures = [
            ("upstream_tries", self.upstream_tries.get()),
            ("in_progress", self.in_progress.get()),
            ("known_backends", view.known as u64),
            ("skipped_backends", view.skipped as u64),
            ("loads", self.loads.get()),
            ("load_errors", self.load_errors.get()),
        ];
        for (name, figure) in figures {
            let _ = writeln!(out, "node.{name}={figure}");
        }
        out
    }
}

/// A request that was taken and has not ended.
pub struct InProgress(Rc<Counters>);

impl Drop for InProgress {
    fn drop(&mut self) {
        let count = &self.0.in_progress;
        count.set(count.get().saturating_sub(1));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(names: &[&str]) -> Vec<String> {
        names.iter().map(ToString::to_string).collect()
    }

    #[test]
    fn every_class_ever_in_use_has_its_lines_and_keeps_them() {
        let counters = Counters::new();
        counters.name(&names(&["read", "submit"]));
        counters.ended(0, End::Passed);
        counters.ended(1, End::Dropped);
        counters.ended(1, End::BadGateway);
        counters.ended(7, End::Passed); // nobody's
        counters.name(&names(&["read", "submit", "late"]));
        counters.ended(2, End::Passed);
        let text = counters.text(View {
            known: 9,
            skipped: 2,
        });
        assert_eq!(
            text,
            "node.handled.read.passed=1\nnode.handled.read.dropped=0\nnode.handled.read.bad_gateway=0\n\
             node.handled.submit.passed=0\nnode.handled.submit.dropped=1\nnode.handled.submit.bad_gateway=1\n\
             node.handled.late.passed=1\nnode.handled.late.dropped=0\nnode.handled.late.bad_gateway=0\n\
             node.upstream_tries=0\nnode.in_progress=0\nnode.known_backends=9\nnode.skipped_backends=2\n\
             node.loads=0\nnode.load_errors=0\n"
        );
    }

    #[test]
    fn what_was_taken_is_in_progress_until_it_is_dropped() {
        let counters = Counters::new();
        let (one, two) = (counters.taken(), counters.taken());
        drop(one);
        assert!(
            counters
                .text(View::default())
                .contains("node.in_progress=1\n")
        );
        drop(two);
        assert!(
            counters
                .text(View::default())
                .contains("node.in_progress=0\n")
        );
    }
}
