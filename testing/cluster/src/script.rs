//! Faults as data: made from a seed, or read from a file, a JSON object a line; what is printed plays again.

use crate::relays::Way;
use serde::{Deserialize, Serialize};
use sillward_test_servers::random::Random;
use std::collections::BTreeSet;

/// What becomes of a process's folder while it is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Folder {
    /// It is as it was.
    Kept,
    /// It is gone.
    Lost,
    /// It is as it was when the process started the last time.
    Old,
    /// Its files are cut off after so many bytes.
    Torn(usize),
}

/// Some of the nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Which {
    /// One.
    Node(usize),
    /// Those of a zone.
    Zone(usize),
    /// Those of a region.
    Region(usize),
    /// All.
    All,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "what", deny_unknown_fields)]
pub enum What {
    /// A process is killed, and started again after a time.
    Kill {
        node: usize,
        for_ms: u64,
        folder: Folder,
    },
    /// A process ends in good order, and is started again.
    End {
        node: usize,
        for_ms: u64,
        newer: bool,
    },
    /// A process is paused.
    Pause { node: usize, for_ms: u64 },
    /// Nothing passes from some to others, and the other way too if it says so.
    Cut {
        from: Which,
        to: Which,
        both: bool,
        for_ms: u64,
    },
    /// Ways from some to others fare like that.
    Ways {
        from: Which,
        to: Which,
        way: Way,
        for_ms: u64,
    },
    /// Datagrams at one node, so many a second: without sense or key; or, keyed, a member's that lies in its numbers and tells
    /// of members that there are not.
    Flood {
        node: usize,
        a_second: u32,
        keyed: bool,
        for_ms: u64,
    },
}

/// A fault and its time since the script's start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When.
    pub at_ms: u64,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// The kinds of faults that a seed draws from, by the names of flags.
pub const KINDS: [&str; 8] = [
    "kill",
    "end",
    "pause",
    "cut-one-way",
    "cut-pair",
    "cut-zone",
    "ways",
    "flood",
];

/// Where nodes stand: `node % zones` is a node's zone, and the first half of the zones is the first region.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    /// Nodes.
    pub nodes: usize,
    /// Zones.
    pub zones: usize,
}

impl Places {
    /// A node's zone.
    pub fn zone(self, node: usize) -> usize {
        node % self.zones
    }

    /// A node's region.
    pub fn region(self, node: usize) -> usize {
        usize::from(self.zone(node) * 2 > self.zones)
    }

    /// The nodes that are meant.
    pub fn some(self, some: &Which) -> BTreeSet<usize> {
        let all = 0..self.nodes;
        match some {
            Which::Node(node) => BTreeSet::from([*node]),
            Which::Zone(zone) => all.filter(|node| self.zone(*node) == *zone).collect(),
            Which::Region(region) => all.filter(|node| self.region(*node) == *region).collect(),
            Which::All => all.collect(),
        }
    }

    /// The ways that are meant: from some to the others, never from a node to itself.
    pub fn ways(self, from: &Which, to: &Which) -> Vec<(usize, usize)> {
        let (from, to) = (self.some(from), self.some(to));
        let pairs = from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b)));
        // A zone and "all" means the zone and the rest: within the zone nothing is cut.
        let apart =
            |(a, b): &(usize, usize)| a != b && !(from.len() < to.len() && from.contains(b));
        pairs.filter(apart).collect()
    }
}

/// From then on a script's other faults come: its long kill is alone until then, so that its death can be timed.
const CALM_MS: u64 = 8_000;

/// A script of so many seconds, from a seed: one fault in each slot of so many milliseconds, of the kinds that are named, and before
/// them a kill that lasts, so that somebody is dead for long enough to be forgotten.
pub fn drawn(
    seed: u64,
    places: Places,
    (seconds, every_ms): (u64, u64),
    kinds: &[String],
) -> Vec<Fault> {
    let mut random = Random::new(seed.wrapping_mul(0x9e37_79b9).wrapping_add(17));
    let mut faults = Vec::new();
    let one = |random: &mut Random| random.below(places.nodes);
    let last = random.below(places.nodes - 1) + 1;
    if kinds.iter().any(|kind| kind == "kill") {
        let what = What::Kill {
            node: last,
            for_ms: (seconds * 1000).saturating_sub(2_000),
            folder: Folder::Kept,
        };
        faults.push(Fault { at_ms: 500, what });
    }
    let slots = (seconds * 1000)
        .saturating_sub(CALM_MS)
        .div_ceil(every_ms)
        .max(1);
    for slot in 0..slots {
        let at_ms = CALM_MS + slot * every_ms + random.below((every_ms * 3 / 8) as usize) as u64;
        let Some(kind) = kinds.get(random.below(kinds.len().max(1))) else {
            continue;
        };
        let node = loop {
            let node = one(&mut random);
            if node != last {
                break node;
            }
        };
        let other = (node + 1 + random.below(places.nodes - 1)) % places.nodes;
        let for_ms = 2_000 + random.below(6_000) as u64;
        let folder = match random.below(4) {
            0 => Folder::Lost,
            1 => Folder::Old,
            2 => Folder::Torn(random.below(40)),
            _ => Folder::Kept,
        };
        let what = match kind.as_str() {
            "kill" => What::Kill {
                node,
                for_ms: if random.percent(30) { 200 } else { for_ms },
                folder,
            },
            "end" => What::End {
                node,
                for_ms: 300,
                newer: random.percent(50),
            },
            "pause" => What::Pause {
                node,
                for_ms: if random.percent(30) { 300 } else { for_ms },
            },
            "cut-one-way" => What::Cut {
                from: Which::Node(node),
                to: Which::Node(other),
                both: false,
                for_ms: 6_000,
            },
            "cut-pair" => What::Cut {
                from: Which::Node(node),
                to: Which::Node(other),
                both: true,
                for_ms: 6_000,
            },
            "cut-zone" => What::Cut {
                from: Which::Zone(places.zone(node)),
                to: Which::All,
                both: true,
                for_ms,
            },
            "flood" => What::Flood {
                node,
                a_second: 20_000,
                keyed: random.percent(50),
                for_ms: 3_000,
            },
            _ => {
                let way = Way {
                    lost: 50 + random.below(150) as u32,
                    doubled: random.below(50) as u32,
                    spoilt: random.below(20) as u32,
                    late_ms: (random.below(20) as u32, 20 + random.below(60) as u32),
                };
                What::Ways {
                    from: Which::All,
                    to: Which::All,
                    way,
                    for_ms,
                }
            }
        };
        faults.push(Fault { at_ms, what });
    }
    faults
}

/// The file of a script.
pub fn text(faults: &[Fault]) -> String {
    let lines = faults
        .iter()
        .filter_map(|fault| serde_json::to_string(fault).ok());
    lines.map(|line| line + "\n").collect()
}

/// Reads a script's file.
///
/// # Errors
/// Every line that is no fault, with its number and why.
pub fn read(text: &str, places: Places) -> Result<Vec<Fault>, String> {
    let (mut faults, mut wrong) = (Vec::new(), Vec::new());
    for (number, line) in (1..)
        .zip(text.lines())
        .filter(|(_, line)| !line.trim().is_empty())
    {
        match serde_json::from_str::<Fault>(line) {
            Ok(fault) if nodes(&fault).iter().all(|node| *node < places.nodes) => {
                faults.push(fault)
            }
            Ok(_) => wrong.push(format!("line {number}: there are {} nodes", places.nodes)),
            Err(e) => wrong.push(format!("line {number}: {e}")),
        }
    }
    if wrong.is_empty() {
        Ok(faults)
    } else {
        Err(wrong.join("\n"))
    }
}

fn nodes(fault: &Fault) -> Vec<usize> {
    let named = |some: &Which| match some {
        Which::Node(node) => vec![*node],
        _ => Vec::new(),
    };
    match &fault.what {
        What::Kill { node, .. }
        | What::End { node, .. }
        | What::Pause { node, .. }
        | What::Flood { node, .. } => {
            vec![*node]
        }
        What::Cut { from, to, .. } | What::Ways { from, to, .. } => {
            [named(from), named(to)].concat()
        }
    }
}

/// How long it lasts.
pub fn lasts_ms(what: &What) -> u64 {
    match what {
        What::Kill { for_ms, .. }
        | What::End { for_ms, .. }
        | What::Pause { for_ms, .. }
        | What::Cut { for_ms, .. }
        | What::Ways { for_ms, .. }
        | What::Flood { for_ms, .. } => *for_ms,
    }
}
