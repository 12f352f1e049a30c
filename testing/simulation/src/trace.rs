//! What happened, step by step: a hash over all of it, and the lines themselves where they are asked for.

use std::cell::{Cell, RefCell};
use std::fmt::{Arguments, Write};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Lines that are kept at most.
const LINES: usize = 4_000_000;

/// A run's steps.
pub struct Trace {
    hash: RefCell<Xxh3>,
    line: RefCell<String>,
    lines: Option<RefCell<Vec<String>>>,
    steps: Cell<u64>,
}

impl Trace {
    /// Keeps the lines too, if they are wanted.
    pub fn new(keep: bool) -> Self {
        Trace {
            hash: RefCell::new(Xxh3::new()),
            line: RefCell::default(),
            lines: keep.then(RefCell::default),
            steps: Cell::new(0),
        }
    }

    /// A step: when, who, and what it was.
    pub fn step(&self, at: Duration, who: &str, what: Arguments<'_>) {
        let mut line = self.line.borrow_mut();
        line.clear();
        // A write into a string can't fail.
        let _ = write!(
            line,
            "{}.{:03} {who} {what}",
            at.as_millis(),
            at.subsec_micros() % 1000
        );
        let mut hash = self.hash.borrow_mut();
        hash.update(line.as_bytes());
        self.steps.set(self.steps.get() + 1);
        if let Some(lines) = &self.lines {
            let mut lines = lines.borrow_mut();
            if lines.len() < LINES {
                lines.push(format!("{line} #{:016x}", hash.digest()));
            }
        }
    }

    /// The hash of all steps so far.
    pub fn hash(&self) -> u64 {
        self.hash.borrow().digest()
    }

    /// How many there were.
    pub fn steps(&self) -> u64 {
        self.steps.get()
    }

    /// The lines, each with the hash so far behind it.
    pub fn lines(&self) -> Vec<String> {
        self.lines.as_ref().map(RefCell::take).unwrap_or_default()
    }
}
