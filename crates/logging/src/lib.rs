//! Log lines for the operators, on standard error. A separate thread writes them, so that a slow or stopped reader does not
//! block the node. Lines are dropped while its queue is full.
#![forbid(unsafe_code)]

use sillward_runtime::simulation;
use sillward_runtime::time::Instant;
use std::cell::Cell;
use std::fmt::Display;
use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// The maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 256;
/// The maximum rate of lines about peers, which could otherwise fill the disk.
const PEER_LINES_PER_SECOND: u32 = 10;
/// The longest time that [`flush`] waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The stack size of the writer thread.
const STACK_BYTES: usize = 64 * 1024;

enum Entry {
    Line(String),
    /// Signals that all entries before it have been written.
    Flush(SyncSender<()>),
}

/// The queue of the writer thread; `None` if the thread could not be started.
static QUEUE: OnceLock<Option<SyncSender<Entry>>> = OnceLock::new();

fn queue() -> Option<&'static SyncSender<Entry>> {
    QUEUE.get_or_init(start_writer).as_ref()
}

fn start_writer() -> Option<SyncSender<Entry>> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
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

/// The lines about peers in the current second.
#[derive(Clone, Copy)]
struct PeerLines {
    second_began: Option<Instant>,
    logged: u32,
    /// Lines dropped since the last logged one.
    dropped: u64,
}

/// Logs a line about an event that peers can cause at any rate: at most 10 lines a second are logged, and the first one after
/// dropped lines states their number.
pub fn log_peer(text: impl Display) {
    thread_local! {
        static LINES: Cell<PeerLines> = const {
            Cell::new(PeerLines { second_began: None, logged: 0, dropped: 0 })
        };
    }
    if simulation::current().is_some() {
        return log(text); // a simulation keeps all lines, and its time is not that of this thread
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
            "{text} ({count} earlier lines about peers were dropped)"
        )),
    }
}

/// Waits until all lines logged so far are written, at most 200 ms in case the reader has stopped.
pub fn flush() {
    let (done, written) = sync_channel(1);
    if queue().is_some_and(|queue| queue.try_send(Entry::Flush(done)).is_ok()) {
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}
