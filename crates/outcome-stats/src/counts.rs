//! What is counted: by backend and class, and by class at the clients' side.

use crate::sketch::Sketch;
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A backend, by a number that is the same at every node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Backend(pub u32);

impl Backend {
    /// Those that a word had no room to name.
    pub const OTHERS: Backend = Backend(0);

    /// Of a backend's number in the node.
    pub fn of(id: u64) -> Self {
        Backend(((id ^ (id >> 32)) as u32).max(1))
    }
}

/// A class, by a number made of its name: nodes may list their classes in another order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class(pub u32);

impl Class {
    /// Of that name.
    pub fn of(name: &str) -> Self {
        let hash = xxh3_64(name.as_bytes());
        Class((hash ^ (hash >> 32)) as u32)
    }
}

/// A class at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell {
    /// Where.
    pub backend: Backend,
    /// What.
    pub class: Class,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served within its class's aim.
    InTime,
    /// Served, or given up, past it.
    Late,
    /// Turned away by the backend.
    Refused,
    /// Anything else.
    Failed,
}

/// What became of attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Attempts begun.
    pub sent: u32,
    /// Ended like that.
    pub in_time: u32,
    /// See there.
    pub late: u32,
    /// See there.
    pub refused: u32,
    /// See there.
    pub failed: u32,
    /// Work that callers hinted at, in milliseconds.
    pub work_ms: u32,
    /// Probes sent.
    pub probes: u32,
    /// How long those took that were served.
    pub times: Sketch,
}

impl Tally {
    /// Adds what another has counted.
    pub fn merge(&mut self, other: &Tally) {
        let pairs = [
            (&mut self.sent, other.sent),
            (&mut self.in_time, other.in_time),
            (&mut self.late, other.late),
            (&mut self.refused, other.refused),
            (&mut self.failed, other.failed),
            (&mut self.work_ms, other.work_ms),
            (&mut self.probes, other.probes),
        ];
        pairs
            .into_iter()
            .for_each(|(own, other)| *own = own.saturating_add(other));
        self.times.merge(&other.times);
    }

    /// Attempts that have ended.
    pub fn ended(&self) -> u64 {
        [self.in_time, self.late, self.refused, self.failed]
            .iter()
            .map(|n| u64::from(*n))
            .sum()
    }
}

/// What clients asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asked {
    /// Calls taken that are no repeats.
    pub first: u32,
    /// Callers' own repeats.
    pub again: u32,
    /// Calls turned away by the node.
    pub shed: u32,
}

impl Asked {
    fn merge(&mut self, other: &Asked) {
        let pairs = [
            (&mut self.first, other.first),
            (&mut self.again, other.again),
            (&mut self.shed, other.shed),
        ];
        pairs
            .into_iter()
            .for_each(|(own, other)| *own = own.saturating_add(other));
    }
}

/// All that is counted in some time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// By backend and class.
    pub cells: BTreeMap<Cell, Tally>,
    /// By class.
    pub asked: BTreeMap<Class, Asked>,
}

impl Counts {
    /// Adds what another has counted: in any order, and grouped in any way, it comes to the same.
    pub fn merge(&mut self, other: &Counts) {
        for (cell, tally) in &other.cells {
            self.cells.entry(*cell).or_default().merge(tally);
        }
        for (class, asked) in &other.asked {
            self.asked.entry(*class).or_default().merge(asked);
        }
    }

    /// So many times as much of everything, to the nearest whole count.
    pub(crate) fn scaled(&self, by: f64) -> Counts {
        let of = |count: u32| (f64::from(count) * by).round().min(f64::from(u32::MAX)) as u32;
        let tally = |tally: &Tally| {
            let mut times = Sketch::default();
            tally
                .times
                .buckets()
                .iter()
                .for_each(|(bucket, count)| times.put(*bucket, of(*count)));
            Tally {
                sent: of(tally.sent),
                in_time: of(tally.in_time),
                late: of(tally.late),
                refused: of(tally.refused),
                failed: of(tally.failed),
                work_ms: of(tally.work_ms),
                probes: of(tally.probes),
                times,
            }
        };
        let asked = |asked: &Asked| Asked {
            first: of(asked.first),
            again: of(asked.again),
            shed: of(asked.shed),
        };
        Counts {
            cells: self
                .cells
                .iter()
                .map(|(cell, own)| (*cell, tally(own)))
                .collect(),
            asked: self
                .asked
                .iter()
                .map(|(class, own)| (*class, asked(own)))
                .collect(),
        }
    }

    /// Calls that clients asked, repeats among them.
    pub fn calls(&self) -> u64 {
        self.asked
            .values()
            .map(|asked| u64::from(asked.first) + u64::from(asked.again))
            .sum()
    }

    /// Of each count the middle one of several nodes' words; of two the lower. Times are those of the middle one by its calls.
    pub(crate) fn middle(all: &[&Counts]) -> Counts {
        if let [one] = all {
            return (*one).clone();
        }
        let middle = |mut counts: Vec<u32>| {
            counts.sort_unstable();
            counts[(counts.len() - 1) / 2]
        };
        let mut by_calls: Vec<&&Counts> = all.iter().collect();
        by_calls.sort_by_key(|counts| counts.calls());
        let times = by_calls.get(by_calls.len().saturating_sub(1) / 2);
        let none = Tally::default();
        let cells: std::collections::BTreeSet<Cell> = all
            .iter()
            .flat_map(|counts| counts.cells.keys().copied())
            .collect();
        let cell = |cell: Cell| {
            let tallies: Vec<&Tally> = all
                .iter()
                .map(|counts| counts.cells.get(&cell).unwrap_or(&none))
                .collect();
            let of = |field: fn(&Tally) -> u32| {
                middle(tallies.iter().map(|tally| field(tally)).collect())
            };
            let tally = Tally {
                sent: of(|t| t.sent),
                in_time: of(|t| t.in_time),
                late: of(|t| t.late),
                refused: of(|t| t.refused),
                failed: of(|t| t.failed),
                work_ms: of(|t| t.work_ms),
                probes: of(|t| t.probes),
                times: times
                    .and_then(|counts| counts.cells.get(&cell))
                    .map(|t| t.times.clone())
                    .unwrap_or_default(),
            };
            (cell, tally)
        };
        let classes: std::collections::BTreeSet<Class> = all
            .iter()
            .flat_map(|counts| counts.asked.keys().copied())
            .collect();
        let class = |class: Class| {
            let asked: Vec<Asked> = all
                .iter()
                .map(|counts| counts.asked.get(&class).copied().unwrap_or_default())
                .collect();
            let of = |field: fn(&Asked) -> u32| middle(asked.iter().map(field).collect());
            (
                class,
                Asked {
                    first: of(|a| a.first),
                    again: of(|a| a.again),
                    shed: of(|a| a.shed),
                },
            )
        };
        Counts {
            cells: cells.into_iter().map(cell).collect(),
            asked: classes.into_iter().map(class).collect(),
        }
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty() && self.asked.is_empty()
    }

    /// A call was taken.
    pub fn taken(&mut self, class: Class, again: bool) {
        let asked = self.asked.entry(class).or_default();
        let count = if again {
            &mut asked.again
        } else {
            &mut asked.first
        };
        *count = count.saturating_add(1);
    }

    /// A call was turned away.
    pub fn shed(&mut self, class: Class) {
        let asked = self.asked.entry(class).or_default();
        asked.shed = asked.shed.saturating_add(1);
    }

    /// An attempt has begun, with so much work hinted at.
    pub fn sent(&mut self, cell: Cell, work: Duration) {
        let tally = self.cells.entry(cell).or_default();
        tally.sent = tally.sent.saturating_add(1);
        tally.work_ms = tally
            .work_ms
            .saturating_add(u32::try_from(work.as_millis()).unwrap_or(u32::MAX));
    }

    /// An attempt has ended, after so long if it was served.
    pub fn ended(&mut self, cell: Cell, end: End, took: Option<Duration>) {
        let tally = self.cells.entry(cell).or_default();
        let count = match end {
            End::InTime => &mut tally.in_time,
            End::Late => &mut tally.late,
            End::Refused => &mut tally.refused,
            End::Failed => &mut tally.failed,
        };
        *count = count.saturating_add(1);
        took.into_iter().for_each(|took| tally.times.add(took));
    }

    /// A backend was probed.
    pub fn probed(&mut self, backend: Backend) {
        let tally = self
            .cells
            .entry(Cell {
                backend,
                class: Class(0),
            })
            .or_default();
        tally.probes = tally.probes.saturating_add(1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn counts(calls: u32, good: u32) -> Counts {
        let cell = Cell {
            backend: Backend(1),
            class: Class(1),
        };
        let tally = Tally {
            sent: calls,
            in_time: good,
            ..Tally::default()
        };
        let asked = Asked {
            first: calls,
            ..Asked::default()
        };
        Counts {
            cells: BTreeMap::from([(cell, tally)]),
            asked: BTreeMap::from([(Class(1), asked)]),
        }
    }

    #[test]
    fn of_three_that_speak_for_a_group_one_that_lies_is_outvoted_in_every_count() {
        let (one, other) = (counts(100, 97), counts(104, 100));
        for lie in [
            counts(100_000, 0),
            Counts::default(),
            counts(0, 0),
            counts(102, 0),
        ] {
            let middle = Counts::middle(&[&one, &lie, &other]);
            let asked = middle.asked[&Class(1)].first;
            let tally = &middle.cells[&Cell {
                backend: Backend(1),
                class: Class(1),
            }];
            assert!((100..=104).contains(&asked), "{asked}");
            assert!((97..=100).contains(&tally.in_time), "{tally:?}");
        }
    }
}
