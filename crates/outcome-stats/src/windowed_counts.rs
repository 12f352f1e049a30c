//! A node's own counts, in windows of a fixed length that start with its incarnation.

use crate::counts::Counts;
use std::collections::VecDeque;
use std::time::Duration;

/// A closed window.
#[derive(Debug)]
struct Window {
    number: u64,
    counts: Counts,
}

/// The counts of one incarnation.
#[derive(Debug)]
pub struct WindowedCounts {
    window: Duration,
    windows_per_report: usize,
    started_at: Duration,
    /// The number of the open window, and its counts.
    number: u64,
    open: Counts,
    /// The closed windows that are not empty, in order.
    closed: VecDeque<Window>,
}

/// The sum of the most recent closed windows.
#[derive(Debug)]
pub struct WindowSum {
    /// The sum.
    pub counts: Counts,
    /// The number of windows it covers, empty ones included.
    pub windows: u32,
}

impl WindowedCounts {
    /// Starts the first window at `now`. A report is the sum of the last `windows_per_report` closed windows.
    pub fn new(window: Duration, windows_per_report: usize, now: Duration) -> Self {
        WindowedCounts {
            window: window.max(Duration::from_millis(1)),
            windows_per_report: windows_per_report.max(1),
            started_at: now,
            number: 0,
            open: Counts::default(),
            closed: VecDeque::new(),
        }
    }

    /// Discards all counts and starts a new incarnation at `now`.
    pub fn restart(&mut self, now: Duration) {
        *self = WindowedCounts::new(self.window, self.windows_per_report, now);
    }

    /// The counts of the open window. Closes the previous window first if it has ended.
    pub fn open(&mut self, now: Duration) -> &mut Counts {
        let elapsed = now.saturating_sub(self.started_at);
        let number = (elapsed.as_nanos() / self.window.as_nanos()) as u64;
        if number > self.number {
            self.close(number);
        }
        &mut self.open
    }

    fn close(&mut self, next: u64) {
        let counts = std::mem::take(&mut self.open);
        if !counts.is_empty() {
            self.closed.push_back(Window {
                number: self.number,
                counts,
            });
        }
        self.number = next;
        let oldest = next.saturating_sub(self.windows_per_report as u64);
        while self
            .closed
            .front()
            .is_some_and(|window| window.number < oldest)
        {
            self.closed.pop_front();
        }
    }

    /// The number of windows closed in this incarnation, which is the version of a report.
    pub fn version(&self) -> u64 {
        self.number
    }

    /// The sum of the last closed windows.
    pub fn sum(&mut self, now: Duration) -> WindowSum {
        self.open(now);
        let mut counts = Counts::default();
        for window in &self.closed {
            counts.merge(&window.counts);
        }
        let windows = self.number.min(self.windows_per_report as u64) as u32;
        WindowSum { counts, windows }
    }

    /// When the last closed window ended.
    pub fn last_window_end(&self) -> Duration {
        self.started_at + self.window * u32::try_from(self.number).unwrap_or(u32::MAX)
    }
}
