//! Clients: each asks for its operation at its time, keeps connections, tries again, leaves or misbehaves, and holds
//! the node to its word.

use crate::dice::Dice;
use crate::ledger::{End, Ledger, Repeat};
use crate::net::{Host, Net, Socket};
use crate::parties::nodes::Nodes;
use crate::parties::speech::{Inbox, call_in, find, thrift_call};
use crate::script::{CLASSES, Manner, RequestPlan, Script};
use sillward_runtime::time::{sleep, sleep_until, timeout};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Who is bad is owed an error or a close within this time.
const BAD_FOR_AT_MOST: Duration = Duration::from_secs(3);
/// A client waits so much longer than it says before it counts a call as lost.
const PATIENCE: Duration = Duration::from_millis(300);

/// All clients.
pub struct Clients {
    net: Net,
    /// Their machine.
    pub host: Host,
    ledger: Rc<Ledger>,
    nodes: Rc<Nodes>,
    seed: u64,
    /// Kept connections by node.
    idle: RefCell<Vec<Vec<Socket>>>,
}

/// How a try ended.
enum Tried {
    Answered(End, Option<Duration>),
    /// The node never took it, or it was lost through no fault of the node's.
    Nothing,
    Left,
}

impl Clients {
    /// On a machine of their own.
    pub fn new(net: &Net, ledger: &Rc<Ledger>, nodes: &Rc<Nodes>, script: &Script) -> Rc<Self> {
        let host = net.machine("clients", 0, usize::MAX);
        let idle = script.nodes.iter().map(|_| Vec::new()).collect();
        Rc::new(Clients {
            net: net.clone(),
            host,
            ledger: ledger.clone(),
            nodes: nodes.clone(),
            seed: script.seed,
            idle: RefCell::new(idle),
        })
    }

    /// Closes what is kept; bytes that nobody asked for are a second answer.
    pub fn leave(&self) {
        for kept in self.idle.borrow_mut().iter_mut() {
            for socket in kept.drain(..) {
                self.look(&socket);
            }
        }
    }

    fn look(&self, socket: &Socket) {
        if socket.has_bytes() {
            let what = format!("c{} brings bytes behind its answer", socket.number());
            self.ledger.breach("answered-twice", None, what);
        }
    }

    /// Carries a plan out.
    pub async fn ask(self: Rc<Self>, plan: RequestPlan) {
        sleep_until(self.net.at(Duration::from_millis(plan.at_ms))).await;
        let mut dice = Dice::of(self.seed, "client", plan.number);
        let nodes = self.idle.borrow().len();
        let mut node = plan.node % nodes;
        match plan.manner {
            Manner::Half => return self.half(&plan, node).await,
            Manner::Garbage => return self.garbage(&mut dice, node).await,
            Manner::Plain | Manner::Leaves(_) => {}
        }
        for number in 0..=plan.retries {
            let call = format!("{}.{number}", plan.number);
            let tried = self.attempt(&plan, &call, node, number > 0).await;
            let pause = match tried {
                Tried::Left | Tried::Answered(End::Served | End::TurnedDown, _) => return,
                Tried::Answered(End::Refused, after) => {
                    after.unwrap_or_else(|| Duration::from_millis(dice.within(0..120)))
                }
                // Only a refusal promises that to try again does no harm.
                _ if Repeat::of(plan.class) == Repeat::Unsafe => return,
                _ => Duration::from_millis(dice.within(0..120)),
            };
            sleep(pause).await;
            if dice.permille(500) {
                node = (node + 1) % nodes;
            }
        }
    }

    async fn attempt(&self, plan: &RequestPlan, call: &str, node: usize, again: bool) -> Tried {
        let budget = Duration::from_millis(plan.budget_ms);
        let repeat = Repeat::of(plan.class);
        // A kept connection may have been closed by its node just now: then once more on a new one.
        let mut kept = if plan.thrift { None } else { self.kept(node) };
        let begun = self.net.now();
        self.ledger
            .begins(call, plan.number, repeat, node, begun + budget);
        loop {
            let (socket, fresh) = match kept.take() {
                Some(socket) => (socket, false),
                None => match timeout(budget, self.dial(plan, node)).await {
                    Ok(Ok(socket)) => (socket, true),
                    _ => {
                        self.ledger.unanswered(call, true, "never taken");
                        return Tried::Nothing;
                    }
                },
            };
            let exchange = async {
                if plan.thrift {
                    self.over_thrift(plan, call, &socket).await
                } else {
                    self.over_http(plan, call, &socket, again).await
                }
            };
            let leaves = match plan.manner {
                Manner::Leaves(ms) => Duration::from_millis(ms),
                _ => Duration::MAX / 4,
            };
            let limit = budget + PATIENCE;
            let answered = tokio::select! {
                biased;
                answered = exchange => answered,
                () = sleep(leaves) => {
                    self.ledger.unanswered(call, true, "its client has left");
                    return Tried::Left;
                }
                () = sleep(limit) => Err(false),
            };
            return match answered {
                Ok((end, after, own)) => {
                    let excused = self.is_excused(&socket, node, begun);
                    self.ledger.answers(call, end, own, excused);
                    if !plan.thrift && !socket.is_spoilt() && end != End::TurnedDown {
                        self.idle.borrow_mut()[node].push(socket);
                    }
                    Tried::Answered(end, after)
                }
                Err(nothing_came) => {
                    if !fresh
                        && nothing_came
                        && !socket.is_excused()
                        && self.nodes.was_there(node, begun)
                    {
                        continue;
                    }
                    let unread = fresh && nothing_came && !self.ledger.has_come(call);
                    // Crowded nodes are excused for what they have not read, and for nothing else.
                    let fair = socket.is_excused() || !self.nodes.was_there(node, begun);
                    let excused =
                        fair || (self.nodes.is_crowded(node) && (unread || !nothing_came));
                    if unread && !fair {
                        self.ledger.unread();
                    }
                    let why = if nothing_came {
                        "its connection ended"
                    } else {
                        "no whole answer came"
                    };
                    self.ledger.unanswered(call, excused, why);
                    Tried::Nothing
                }
            };
        }
    }

    /// Whether what goes wrong on a connection is no fault of its node's.
    fn is_excused(&self, socket: &Socket, node: usize, begun: Duration) -> bool {
        socket.is_excused() || !self.nodes.was_there(node, begun) || self.nodes.is_crowded(node)
    }

    fn kept(&self, node: usize) -> Option<Socket> {
        loop {
            let socket = self.idle.borrow_mut()[node].pop()?;
            self.look(&socket);
            if socket.is_silent() {
                return Some(socket);
            }
        }
    }

    async fn dial(&self, plan: &RequestPlan, node: usize) -> std::io::Result<Socket> {
        let at = if plan.thrift {
            self.nodes.thrift_address(node)
        } else {
            self.nodes.address(node)
        };
        self.net.dial(self.host, at).await
    }

    /// The answer, when to come back, and whether it is this call's; or an error: whether nothing of one came.
    async fn over_http(
        &self,
        plan: &RequestPlan,
        call: &str,
        socket: &Socket,
        again: bool,
    ) -> Result<(End, Option<Duration>, bool), bool> {
        let request = http_request(plan, call, again);
        // What a node answers before it has read all is still an answer.
        let written = socket.write_all(&request).await;
        let mut inbox = Inbox::default();
        let answer = match inbox.http(socket).await {
            Ok(Some(answer)) => answer,
            Ok(None) => return Err(true),
            Err(_) => return Err(inbox.is_empty()),
        };
        if !inbox.is_empty() {
            let what = format!("c{} brings bytes behind its answer", socket.number());
            self.ledger.breach("answered-twice", Some(call), what);
        }
        let after = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        let after = after.map(Duration::from_secs_f64);
        let end = match answer.status() {
            200 => End::Served,
            429 | 503 => End::Refused,
            502 | 504 => End::Failed,
            _ if written.is_err() => return Err(true),
            status => {
                self.ledger.breach(
                    "turned-down",
                    Some(call),
                    format!("a good request got {status}"),
                );
                End::TurnedDown
            }
        };
        let own = call_in(&answer.body).is_some_and(|named| named == call);
        Ok((end, after, own))
    }

    async fn over_thrift(
        &self,
        plan: &RequestPlan,
        call: &str,
        socket: &Socket,
    ) -> Result<(End, Option<Duration>, bool), bool> {
        let method = format!("Tally:{}", CLASSES[plan.class]);
        let key = format!("k{}", plan.number);
        let request = thrift_call(&method, 7, call, &key, plan.budget_ms, plan.body);
        if socket.write_all(&request).await.is_err() {
            return Err(true);
        }
        let mut inbox = Inbox::default();
        let answer = match inbox.frame(socket).await {
            Ok(Some(answer)) => answer,
            Ok(None) => return Err(true),
            Err(_) => return Err(inbox.is_empty()),
        };
        if !inbox.is_empty() {
            let what = format!("c{} brings bytes behind its answer", socket.number());
            self.ledger.breach("answered-twice", Some(call), what);
        }
        let own = call_in(&answer).is_some_and(|named| named == call);
        // A reply is kind 2; what the node says itself is an exception that says which in words.
        let end = match answer.get(3) {
            Some(2) => End::Served,
            _ if find(&answer, b"refused").is_some() => End::Refused,
            _ => End::Failed,
        };
        Ok((end, None, own))
    }

    /// Sends half a request, and waits to be rid of.
    async fn half(&self, plan: &RequestPlan, node: usize) {
        let begun = self.net.now();
        let Ok(Ok(socket)) = timeout(BAD_FOR_AT_MOST, self.dial(plan, node)).await else {
            return;
        };
        let request = http_request(plan, &format!("{}.0", plan.number), false);
        let _ = socket.write_all(&request[..request.len() / 2]).await;
        self.bad(&socket, node, begun).await;
    }

    /// Sends what can't be read.
    async fn garbage(&self, dice: &mut Dice, node: usize) {
        let begun = self.net.now();
        let dial = self.net.dial(self.host, self.nodes.address(node));
        let Ok(Ok(socket)) = timeout(BAD_FOR_AT_MOST, dial).await else {
            return;
        };
        let bytes: Vec<u8> = match dice.within(0..4) {
            0 => (0..300).map(|_| dice.within(0..256) as u8).collect(),
            1 => b"GET /read/1f HTTP/1.1\r\nContent-Length: -1\r\n\r\n".to_vec(),
            2 => b"POST /submit/1f HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n".to_vec(),
            _ => b"POST /submit/1f HTTP/1.1\r\nHost: n\r\nContent-Length: 60000000\r\n\r\nmore".to_vec(),
        };
        let _ = socket.write_all(&bytes).await;
        self.bad(&socket, node, begun).await;
    }

    async fn bad(&self, socket: &Socket, node: usize, begun: Duration) {
        let mut answer = [0; 64];
        let heard = timeout(BAD_FOR_AT_MOST, socket.read(&mut answer)).await;
        let excused = self.is_excused(socket, node, begun);
        match heard {
            Ok(Ok(count)) if count > 0 && answer.starts_with(b"HTTP/1.1 200") => {
                self.ledger.breach(
                    "served-nonsense",
                    None,
                    "a bad request was served".to_owned(),
                );
            }
            Ok(_) => {}
            Err(_) if excused => {}
            Err(_) => {
                let what = format!("c{}: neither an error nor a close in 3 s", socket.number());
                self.ledger.breach("bad-client", None, what);
            }
        }
    }
}

fn http_request(plan: &RequestPlan, call: &str, again: bool) -> Vec<u8> {
    let class = CLASSES[plan.class];
    let method = if plan.class == 0 { "GET" } else { "POST" };
    let key = if plan.class == 1 {
        format!("Idempotency-Key: k{}\r\n", plan.number)
    } else {
        String::new()
    };
    let again = if again { "X-Again: 1\r\n" } else { "" };
    let length = if plan.class == 0 { 0 } else { plan.body };
    let tenant = if plan.number % 3 == 0 {
        "pati"
    } else {
        "semarang"
    };
    let mut out = format!(
        "{method} /{class}/op={call};work={}/{:x} HTTP/1.1\r\nHost: n\r\nX-Call-Id: c{call}\r\nX-Caller: {tenant}\r\n\
         X-Budget-Ms: {}\r\n{key}{again}Content-Length: {length}\r\n\r\n",
        plan.work_ms,
        plan.number % 97,
        plan.budget_ms,
    )
    .into_bytes();
    out.resize(out.len() + length, b's');
    out
}
