//! The log: lines for the operators, on standard error. A thread of its own writes them, since nobody reading
//! the log, or reading it slowly, is no reason to stop serving: what it can't take in time is left out.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use sillward_runtime::time::Instant;
use sillward_runtime::world;
use std::cell::Cell;
use std::fmt::Display;
use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

/// Lines that may wait to be written.
const WAITING: usize = 256;
/// The most lines a second about what peers do: they could fill any disk.
const PEER_LINES_A_SECOND: u32 = 10;
/// How long the end of the program waits for the last lines.
const LAST_LINES: Duration = Duration::from_millis(200);

enum Entry {
    Line(String),
    /// Answered when all before it has been written.
    Flush(SyncSender<()>),
}

static WRITER: OnceLock<Option<SyncSender<Entry>>> = OnceLock::new();

fn writer() -> Option<&'static SyncSender<Entry>> {
    let start = || {
        let (entries, inbox) = sync_channel(WAITING);
        let write = move || {
            for entry in inbox {
                match entry {
                    Entry::Line(line) => drop(writeln!(io::stderr().lock(), "sillward: {line}")),
                    Entry::Flush(done) => drop(done.send(())),
                }
            }
        };
        std::thread::Builder::new()
            .stack_size(64 * 1024)
            .spawn(write)
            .ok()
            .map(|_| entries)
    };
    WRITER.get_or_init(start).as_ref()
}

/// A line about this node.
pub fn log(text: impl Display) {
    if let Some(world) = world::current() {
        return world.log_line(&text.to_string());
    }
    if let Some(writer) = writer() {
        let _ = writer.try_send(Entry::Line(text.to_string()));
    }
}

/// A line about something that peers can bring about as often as they like.
pub fn log_peer(text: impl Display) {
    thread_local! {
        /// The second that is counted, its lines so far, and how many were left out since the last line.
        static COUNT: Cell<(Option<Instant>, u32, u64)> = const { Cell::new((None, 0, 0)) };
    }
    if world::current().is_some() {
        return log(text); // a world of its own keeps all, and its time is not this thread's
    }
    let (since, lines, left_out) = COUNT.get();
    let now = Instant::now();
    let fresh = since.is_none_or(|since| now - since >= Duration::from_secs(1));
    let (since, lines) = if fresh {
        (Some(now), 0)
    } else {
        (since, lines)
    };
    if lines >= PEER_LINES_A_SECOND {
        return COUNT.set((since, lines, left_out + 1));
    }
    COUNT.set((since, lines + 1, 0));
    match left_out {
        0 => log(text),
        some => log(format_args!(
            "{text} ({some} lines about peers were left out before this one)"
        )),
    }
}

/// Waits for the last lines, but not for a reader that has stopped.
pub fn flush() {
    let (done, written) = sync_channel(1);
    if writer().is_some_and(|writer| writer.try_send(Entry::Flush(done)).is_ok()) {
        let _ = written.recv_timeout(LAST_LINES);
    }
}
