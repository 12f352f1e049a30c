//! The connections to the older and the newer process.

use super::UPDATE_INTERVAL;
use sillward_hot_restart::{MAX_REPORT_BYTES, Resources, decode, encode};
use sillward_runtime::time::timeout;
use sillward_runtime::unix_socket::UnixStream;

/// What the older process says.
pub(super) enum Report {
    Resources(Resources),
    /// It runs, and its report cannot be read.
    Unreadable,
    Exited,
}

/// A connection to the older process.
pub(super) struct OlderConnection {
    stream: UnixStream,
    /// A line that is not whole yet.
    unread: String,
}

impl OlderConnection {
    pub(super) fn new(stream: UnixStream) -> Self {
        OlderConnection {
            stream,
            unread: String::new(),
        }
    }

    /// Its next report. Cancel safe: what has been read stays buffered.
    pub(super) async fn next(&mut self) -> Report {
        loop {
            if let Some(end) = self.unread.find('\n') {
                let rest = self.unread.split_off(end + 1);
                let line = std::mem::replace(&mut self.unread, rest);
                return decode(&line).map_or(Report::Unreadable, Report::Resources);
            }
            if self.unread.len() > MAX_REPORT_BYTES {
                self.unread.clear();
                return Report::Unreadable;
            }
            let mut bytes = [0; MAX_REPORT_BYTES];
            match self.stream.read(&mut bytes).await {
                Ok(count) if count > 0 => {
                    self.unread
                        .push_str(&String::from_utf8_lossy(&bytes[..count]));
                }
                _ => return Report::Exited,
            }
        }
    }
}

/// A connection to the newer process.
pub(super) struct NewerConnection {
    stream: UnixStream,
    /// The rest of a line that could not be written yet: half a line would be read as part of the next.
    unsent: Vec<u8>,
    last_report: Option<Resources>,
}

impl NewerConnection {
    pub(super) fn new(stream: UnixStream) -> Self {
        NewerConnection {
            stream,
            unsent: Vec::new(),
            last_report: None,
        }
    }

    /// Whether the last report is written.
    pub(super) fn is_idle(&self) -> bool {
        self.unsent.is_empty()
    }

    /// Queues a report, unless it is the last one again.
    pub(super) fn queue(&mut self, report: Resources) {
        if self.last_report.replace(report) != Some(report) {
            self.unsent = encode(report).into_bytes();
        }
    }

    /// Writes as much as the connection takes within a moment. A process that does not read is no reason to stop: its exit
    /// shows elsewhere.
    pub(super) async fn send(&mut self) {
        while !self.unsent.is_empty() {
            match timeout(UPDATE_INTERVAL, self.stream.write(&self.unsent)).await {
                Ok(Ok(count)) => {
                    self.unsent.drain(..count);
                }
                _ => return,
            }
        }
    }

    /// Completes when the newer process has exited. It never writes: whatever comes is its end.
    pub(super) async fn exited(&mut self) {
        drop(self.stream.read(&mut [0; 1]).await);
    }
}
