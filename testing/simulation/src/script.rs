//! A night, written down: who is there, what is asked, and what goes wrong when. It is made from a seed; a file of it
//! replays without one, and can be made smaller by taking parts out.

use crate::dice::Dice;
use serde::{Deserialize, Serialize};

/// The version of what a script means. A seed names a night only together with it.
pub const VERSION: u32 = 1;
/// The classes, in the settings' order.
pub const CLASSES: [&str; 3] = ["read", "submit", "correct"];
/// How long clients of each class wait at the most, in milliseconds.
pub const DEADLINES: [u64; 3] = [1000, 1200, 2000];
/// How long backends remember a key, in milliseconds.
pub const WINDOW_MS: u64 = 600;
/// A cold backend is warm after so many milliseconds, and begins with this part of what it can do.
pub const WARM_MS: u64 = 3000;
pub const COLD_SHARE: f64 = 0.32;

/// A backend with this start never comes: taken out of a script, the others keep their numbers.
pub const NEVER: u64 = 1 << 40;

/// A whole night.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Script {
    pub version: u32,
    /// The throws of all dice follow from it.
    pub seed: u64,
    /// Backends close what has been idle for so long.
    pub idle_close_ms: u64,
    /// The roster is so far behind.
    pub lag_ms: u64,
    /// Whether backends and some callers speak Thrift.
    pub thrift: bool,
    /// Whether nodes follow an etcd beside the roster.
    pub etcd: bool,
    /// Whether the nodes are a fleet; and how its datagrams fare, in a thousand: lost, doubled, spoilt.
    #[serde(default)]
    pub fleet: Option<(u64, u64, u64)>,
    /// Memory of a node, in KiB.
    pub memory_kb: u64,
    pub nodes: Vec<NodePlan>,
    pub backends: Vec<BackendPlan>,
    pub requests: Vec<RequestPlan>,
    pub faults: Vec<Fault>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodePlan {
    pub number: usize,
    pub zone: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendPlan {
    pub number: usize,
    pub zone: u8,
    pub cores: usize,
    /// Of a standard core, in percent. Whole numbers alone come out of a file as they went in.
    pub speed_percent: u64,
    /// When it starts, cold; 0 if it has been there for long.
    pub from_ms: u64,
    /// Requests that may wait.
    pub queue: usize,
}

impl BackendPlan {
    /// Of a standard core.
    pub fn speed(&self) -> f64 {
        self.speed_percent as f64 / 100.0
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestPlan {
    pub number: u64,
    pub at_ms: u64,
    pub node: usize,
    /// Its place in [`CLASSES`].
    pub class: usize,
    /// Work on a standard core.
    pub work_ms: u64,
    pub budget_ms: u64,
    pub retries: u64,
    /// Bytes of its body, where it has one.
    pub body: usize,
    /// It comes over Thrift.
    pub thrift: bool,
    pub manner: Manner,
}

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Manner {
    Plain,
    /// Leaves after so many milliseconds.
    Leaves(u64),
    /// Sends half of it, and says no more.
    Half,
    /// Sends what can't be read.
    Garbage,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    pub at_ms: u64,
    pub for_ms: u64,
    pub what: What,
}

/// What goes wrong. Backends and nodes by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// A node's process dies and is back after the time.
    KillNode(usize),
    /// A node is told to end, and started again after the time.
    StopNode(usize),
    /// A node's configuration names another discovery.
    Reload(usize),
    /// A node may have so few descriptors for the time.
    Descriptors { node: usize, left: usize },
    /// A backend drains, and is gone after the time.
    Drain(usize),
    /// A backend's process dies; the roster learns of it after the time.
    Crash(usize),
    /// A backend drains, is gone after the time, and a cold successor takes its address at once.
    Replace { backend: usize, successor: usize },
    /// A backend is so many times slower.
    Choke { backend: usize, factor: u64 },
    /// Nothing comes from a backend or gets there.
    Silent(usize),
    /// Dials to a backend are not answered.
    Deaf(usize),
    /// Dials to a backend are refused.
    Refuse(usize),
    /// Dials to a backend find its accept queue full.
    Full(usize),
    /// Connections of a backend are reset, so many of a thousand every few milliseconds.
    Resets { backend: usize, permille: u64 },
    /// Connections of clients to a node are.
    FrontResets { node: usize, permille: u64 },
    /// New connections of clients to a node are reset after some bytes, so often in a thousand.
    FrontCuts { node: usize, permille: u64 },
    /// Nothing comes from a node or gets there.
    CutOff(usize),
    /// Connections to a backend are reset after some bytes, so often in a thousand.
    Cuts { backend: usize, permille: u64 },
    /// Answers of a backend are spoilt, so often in a thousand.
    Spoils { backend: usize, permille: u64 },
    /// Answers of a backend bring more than belongs to them.
    Behind { backend: usize, permille: u64 },
    /// A backend says that it failed.
    Errors { backend: usize, permille: u64 },
    /// A backend turns requests away.
    Rejects { backend: usize, permille: u64 },
    /// The roster is so much further behind.
    Lag(u64),
    /// A node's discovery is silent.
    RosterSilent(usize),
    /// All ways are so many times as long.
    Slow(u64),
    /// The etcd forgets its history, and breaks its watches off.
    EtcdCompacts,
    /// The etcd says nothing.
    EtcdStalls,
}

/// Of dice of its own, so that what else a seed makes is what it was before there were fleets.
fn fleet(seed: u64) -> Option<(u64, u64, u64)> {
    let mut dice = Dice::of(seed, "fleet-night", 0);
    let fleet = dice.permille(500);
    fleet.then(|| (dice.within(0..200), dice.within(0..50), dice.within(0..20)))
}

/// The night of a seed.
pub fn night(seed: u64) -> Script {
    let mut dice = Dice::of(seed, "night", 0);
    let nodes: Vec<NodePlan> = (0..1 + dice.within(0..3) as usize)
        .map(|number| NodePlan {
            number,
            zone: (number % 2) as u8,
        })
        .collect();
    let thrift = dice.permille(250);
    let etcd = dice.permille(200);
    let count = 3 + dice.within(0..5) as usize;
    let mut backends: Vec<BackendPlan> = (0..count)
        .map(|number| BackendPlan {
            number,
            zone: (number % 2) as u8,
            cores: 2 + dice.within(0..3) as usize,
            speed_percent: 60 + dice.within(0..50),
            from_ms: 0,
            queue: 8 + dice.within(0..60) as usize,
        })
        .collect();
    let span = 3000 + dice.within(0..4000);
    let mut faults = Vec::new();
    trouble(
        &mut dice,
        nodes.len(),
        &mut backends,
        span,
        thrift,
        etcd,
        &mut faults,
    );
    let capacity: f64 = backends[..count]
        .iter()
        .map(|b| b.cores as f64 * b.speed() * 1000.0 / 30.0)
        .sum();
    // Some nights are overloaded from their start.
    let load = if dice.permille(150) {
        1.0 + dice.fraction() * 0.5
    } else {
        0.25 + dice.fraction() * 0.6
    };
    let rate = (capacity * load).min(130.0);
    let misbehave = if dice.permille(300) { 40 } else { 4 };
    // Large bodies, and little room for them.
    let fat = dice.permille(80);
    let largest = if fat { 60_000 } else { 2000 };
    let requests = requests(
        &mut dice,
        nodes.len(),
        span,
        rate,
        thrift,
        misbehave,
        largest,
    );
    faults.sort_by_key(|fault| fault.at_ms);
    Script {
        version: VERSION,
        seed,
        idle_close_ms: 800 + dice.within(0..1500),
        lag_ms: dice.within(20..900),
        thrift,
        etcd,
        fleet: fleet(seed),
        memory_kb: if fat { 9400 } else { 48 << 10 },
        nodes,
        backends,
        requests,
        faults,
    }
}

fn requests(
    dice: &mut Dice,
    nodes: usize,
    span: u64,
    rate: f64,
    thrift: bool,
    misbehave: u64,
    largest: u64,
) -> Vec<RequestPlan> {
    let (mut at, mut all) = (250.0, Vec::new());
    while at < (250 + span) as f64 {
        at += -(1.0 - dice.fraction()).ln() * 1000.0 / rate;
        let class = match dice.within(0..100) {
            0..20 => 0,
            20..65 => 1,
            _ => 2,
        };
        let longest = DEADLINES[class];
        let misbehaves = dice.permille(misbehave);
        all.push(RequestPlan {
            number: all.len() as u64,
            at_ms: at as u64,
            node: dice.within(0..nodes as u64) as usize,
            class,
            work_ms: 10 + dice.within(0..40),
            budget_ms: longest * dice.within(40..101) / 100,
            retries: dice.within(0..3),
            body: if class > 0 {
                dice.within(0..largest) as usize
            } else {
                0
            },
            thrift: thrift && dice.permille(500),
            manner: match dice.within(0..4) {
                _ if !misbehaves => Manner::Plain,
                0 => Manner::Half,
                1 => Manner::Garbage,
                _ => Manner::Leaves(dice.within(1..300)),
            },
        });
    }
    all
}

/// Several troubles at once, drawn from all that the bench knows and more.
fn trouble(
    dice: &mut Dice,
    nodes: usize,
    backends: &mut Vec<BackendPlan>,
    span: u64,
    thrift: bool,
    etcd: bool,
    faults: &mut Vec<Fault>,
) {
    let count = backends.len();
    for _ in 0..2 + dice.within(0..6) {
        let at_ms = 300 + dice.within(0..span);
        let for_ms = 200 + dice.within(0..2000);
        let backend = dice.within(0..count as u64) as usize;
        let node = dice.within(0..nodes as u64) as usize;
        let permille = 100 + dice.within(0..500);
        let what = match dice.within(0..27) {
            0 => What::KillNode(node),
            1 => What::StopNode(node),
            2..4 => What::Reload(node),
            4 => What::Descriptors {
                node,
                left: 20 + dice.within(0..30) as usize,
            },
            5 => What::Drain(backend),
            6 => What::Crash(backend),
            7 => {
                deploy(dice, at_ms, backends, count, faults);
                continue;
            }
            8 => {
                grow(dice, at_ms, backends);
                continue;
            }
            9 => What::Choke {
                backend,
                factor: 2 + dice.within(0..4),
            },
            10 => What::Silent(backend),
            11 => What::Deaf(backend),
            12 => What::Refuse(backend),
            13 => What::Full(backend),
            14 => What::Resets {
                backend,
                permille: 1000,
            },
            15 => What::Resets {
                backend,
                permille: 20 + permille / 4,
            },
            16 | 17 => What::Cuts { backend, permille },
            18 => What::Spoils { backend, permille },
            19 => What::Behind { backend, permille },
            20 => What::Errors { backend, permille },
            21 => What::Rejects { backend, permille },
            22 => What::Lag(500 + dice.within(0..4000)),
            23 => What::FrontResets {
                node,
                permille: permille / 4,
            },
            24 => What::FrontCuts { node, permille },
            25 => What::CutOff(node),
            _ => What::Slow(2 + dice.within(0..4)),
        };
        // All at once, or for a while.
        let for_ms = if matches!(what, What::Resets { permille: 1000, .. }) {
            0
        } else {
            for_ms
        };
        let for_ms = if matches!(what, What::Drain(_)) {
            for_ms + 1500
        } else {
            for_ms
        };
        faults.push(Fault {
            at_ms,
            for_ms,
            what,
        });
        if etcd && dice.permille(500) {
            let what = if dice.permille(500) {
                What::EtcdCompacts
            } else {
                What::EtcdStalls
            };
            faults.push(Fault {
                at_ms: at_ms + dice.within(0..400),
                for_ms,
                what,
            });
        }
        // Trouble seldom comes alone: a configuration is changed because something is wrong.
        if dice.permille(250) {
            let after = dice.within(0..60);
            faults.push(Fault {
                at_ms: at_ms + after,
                for_ms: 0,
                what: What::Reload(node),
            });
        }
        if dice.permille(60) {
            faults.push(Fault {
                at_ms,
                for_ms,
                what: What::RosterSilent(node),
            });
        }
    }
    // What HTTP calls "spoilt" has no counterpart that Thrift's stand-in box knows.
    if thrift {
        faults.retain(|fault| !matches!(fault.what, What::Behind { .. }));
    }
}

/// A rolling deploy: most backends are replaced, a batch at a time.
fn deploy(
    dice: &mut Dice,
    mut at_ms: u64,
    backends: &mut Vec<BackendPlan>,
    count: usize,
    faults: &mut Vec<Fault>,
) {
    let batch = 1 + dice.within(0..2) as usize;
    for first in (0..count - 1).step_by(batch) {
        for backend in first..(first + batch).min(count - 1) {
            let number = backends.len();
            let for_ms = 2100 + dice.within(0..600);
            backends.push(BackendPlan {
                number,
                from_ms: at_ms + 20 + dice.within(0..300),
                ..backends[backend].clone()
            });
            faults.push(Fault {
                at_ms,
                for_ms,
                what: What::Replace {
                    backend,
                    successor: number,
                },
            });
        }
        at_ms += 300 + dice.within(0..500);
    }
}

/// The fleet grows, cold.
fn grow(dice: &mut Dice, at_ms: u64, backends: &mut Vec<BackendPlan>) {
    for _ in 0..1 + dice.within(0..3) {
        let (number, like) = (backends.len(), backends[0].clone());
        let from_ms = at_ms + dice.within(0..400);
        backends.push(BackendPlan {
            number,
            zone: (number % 2) as u8,
            from_ms,
            ..like
        });
    }
}
