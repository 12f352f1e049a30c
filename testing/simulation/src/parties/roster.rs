//! The roster: what is true of the backends, told late and one change after the other, by agents that stand beside
//! each node.

use crate::bell::Bell;
use crate::dice::Dice;
use crate::ledger::Ledger;
use crate::net::{Net, Socket};
use crate::parties::speech::Inbox;
use sillward_runtime::time::{sleep_until, timeout};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinSet, spawn_local};

/// While nothing changes, an empty line comes so often.
const EMPTY_LINE: Duration = Duration::from_secs(2);

/// A backend's state, as it is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    InService,
    Terminating,
    Terminated,
}

impl State {
    fn word(self) -> &'static str {
        match self {
            State::InService => "in_service",
            State::Terminating => "terminating",
            State::Terminated => "terminated",
        }
    }
}

/// A change of the list.
#[derive(Clone)]
struct Change {
    /// When every agent may tell it.
    at: Duration,
    backend: usize,
    state: State,
    line: String,
}

/// A backend's line, as of what is true.
pub struct Line<'a> {
    pub backend: usize,
    pub address: SocketAddr,
    pub zone: &'a str,
    pub kind: &'a str,
    pub state: State,
    pub since_ms: u128,
}

impl Line<'_> {
    /// In discovery's entry form.
    pub fn json(&self) -> String {
        format!(
            r#"{{"name":"b{}","address":"{}","zone":"{}","type":"{}","group":{},"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.backend,
            self.address,
            self.zone,
            self.kind,
            self.backend / 2,
            self.state.word(),
            self.since_ms
        )
    }
}

/// The roster.
pub struct Roster {
    net: Net,
    ledger: Rc<Ledger>,
    changes: RefCell<Vec<Change>>,
    lag: Cell<Duration>,
    news: Bell,
    /// Until when each node's agents are silent.
    silent: RefCell<BTreeMap<usize, Duration>>,
    /// Planted: so many news of a drain in a thousand are not taken in.
    swallows: Option<(RefCell<Dice>, u64)>,
}

impl Roster {
    /// So far behind what is true.
    pub fn new(
        net: &Net,
        ledger: &Rc<Ledger>,
        lag: Duration,
        swallows: Option<(Dice, u64)>,
    ) -> Rc<Self> {
        Rc::new(Roster {
            net: net.clone(),
            ledger: ledger.clone(),
            changes: RefCell::default(),
            lag: Cell::new(lag),
            news: Bell::default(),
            silent: RefCell::default(),
            swallows: swallows.map(|(dice, permille)| (RefCell::new(dice), permille)),
        })
    }

    /// What lags lags so much more from now on.
    pub fn set_lag(&self, lag: Duration) {
        self.lag.set(lag);
    }

    /// A node's agents say nothing until then.
    pub fn silence(&self, node: usize, until: Duration) {
        self.silent.borrow_mut().insert(node, until);
    }

    /// Something has changed, now; at the very start it is known at once.
    pub fn change(&self, line: &Line<'_>) {
        let now = self.net.now();
        let mut changes = self.changes.borrow_mut();
        let lag = if now.is_zero() {
            Duration::ZERO
        } else {
            self.lag.get()
        };
        // Changes are told in their order.
        let at = changes
            .last()
            .map_or(Duration::ZERO, |last| last.at)
            .max(now + lag);
        changes.push(Change {
            at,
            backend: line.backend,
            state: line.state,
            line: line.json(),
        });
        drop(changes);
        self.net.trace.step(
            now,
            "truth",
            format_args!("b{} {}", line.backend, line.state.word()),
        );
        self.news.ring();
    }

    /// Starts an agent of a node.
    pub fn agent(self: &Rc<Self>, node: usize, at: SocketAddr) {
        let host = self.net.machine(&format!("agent{node}"), 0, 4096);
        self.net.with(host, |machine| machine.beside = true);
        let Ok(listener) = self.net.listen(host, at, 64) else {
            return;
        };
        let own = self.clone();
        spawn_local(async move {
            let mut watches = JoinSet::new();
            loop {
                tokio::select! {
                    biased;
                    accepted = listener.accept() => {
                        let Ok(socket) = accepted else { return };
                        let own = own.clone();
                        watches.spawn_local(async move { own.serve(node, socket).await });
                    }
                    Some(_) = watches.join_next(), if !watches.is_empty() => {}
                }
            }
        });
    }

    async fn serve(self: Rc<Self>, node: usize, socket: Socket) {
        let mut inbox = Inbox::default();
        while let Ok(Some(request)) = inbox.http(&socket).await {
            let (stream, index) = wish(&request.head);
            let ended = if stream {
                tokio::select! {
                    biased;
                    ended = self.watch(node, &socket, index) => ended,
                    () = socket.gone() => Err(std::io::ErrorKind::ConnectionReset.into()),
                }
            } else {
                let (list, told, _) = self.list(0);
                self.note(node, &told);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                    list.len()
                );
                socket.write_all(answer.as_bytes()).await
            };
            if ended.is_err() {
                return;
            }
        }
    }

    async fn watch(&self, node: usize, socket: &Socket, index: usize) -> std::io::Result<()> {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        socket.write_all(head).await?;
        let mut told_to = index;
        let mut first = true;
        loop {
            let silent = self.silent.borrow().get(&node).copied().unwrap_or_default();
            if silent > self.net.now() {
                sleep_until(self.net.at(silent)).await;
            }
            let seen = self.news.count();
            let (list, told, index) = self.list(told_to);
            if index > told_to || first {
                self.note(node, &told);
                let line = format!("{list}\n");
                socket
                    .write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())
                    .await?;
                told_to = index;
                first = false;
            }
            let next = self.changes.borrow().get(told_to).map(|change| change.at);
            let now = self.net.now();
            let until = next.map_or(now + EMPTY_LINE, |next| next.min(now + EMPTY_LINE));
            if timeout(until - now, self.news.after(seen)).await.is_err()
                && self.net.now() >= now + EMPTY_LINE
            {
                socket.write_all(b"1\r\n\n\r\n").await?;
            }
        }
    }

    /// What happened after that version: the line of it, what it says of whom, and its version. The whole list for
    /// version 0.
    fn list(&self, after: usize) -> (String, Vec<(usize, State)>, usize) {
        let (changes, now) = (self.changes.borrow(), self.net.now());
        let index = changes.iter().take_while(|change| change.at <= now).count();
        let mut latest: BTreeMap<usize, &Change> = BTreeMap::new();
        for change in &changes[after.min(index)..index] {
            latest.insert(change.backend, change);
        }
        if after == 0 {
            latest.retain(|_, change| change.state != State::Terminated);
        }
        let lines: Vec<&str> = latest
            .values()
            .map(|change| self.taken_in(change))
            .collect();
        let told = latest
            .values()
            .map(|change| (change.backend, change.state))
            .collect();
        let snapshot = after == 0;
        let text = format!(
            r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
            lines.join(",")
        );
        (text, told, index)
    }

    /// A line as the node reads it: with the plant, one that it does not take in.
    fn taken_in<'a>(&self, change: &'a Change) -> &'a str {
        let swallowed =
            |(dice, permille): &(RefCell<Dice>, u64)| dice.borrow_mut().permille(*permille);
        let drains = change.state != State::InService;
        if drains && self.swallows.as_ref().is_some_and(swallowed) {
            return r#"{"name":"nobody"}"#;
        }
        &change.line
    }

    fn note(&self, node: usize, told: &[(usize, State)]) {
        for (backend, state) in told {
            self.ledger
                .tells(node, *backend, *state != State::InService);
            self.net.trace.step(
                self.net.now(),
                "roster",
                format_args!("tells n{node}: b{backend} {}", state.word()),
            );
        }
    }
}

fn wish(head: &str) -> (bool, usize) {
    let line = head.lines().next().unwrap_or_default();
    let index = line
        .split("index=")
        .nth(1)
        .map(|rest| rest.chars().take_while(char::is_ascii_digit));
    let index = index
        .and_then(|digits| digits.collect::<String>().parse().ok())
        .unwrap_or(0);
    (line.contains("stream=1"), index)
}
