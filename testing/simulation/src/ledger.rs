//! What ran where, what was told whom, and what clients heard of it. Every entry is checked against the four rules as
//! it is made: the run stops at the first breach.

use crate::net::Net;
use crate::script::{COLD_SHARE, WARM_MS, WINDOW_MS};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Display};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Each time limit is so much longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
const GRACE: Duration = Duration::from_millis(2000);
/// A cold backend falls over when sent more than so many times what it can do, for so long.
const OVERLOAD: f64 = 4.0;
const OVERLOAD_TIME: Duration = Duration::from_millis(1500);
/// Its work is counted in slots of this length.
const WORK_ON_AVERAGE_MS: f64 = 30.0;

/// How far a call may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Safe,
    Keyed,
    Unsafe,
}

impl Repeat {
    /// Of a class, by its place.
    pub fn of(class: usize) -> Self {
        [Repeat::Safe, Repeat::Keyed, Repeat::Unsafe][class]
    }
}

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Served,
    Refused,
    Failed,
    /// An answer to what is no request.
    TurnedDown,
}

/// A breach, and of what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The checker: the same one must fail for a script to count as smaller.
    pub checker: &'static str,
    pub at: Duration,
    /// The call, if it is about one.
    pub call: Option<String>,
    pub what: String,
}

impl Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let call = self
            .call
            .as_deref()
            .map(|call| format!(" call {call}"))
            .unwrap_or_default();
        write!(
            f,
            "{} at {} ms{call}: {}",
            self.checker,
            self.at.as_millis(),
            self.what
        )
    }
}

struct Arrival {
    at: Duration,
    /// When its first byte was sent.
    begun: Duration,
    backend: usize,
    group: u8,
    /// It was not turned away.
    ran: bool,
}

struct Call {
    operation: u64,
    repeat: Repeat,
    node: usize,
    due: Duration,
    arrivals: Vec<Arrival>,
    answered: Option<(Duration, End)>,
}

#[derive(Default)]
struct Operation {
    /// Groups in which it took effect, once for each time.
    effects: Vec<u8>,
}

/// A backend's load while it is cold.
#[derive(Default)]
struct Cold {
    /// When each request came, of the last of the overload time.
    came: VecDeque<Duration>,
}

/// What happens to a request that has come to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It takes effect.
    New,
    /// Its group knows it: it takes none.
    Repeat,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub calls: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Without an answer through no fault of the node's.
    pub excused: u64,
    /// First calls of a connection that their node closed without a look: failed, and not lost.
    pub unread: u64,
    pub attempts: u64,
    pub repeats: u64,
    /// Calls of which more than one attempt came to a backend.
    pub resent: u64,
}

/// The ledger of a run.
pub struct Ledger {
    net: Net,
    calls: RefCell<BTreeMap<String, Call>>,
    operations: RefCell<BTreeMap<u64, Operation>>,
    /// When a node was told that a backend drains or is gone.
    told: RefCell<BTreeMap<(usize, usize), Duration>>,
    cold: RefCell<BTreeMap<usize, Cold>>,
    figures: RefCell<Figures>,
    breach: RefCell<Option<Breach>>,
    /// Set with the first breach.
    pub broken: Notify,
    /// Checks of rules that were made.
    pub checks: Cell<u64>,
}

/// A backend, as the ledger needs to know it.
#[derive(Clone, Copy, Debug)]
pub struct Who {
    pub backend: usize,
    pub group: u8,
    pub cores: usize,
    pub speed: f64,
    /// When it started, if it may be cold.
    pub started: Option<Duration>,
}

impl Ledger {
    /// Of a run on that network.
    pub fn new(net: Net) -> Rc<Self> {
        Rc::new(Ledger {
            net,
            calls: RefCell::default(),
            operations: RefCell::default(),
            told: RefCell::default(),
            cold: RefCell::default(),
            figures: RefCell::default(),
            breach: RefCell::default(),
            broken: Notify::new(),
            checks: Cell::new(0),
        })
    }

    /// Notes a breach; the first one counts.
    pub fn breach(&self, checker: &'static str, call: Option<&str>, what: String) {
        let mut breach = self.breach.borrow_mut();
        if breach.is_none() {
            let at = self.net.now();
            let call = call.map(str::to_owned);
            self.net
                .trace
                .step(at, "checker", format_args!("{checker} {what}"));
            *breach = Some(Breach {
                checker,
                at,
                call,
                what,
            });
            self.broken.notify_one();
        }
    }

    /// The first breach.
    pub fn first(&self) -> Option<Breach> {
        self.breach.borrow().clone()
    }

    /// The figures so far.
    pub fn figures(&self) -> Figures {
        self.figures.borrow().clone()
    }

    /// A client begins a call at a node. Calls are named `OPERATION.TRY`.
    pub fn begins(&self, call: &str, operation: u64, repeat: Repeat, node: usize, due: Duration) {
        self.figures.borrow_mut().calls += 1;
        let entry = Call {
            operation,
            repeat,
            node,
            due,
            arrivals: Vec::new(),
            answered: None,
        };
        self.calls.borrow_mut().insert(call.to_owned(), entry);
        let now = self.net.now();
        self.net.trace.step(
            now,
            "clients",
            format_args!("call {call} ({repeat:?}) to n{node}"),
        );
    }

    /// The last byte of a call has come to a backend, whose first byte was sent at `begun`.
    pub fn arrives(&self, name: &str, who: Who, begun: Duration) -> Effect {
        let now = self.net.now();
        self.checks.set(self.checks.get() + 1);
        self.figures.borrow_mut().attempts += 1;
        let backend = who.backend;
        self.net
            .trace
            .step(now, "ledger", format_args!("call {name} at b{backend}"));
        let mut calls = self.calls.borrow_mut();
        let Some(call) = calls.get_mut(name) else {
            self.breach(
                "no-such-call",
                Some(name),
                format!("came to b{backend}, and nobody called it"),
            );
            return Effect::Repeat;
        };
        if let Some((at, end)) = call.answered.filter(|(at, _)| begun > *at) {
            let what = format!(
                "sent to b{backend} at {} ms, after its answer ({end:?}) at {} ms",
                begun.as_millis(),
                at.as_millis()
            );
            self.breach("sent-after-answer", Some(name), what);
        }
        if !call.arrivals.is_empty() {
            self.figures.borrow_mut().resent += 1;
        }
        let ran: Vec<&Arrival> = call.arrivals.iter().filter(|arrival| arrival.ran).collect();
        match (call.repeat, ran.first()) {
            (Repeat::Unsafe, Some(first)) => {
                let what = format!("ran at b{} and comes to b{backend}", first.backend);
                self.breach("effect-twice", Some(name), what);
            }
            (Repeat::Keyed, Some(first)) if first.group != who.group => {
                let what = format!(
                    "ran at b{} of group {} and comes to b{backend} of group {}",
                    first.backend, first.group, who.group
                );
                self.breach("effect-twice", Some(name), what);
            }
            (Repeat::Keyed, Some(first))
                if begun > first.begun + Duration::from_millis(WINDOW_MS) + SLACK =>
            {
                let what = format!(
                    "comes to b{backend} after its window, first sent at {:?}",
                    first.begun
                );
                self.breach("past-window", Some(name), what);
            }
            _ => {}
        }
        if let Some(told) = self.told.borrow().get(&(call.node, backend))
            && begun > *told + GRACE + SLACK
        {
            let what = format!(
                "n{} sent to b{backend} at {} ms; told at {} ms that it drains",
                call.node,
                begun.as_millis(),
                told.as_millis()
            );
            self.breach("drain", Some(name), what);
        }
        call.arrivals.push(Arrival {
            at: now,
            begun,
            backend,
            group: who.group,
            ran: true,
        });
        let mut operations = self.operations.borrow_mut();
        let operation = operations.entry(call.operation).or_default();
        let effect = match call.repeat {
            Repeat::Keyed if operation.effects.contains(&who.group) => Effect::Repeat,
            _ => Effect::New,
        };
        if effect == Effect::New {
            operation.effects.push(who.group);
            if call.repeat == Repeat::Unsafe && operation.effects.len() > 1 {
                self.breach(
                    "effect-twice",
                    Some(name),
                    "an earlier try of it ran".to_owned(),
                );
            }
        } else {
            self.figures.borrow_mut().repeats += 1;
        }
        self.weigh(who, now);
        effect
    }

    /// The rule of cold backends.
    fn weigh(&self, who: Who, now: Duration) {
        let Some(started) = who.started else { return };
        let age = now.saturating_sub(started);
        if age > Duration::from_millis(WARM_MS) {
            return;
        }
        let mut cold = self.cold.borrow_mut();
        let came = &mut cold.entry(who.backend).or_default().came;
        came.push_back(now);
        while came
            .front()
            .is_some_and(|first| now - *first > OVERLOAD_TIME)
        {
            came.pop_front();
        }
        let warmth =
            COLD_SHARE + (1.0 - COLD_SHARE) * age.as_secs_f64() / (WARM_MS as f64 / 1000.0);
        let can = who.cores as f64 * who.speed * 1000.0 / WORK_ON_AVERAGE_MS * warmth.min(1.0);
        let most = OVERLOAD * can * OVERLOAD_TIME.as_secs_f64();
        if came.len() as f64 > most {
            let what = format!(
                "b{} got {} in 1.5 s and stands {most:.0}",
                who.backend,
                came.len()
            );
            drop(cold);
            self.breach("cold", None, what);
        }
    }

    /// Whether a call has come to any backend.
    pub fn has_come(&self, name: &str) -> bool {
        self.calls
            .borrow()
            .get(name)
            .is_some_and(|call| !call.arrivals.is_empty())
    }

    /// It was turned away, and has not run.
    pub fn never_ran(&self, name: &str, backend: usize) {
        let mut calls = self.calls.borrow_mut();
        let Some(call) = calls.get_mut(name) else {
            return;
        };
        let Some(arrival) = call
            .arrivals
            .iter_mut()
            .rev()
            .find(|arrival| arrival.backend == backend)
        else {
            return;
        };
        arrival.ran = false;
        let group = arrival.group;
        if let Some(operation) = self.operations.borrow_mut().get_mut(&call.operation)
            && let Some(at) = operation.effects.iter().rposition(|known| *known == group)
        {
            operation.effects.remove(at);
        }
    }

    /// A client has its answer; `own` if a served one's body says that it is this call's, `excused` if it may be late
    /// through no fault of the node's.
    pub fn answers(&self, name: &str, end: End, own: bool, excused: bool) {
        let now = self.net.now();
        self.checks.set(self.checks.get() + 1);
        self.net
            .trace
            .step(now, "clients", format_args!("call {name} answered {end:?}"));
        let mut figures = self.figures.borrow_mut();
        match end {
            End::Served => figures.served += 1,
            End::Refused => figures.refused += 1,
            End::Failed | End::TurnedDown => figures.failed += 1,
        }
        drop(figures);
        let mut calls = self.calls.borrow_mut();
        let Some(call) = calls.get_mut(name) else {
            return;
        };
        if call.answered.is_some() {
            self.breach(
                "answered-twice",
                Some(name),
                format!("answered again: {end:?}"),
            );
        }
        call.answered = Some((now, end));
        if now > call.due + SLACK && !excused {
            let late = (now - call.due).as_millis();
            self.breach(
                "late",
                Some(name),
                format!("answered {late} ms after its deadline"),
            );
        }
        let ran = call.arrivals.iter().any(|arrival| arrival.ran);
        if end == End::Served && !own {
            self.breach(
                "foreign-answer",
                Some(name),
                "served with another call's answer".to_owned(),
            );
        } else if end == End::Served && !ran {
            self.breach(
                "foreign-answer",
                Some(name),
                "served, and ran nowhere".to_owned(),
            );
        }
        if end == End::Refused && ran && call.repeat != Repeat::Safe {
            self.breach(
                "refused-and-ran",
                Some(name),
                "refused, and it ran".to_owned(),
            );
        }
    }

    /// A client has no answer; `excused` if that is no fault of the node's.
    pub fn unanswered(&self, name: &str, excused: bool, why: &str) {
        let now = self.net.now();
        self.net.trace.step(
            now,
            "clients",
            format_args!("call {name} unanswered, {why}"),
        );
        if excused {
            self.figures.borrow_mut().excused += 1;
        } else {
            self.breach("lost", Some(name), why.to_owned());
        }
    }

    /// A node has closed a new connection with its first call unread.
    pub fn unread(&self) {
        self.figures.borrow_mut().unread += 1;
    }

    /// A node is told that a backend drains or is gone; `None` that a new run of it serves.
    pub fn tells(&self, node: usize, backend: usize, drains: bool) {
        let now = self.net.now();
        let mut told = self.told.borrow_mut();
        if drains {
            told.entry((node, backend)).or_insert(now);
        } else {
            told.remove(&(node, backend));
        }
    }

    /// A node has started anew, and was told nothing.
    pub fn node_starts(&self, node: usize) {
        self.told.borrow_mut().retain(|(of, _), _| *of != node);
    }

    /// The life of a call, for a person.
    pub fn life(&self, name: &str) -> Vec<String> {
        let calls = self.calls.borrow();
        let Some(call) = calls.get(name) else {
            return Vec::new();
        };
        let mut all = vec![format!(
            "call {name}: {:?}, to n{}, due at {} ms",
            call.repeat,
            call.node,
            call.due.as_millis()
        )];
        all.extend(call.arrivals.iter().map(|arrival| {
            format!(
                "  sent from {} ms, whole at b{} (group {}) at {} ms, {}",
                arrival.begun.as_millis(),
                arrival.backend,
                arrival.group,
                arrival.at.as_millis(),
                if arrival.ran {
                    "may have run"
                } else {
                    "turned away"
                }
            )
        }));
        all.extend(
            call.answered
                .map(|(at, end)| format!("  answered {end:?} at {} ms", at.as_millis())),
        );
        all
    }
}
