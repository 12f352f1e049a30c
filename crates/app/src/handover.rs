//! Two processes of one node side by side: carries what each holds to the other, and what that comes to to the parts that
//! hold it. Decides nothing.

use sillward_forwarding::{MemoryBudget, MemoryReservation};
use sillward_hot_restart::{Event, Holding, LONGEST_LINE, Shares, line, read};
use sillward_listener::ConnectionManager;
use sillward_logging::{log, log_peer};
use sillward_pool::ConnectionLimit;
use sillward_runtime::local::{LocalListener, LocalStream};
use sillward_runtime::time::{sleep, timeout};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// How often what a process holds is looked at while there are two.
const LOOK: Duration = Duration::from_millis(20);
/// An older process that lives says its word within this; one that does not is taken to hold half.
const FIRST_WORD: Duration = Duration::from_secs(1);
/// The file under `$TMPDIR` by which a newer process finds the older one.
const NAME: &str = "sillward.sock";
/// What a second process takes for itself: descriptors for streams, listeners, runtime, discovery and operators' callers, and
/// memory for its code, tables and queues.
pub const SECOND: Holding = Holding {
    clients: 0,
    backends: 32,
    bytes: 8 << 20,
};

/// The parts that hold something.
pub struct Holders {
    pub client_connections: Rc<ConnectionManager>,
    pub sockets: Rc<ConnectionLimit>,
    pub budget: MemoryBudget,
}

impl Holders {
    fn held(&self, aside: &MemoryReservation) -> Holding {
        let bytes = self.budget.reserved().saturating_sub(aside.bytes());
        Holding {
            clients: self.client_connections.connection_count(),
            backends: self.sockets.open(),
            bytes,
        }
    }
}

/// A process of a node whose platform replaces processes.
pub struct Handover {
    shares: Shares,
    holders: Holders,
    /// Room that is the other process's.
    aside: MemoryReservation,
    alone: Holding,
    older: Option<Talk>,
    newer: Option<Listener>,
    listener: Option<LocalListener>,
}

/// A connection to the older process, and a line that is not whole yet.
struct Talk {
    stream: LocalStream,
    unread: String,
}

/// What the older process says.
enum Word {
    Holds(Holding),
    /// It lives, and its word can't be read: a build with other words, perhaps.
    Unreadable,
    Gone,
}

impl Talk {
    /// Its next word. Dropped while it waits, it loses nothing.
    async fn next(&mut self) -> Word {
        loop {
            if let Some(end) = self.unread.find('\n') {
                let rest = self.unread.split_off(end + 1);
                let line = std::mem::replace(&mut self.unread, rest);
                return read(&line).map_or(Word::Unreadable, Word::Holds);
            }
            if self.unread.len() > LONGEST_LINE {
                self.unread.clear();
                return Word::Unreadable;
            }
            let mut bytes = [0; LONGEST_LINE];
            match self.stream.read(&mut bytes).await {
                Ok(count) if count > 0 => self
                    .unread
                    .push_str(&String::from_utf8_lossy(&bytes[..count])),
                _ => return Word::Gone,
            }
        }
    }
}

/// A connection to the newer process, and what of a line there was no room for yet: half a line would be read as part of the
/// next.
struct Listener {
    stream: LocalStream,
    unsent: Vec<u8>,
    said: Option<Holding>,
}

impl Listener {
    /// Sends as much as there is room for within a moment. One that does not read is no reason to stop: its end shows
    /// elsewhere.
    async fn send(&mut self) {
        while !self.unsent.is_empty() {
            match timeout(LOOK, self.stream.write(&self.unsent)).await {
                Ok(Ok(count)) => drop(self.unsent.drain(..count)),
                _ => return,
            }
        }
    }
}

impl Handover {
    /// Finds the process that was here before, hears what it holds, and takes its place for the next.
    pub async fn start(folder: Option<&Path>, alone: Holding, holders: Holders) -> Option<Self> {
        let aside = holders.budget.try_reserve(0)?;
        let mut this = Handover {
            shares: Shares::new(alone, SECOND),
            holders,
            aside,
            alone,
            older: None,
            newer: None,
            listener: None,
        };
        let Some(path) = folder.map(|folder| folder.join(NAME)) else {
            log(
                "no TMPDIR: whether another process of this node runs is unknown, and it holds half",
            );
            this.shares.handle(Event::Older);
            this.half();
            this.apply();
            return Some(this);
        };
        if let Ok(stream) = LocalStream::connect(&path).await {
            this.shares.handle(Event::Older);
            let mut talk = Talk {
                stream,
                unread: String::new(),
            };
            match timeout(FIRST_WORD, talk.next()).await {
                Ok(Word::Holds(holding)) => {
                    log(format_args!(
                        "an older process of this node holds {holding:?}"
                    ));
                    this.shares.handle(Event::OlderHolds(holding));
                    this.older = Some(talk);
                }
                Ok(Word::Gone) => this.shares.handle(Event::OlderGone),
                Ok(Word::Unreadable) => {
                    this.unreadable();
                    this.older = Some(talk);
                }
                Err(_) => {
                    log("an older process of this node says nothing: it is taken to hold half");
                    this.half();
                    this.older = Some(talk);
                }
            }
        }
        match LocalListener::replace(&path) {
            Ok(listener) => this.listener = Some(listener),
            Err(e) => log(format_args!(
                "the next process will not find this one at {}: {e}",
                path.display()
            )),
        }
        this.apply();
        Some(this)
    }

    fn half(&mut self) {
        self.shares.handle(Event::OlderHolds(self.alone.half()));
    }

    fn unreadable(&mut self) {
        log_peer("an older process of this node says what can't be read: it is taken to hold half");
        self.half();
    }

    fn apply(&mut self) {
        let held = self.holders.held(&self.aside);
        let may = self.shares.may_hold(held);
        self.holders
            .client_connections
            .set_max_connections(may.clients);
        self.holders.sockets.set_max(may.backends);
        self.aside
            .resize_up_to(self.alone.bytes.saturating_sub(may.bytes));
    }

    /// Carries on for as long as the process lives. `stop` is when it is told to end.
    pub async fn run(mut self, stop: impl Future<Output = ()>) {
        let mut stop = std::pin::pin!(stop);
        let mut stopped = false;
        loop {
            let (older, newer) = (&mut self.older, &mut self.newer);
            let paired = older.is_some() || newer.is_some();
            let word = async {
                match older {
                    Some(talk) => talk.next().await,
                    None => std::future::pending().await,
                }
            };
            let newer_gone = async {
                match newer {
                    // It says nothing: whatever comes is its end.
                    Some(newer) => drop(newer.stream.read(&mut [0; 1]).await),
                    None => std::future::pending().await,
                }
            };
            let came = async {
                match &self.listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = &mut stop, if !stopped => {
                    stopped = true;
                    self.shares.handle(Event::Stop);
                }
                word = word => match word {
                    Word::Holds(holding) => self.shares.handle(Event::OlderHolds(holding)),
                    Word::Unreadable => self.unreadable(),
                    Word::Gone => {
                        log("the older process of this node is gone");
                        self.older = None;
                        self.shares.handle(Event::OlderGone);
                    }
                },
                () = newer_gone => {
                    log("the newer process of this node is gone");
                    self.newer = None;
                    self.shares.handle(Event::NewerGone);
                }
                came = came => match came {
                    Ok(stream) => {
                        self.newer = Some(Listener { stream, unsent: Vec::new(), said: None });
                        self.shares.handle(Event::Newer);
                    }
                    Err(_) => sleep(LOOK).await,
                },
                () = sleep(LOOK), if paired => {}
            }
            self.apply();
            let Some(newer) = &mut self.newer else {
                continue;
            };
            if newer.unsent.is_empty() {
                let told = self.shares.told(self.holders.held(&self.aside));
                if newer.said.replace(told) != Some(told) {
                    newer.unsent = line(told).into_bytes();
                }
            }
            newer.send().await;
        }
    }
}

#[cfg(test)]
mod tests;
