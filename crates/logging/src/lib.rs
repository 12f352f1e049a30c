//! Log lines for the operators, on standard error. A thread of its own writes them: a reader that is slow or stops must not
//! stop the node. What it cannot take in time is dropped.
#![forbid(unsafe_code)]

use sillward_runtime::simulation;
use sillward_runtime::time::Instant;
use std::cell::Cell;
use std::fmt::Display;
use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that may wait to be written.
const QUEUE_LENGTH: usize = 256;
/// Most lines a second about what peers do: they could fill any disk.
const PEER_LINES_PER_SECOND: u32 = 10;
/// How long [`flush`] waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The stack of the writing thread, in bytes.
const STACK_BYTES: usize = 64 * 1024;

enum Entry {
    Line(String),
    /// Answered when everything before it has been written.
    Flush(SyncSender<()>),
}

/// The queue of the writing thread; `None` if that could not be started.
static QUEUE: OnceLock<Option<SyncSender<Entry>>> = OnceLock::new();

fn queue() -> Option<&'static SyncSender<Entry>> {
    QUEUE.get_or_init(start_writer).as_ref()
}

fn start_writer() -> Option<SyncSender<Entry>> {
    let (sender, receiver) = sync_channel(QUEUE_LENGTH);
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
    thread.spawn(move || write_entries(receiver)).ok()?;
    Some(sender)
}

fn write_entries(entries: Receiver<Entry>) {
    for entry in entries {
        match entry {
            Entry::Line(line) => drop(writeln!(io::stderr().lock(), "sillward: {line}")),
            Entry::Flush(done) => drop(done.send(())),
        }
    }
}

/// Logs a line about this node.
pub fn log(text: impl Display) {
    if let Some(machine) = simulation::current() {
        return machine.log_line(&text.to_string());
    }
    if let Some(queue) = queue() {
        let _ = queue.try_send(Entry::Line(text.to_string()));
    }
}

/// Lines of the current second.
#[derive(Clone, Copy)]
struct PeerLines {
    second_began: Option<Instant>,
    logged: u32,
    /// Lines dropped since the last one that was logged.
    dropped: u64,
}

/// Logs a line about something that peers can cause as often as they like: ten a second, with the number of dropped ones.
pub fn log_peer(text: impl Display) {
    thread_local! {
        static LINES: Cell<PeerLines> = const {
            Cell::new(PeerLines { second_began: None, logged: 0, dropped: 0 })
        };
    }
    if simulation::current().is_some() {
        return log(text); // a simulation keeps all lines, and its time is not this thread's
    }
    let mut lines = LINES.get();
    let now = Instant::now();
    let second_is_over = lines
        .second_began
        .is_none_or(|began| now - began >= Duration::from_secs(1));
    if second_is_over {
        lines.second_began = Some(now);
        lines.logged = 0;
    }
    if lines.logged >= PEER_LINES_PER_SECOND {
        lines.dropped += 1;
        return LINES.set(lines);
    }
    let dropped = std::mem::take(&mut lines.dropped);
    lines.logged += 1;
    LINES.set(lines);
    match dropped {
        0 => log(text),
        count => log(format_args!(
            "{text} ({count} lines about peers were left out before this one)"
        )),
    }
}

/// Waits until the lines so far are written, or for a reader that has stopped no longer than 200 ms.
pub fn flush() {
    let (done, written) = sync_channel(1);
    if queue().is_some_and(|queue| queue.try_send(Entry::Flush(done)).is_ok()) {
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}
