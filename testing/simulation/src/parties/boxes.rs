//! Tally boxes: cores, a queue, a cold start; duplicates dropped by group and window; and all that goes wrong there.

use crate::dice::Dice;
use crate::ledger::{Ledger, Who};
use crate::net::{Host, Listener, Net, Socket};
use crate::parties::speech::{self, Inbox, call_in};
use crate::script::{BackendPlan, COLD_SHARE, Script, WARM_MS};
use sillward_runtime::time::{sleep, timeout};
use sillward_thrift::method_names::reply_name;
use sillward_thrift::wire::{MessageLimits, read_head};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet, spawn_local};

const BOUNDS: MessageLimits = MessageLimits {
    max_frame_bytes: 1 << 20,
    max_depth: 32,
    max_name_bytes: 256,
};
/// Connections that a box holds; those beyond are closed.
const CONNECTIONS: usize = 76;

/// What goes wrong with a box's answers just now: so often in a thousand.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    pub spoils: u64,
    pub behind: u64,
    pub errors: u64,
    pub rejects: u64,
    pub slower: u64,
}

/// A tally box.
pub struct Tally {
    pub plan: BackendPlan,
    pub host: Host,
    pub address: SocketAddr,
    pub trouble: Cell<Trouble>,
    /// When its process started.
    started: Cell<Option<Duration>>,
    net: Net,
    ledger: Rc<Ledger>,
    dice: RefCell<Dice>,
    cores: RefCell<Rc<Semaphore>>,
    held: Cell<usize>,
    waiting: Cell<usize>,
    connections: Cell<usize>,
    idle_close: Duration,
    thrift: bool,
    running: RefCell<Option<JoinHandle<()>>>,
}

/// A request's standing in a box, given back when it is dropped.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn in_(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// How a box answers.
enum Said {
    Served,
    Rejected,
    Error,
    Spoilt,
}

impl Tally {
    /// A box that is down.
    pub fn new(
        net: &Net,
        ledger: &Rc<Ledger>,
        script: &Script,
        plan: &BackendPlan,
        at: SocketAddr,
    ) -> Rc<Self> {
        let host = net.machine(&format!("b{}", plan.number), plan.zone, 4096);
        Rc::new(Tally {
            plan: plan.clone(),
            host,
            address: at,
            trouble: Cell::default(),
            started: Cell::new(None),
            net: net.clone(),
            ledger: ledger.clone(),
            dice: RefCell::new(Dice::of(script.seed, "box", plan.number as u64)),
            cores: RefCell::new(Rc::new(Semaphore::new(plan.cores))),
            held: Cell::new(0),
            waiting: Cell::new(0),
            connections: Cell::new(0),
            idle_close: Duration::from_millis(script.idle_close_ms),
            thrift: script.thrift,
            running: RefCell::default(),
        })
    }

    /// Whether it runs.
    pub fn is_up(&self) -> bool {
        self.running.borrow().is_some()
    }

    /// Starts its process; cold, unless it has been there for long. False if its address is taken.
    pub fn start(self: &Rc<Self>, cold: bool) -> bool {
        let Ok(listener) = self.net.listen(self.host, self.address, 64) else {
            return false;
        };
        self.net.with(self.host, |machine| machine.dying = false);
        self.started.set(cold.then(|| self.net.now()));
        *self.cores.borrow_mut() = Rc::new(Semaphore::new(self.plan.cores));
        self.net.step(self.host, format_args!("starts"));
        let own = self.clone();
        *self.running.borrow_mut() = Some(spawn_local(async move { own.run(listener).await }));
        true
    }

    /// Its process dies: its connections are reset.
    pub async fn die(&self) {
        let Some(running) = self.running.borrow_mut().take() else {
            return;
        };
        self.net.step(self.host, format_args!("dies"));
        self.net.with(self.host, |machine| machine.dying = true);
        running.abort();
        let _ = running.await;
    }

    async fn run(self: Rc<Self>, listener: Listener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                accepted = listener.accept() => {
                    let Ok(socket) = accepted else { return };
                    if self.connections.get() >= CONNECTIONS {
                        continue;
                    }
                    let own = self.clone();
                    connections.spawn_local(async move { own.serve(socket).await });
                }
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
    }

    async fn serve(self: Rc<Self>, socket: Socket) {
        let _counted = Counted::in_(&self.connections);
        let mut inbox = Inbox::default();
        loop {
            let message = async {
                if self.thrift {
                    let message = inbox.frame(&socket).await.ok().flatten()?;
                    Some((String::new(), message))
                } else {
                    let message = inbox.http(&socket).await.ok().flatten()?;
                    Some((message.head, message.body))
                }
            };
            let Ok(Some((head, body))) = timeout(self.idle_close, message).await else {
                return;
            };
            let begun = socket.mark().unwrap_or_else(|| self.net.now());
            let answer = if self.thrift {
                self.thrift_answer(&socket, &body, begun).await
            } else {
                self.http_answer(&socket, &head, &body, begun).await
            };
            let Some((answer, behind)) = answer else {
                return;
            };
            if socket.write_all(&answer).await.is_err() {
                return;
            }
            // Only where nothing else is under way on this connection: no node could tell them apart.
            if let Some(behind) = behind.filter(|_| socket.is_still() && inbox.is_empty())
                && socket.write_behind(&behind).await.is_err()
            {
                return;
            }
        }
    }

    fn load(&self) -> String {
        format!("inflight={},queue={}", self.held.get(), self.waiting.get())
    }

    async fn http_answer(
        &self,
        socket: &Socket,
        head: &str,
        body: &[u8],
        begun: Duration,
    ) -> Option<(Vec<u8>, Option<Vec<u8>>)> {
        let load = self.load();
        if head.starts_with("GET /stats ") || head.starts_with("GET /health/live ") {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{load}",
                load.len()
            );
            return Some((answer.into_bytes(), None));
        }
        let call = call_in(head.as_bytes()).or_else(|| call_in(body))?;
        let work = self.work(head);
        let said = self.carry_out(socket, &call, begun, work).await?;
        let report = format!("X-Load-Report: {}\r\n", self.load());
        let text = format!("op={call};at b{}", self.plan.number);
        let (status, more, text) = match said {
            Said::Served => ("200 OK", "", text),
            Said::Rejected => ("503 Busy", "X-Rejected: 1\r\n", String::new()),
            Said::Error => ("500 Wrong", "", String::new()),
            Said::Spoilt => return Some((self.noise(), None)),
        };
        let length = text.len();
        let answer =
            format!("HTTP/1.1 {status}\r\n{more}{report}Content-Length: {length}\r\n\r\n{text}");
        let answer = answer.into_bytes();
        let behind = self.dice.borrow_mut().permille(self.trouble.get().behind);
        let behind = (behind && status == "200 OK").then(|| answer.clone());
        Some((answer, behind))
    }

    async fn thrift_answer(
        &self,
        socket: &Socket,
        body: &[u8],
        begun: Duration,
    ) -> Option<(Vec<u8>, Option<Vec<u8>>)> {
        let message = read_head(body, &BOUNDS).ok()?;
        let (name, seqid) = (reply_name(message.head.name).to_owned(), message.head.seqid);
        if name == "load" {
            return Some((
                speech::thrift_reply(&name, seqid, &self.load(), &self.load()),
                None,
            ));
        }
        let call = call_in(body)?;
        let work = 10 + call.len() as u64 * 5;
        let said = self.carry_out(socket, &call, begun, work).await?;
        let text = format!("op={call};at b{}", self.plan.number);
        let answer = match said {
            Said::Served => speech::thrift_reply(&name, seqid, &text, &self.load()),
            Said::Rejected => speech::thrift_away(&name, seqid),
            Said::Error => speech::thrift_error(&name, seqid),
            Said::Spoilt => self.noise(),
        };
        Some((answer, None))
    }

    /// What nobody can read.
    fn noise(&self) -> Vec<u8> {
        let mut dice = self.dice.borrow_mut();
        match dice.within(0..3) {
            0 => b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nno end".to_vec(),
            1 => b"HTTP/1.1 200 OK\r\nContent-Length: nine\r\n\r\n".to_vec(),
            _ => (0..dice.within(1..200))
                .map(|_| dice.within(0x80..0x100) as u8)
                .collect(),
        }
    }

    /// The work that a request names, in milliseconds on a standard core.
    fn work(&self, head: &str) -> u64 {
        let at = head.find("work=").map(|at| &head[at + 5..]);
        let digits = at.map(|rest| {
            rest.chars()
                .take_while(char::is_ascii_digit)
                .collect::<String>()
        });
        digits.and_then(|digits| digits.parse().ok()).unwrap_or(20)
    }

    /// Lets a request run: it takes effect when its last byte has come, unless it is turned away. `None` where its
    /// connection has ended while it waited.
    async fn carry_out(
        &self,
        socket: &Socket,
        call: &str,
        begun: Duration,
        work: u64,
    ) -> Option<Said> {
        let who = Who {
            backend: self.plan.number,
            group: self.plan.zone,
            cores: self.plan.cores,
            speed: self.plan.speed(),
            started: self.started.get(),
        };
        self.ledger.arrives(call, who, begun);
        let trouble = self.trouble.get();
        let turned_away = self.dice.borrow_mut().permille(trouble.rejects);
        if turned_away || self.waiting.get() >= self.plan.queue {
            self.ledger.never_ran(call, self.plan.number);
            return Some(Said::Rejected);
        }
        let _held = Counted::in_(&self.held);
        let cores = self.cores.borrow().clone();
        let core = {
            let _waiting = Counted::in_(&self.waiting);
            tokio::select! {
                biased;
                core = cores.acquire() => core.ok()?,
                () = socket.gone() => return None,
            }
        };
        let slower = trouble.slower.max(1);
        let warmth = self.started.get().map_or(1.0, |started| {
            let age = (self.net.now() - started).as_secs_f64() / (WARM_MS as f64 / 1000.0);
            (COLD_SHARE + (1.0 - COLD_SHARE) * age).min(1.0)
        });
        let chance = 0.5 + self.dice.borrow_mut().fraction();
        let time = work as f64 * slower as f64 * chance / (self.plan.speed() * warmth);
        sleep(Duration::from_micros((time * 1000.0) as u64)).await;
        drop(core);
        let mut dice = self.dice.borrow_mut();
        Some(match () {
            () if dice.permille(trouble.errors) => Said::Error,
            () if dice.permille(trouble.spoils) => Said::Spoilt,
            () => Said::Served,
        })
    }
}
