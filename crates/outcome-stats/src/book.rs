//! A node's own counts, in windows of a fixed length from the beginning of its life.

use crate::counts::Counts;
use std::collections::VecDeque;
use std::time::Duration;

/// The book of one life.
#[derive(Debug)]
pub struct Book {
    window: Duration,
    keep: usize,
    born: Duration,
    /// The window that is open, by its number, and what it has.
    number: u64,
    open: Counts,
    /// Closed ones that have something, the last behind.
    closed: VecDeque<(u64, Counts)>,
}

impl Book {
    /// Begins at `now`. Windows are `window` long, and a word is the sum of the last `keep` that are closed.
    pub fn new(window: Duration, keep: usize, now: Duration) -> Self {
        let window = window.max(Duration::from_millis(1));
        Book {
            window,
            keep: keep.max(1),
            born: now,
            number: 0,
            open: Counts::default(),
            closed: VecDeque::new(),
        }
    }

    /// Begins anew, in a new life: what the old one told stands under that one's name until it is too old.
    pub fn anew(&mut self, now: Duration) {
        *self = Book::new(self.window, self.keep, now);
    }

    /// Closes what is over, and gives the counts of the open window.
    pub fn open(&mut self, now: Duration) -> &mut Counts {
        let number = (now.saturating_sub(self.born).as_nanos() / self.window.as_nanos()) as u64;
        if number > self.number {
            let counts = std::mem::take(&mut self.open);
            if !counts.is_empty() {
                self.closed.push_back((self.number, counts));
            }
            self.number = number;
            let oldest = number.saturating_sub(self.keep as u64);
            while self
                .closed
                .front()
                .is_some_and(|(number, _)| *number < oldest)
            {
                self.closed.pop_front();
            }
        }
        &mut self.open
    }

    /// How many windows have been closed in this life: a word's version.
    pub fn version(&self) -> u64 {
        self.number
    }

    /// The sum of the last windows that are closed, and how many those are. Rates are over all of them, also those in which
    /// nothing happened.
    pub fn word(&mut self, now: Duration) -> (Counts, u32) {
        self.open(now);
        let mut sum = Counts::default();
        self.closed.iter().for_each(|(_, counts)| sum.merge(counts));
        (sum, self.number.min(self.keep as u64) as u32)
    }

    /// When the last closed window ended.
    pub fn told_until(&self) -> Duration {
        self.born + self.window * u32::try_from(self.number).unwrap_or(u32::MAX)
    }
}
