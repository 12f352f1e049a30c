//! A simulated fleet on a clock of its own: a network that loses, delays and is partitioned, clients with a rate for each node,
//! and backends with a success rate. The truth is known, and compared with what nodes estimate.
#![allow(dead_code, unreachable_pub)] // each test file uses its own part of this

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use sillward_membership::{Incarnation, Name};
use sillward_outcome_stats::{
    Action, AttemptOutcome, BackendClass, BackendId, ClassId, FleetEstimate, InjectedBug,
    StatsConfig, StatsExchange,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

pub const TICK: Duration = Duration::from_millis(50);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn name(number: usize) -> Name {
    Name::new(&format!("n{number}")).expect("a name")
}

pub fn class() -> ClassId {
    ClassId::of("read")
}

/// What happens between nodes.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Of a hundred messages so many are lost.
    pub lost: u32,
    /// And each takes up to so long.
    pub late: Duration,
}

pub struct Node {
    pub exchange: StatsExchange,
    pub incarnation: Incarnation,
    /// Calls a second that its callers ask, and by how much of that it swings, once in so many seconds.
    pub rate: f64,
    pub swing: (f64, f64),
    /// It tells so many times what it is asked, and each backend as dead.
    pub inflation: f64,
    owed: f64,
    /// Until the next call, in calls of the rate.
    gap: f64,
}

type Due = Reverse<(Duration, u64, usize, usize, Incarnation, Vec<u8>)>;

pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub backends: usize,
    /// Of a hundred attempts at a backend so many are in time.
    pub good: Vec<u32>,
    pub network: Network,
    /// Nodes below this number and the others hear nothing of each other.
    pub cut: Option<usize>,
    pub config: StatsConfig,
    under_way: BinaryHeap<Due>,
    numbers: u64,
    random: Pcg32,
    seed: u64,
    pub bytes: u64,
    pub most_bytes: f64,
}

impl Fleet {
    pub fn new(count: usize, backends: usize, rate: f64, seed: u64, config: StatsConfig) -> Self {
        let mut fleet = Fleet {
            now: ms(10_000),
            nodes: Vec::new(),
            backends,
            good: vec![97; backends],
            network: Network {
                lost: 0,
                late: ms(2),
            },
            cut: None,
            config,
            under_way: BinaryHeap::new(),
            numbers: 0,
            random: Pcg32::seed_from_u64(seed),
            seed,
            bytes: 0,
            most_bytes: 0.0,
        };
        for number in 0..count {
            let node = fleet.fresh(number, 1, rate);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn fresh(&self, number: usize, epoch: u32, rate: f64) -> Node {
        let incarnation = Incarnation {
            epoch,
            salt: 1 + number as u32 + 10_000 * epoch,
        };
        let seed = self.seed ^ (number as u64) << 20 ^ u64::from(epoch);
        let exchange = StatsExchange::new(
            self.config.clone(),
            name(number),
            incarnation,
            seed,
            self.now,
        );
        Node {
            exchange,
            incarnation,
            rate,
            swing: (0.0, 1.0),
            inflation: 1.0,
            owed: 0.0,
            gap: 1.0,
        }
    }

    /// A process dies, and another begins under its name.
    pub fn restart(&mut self, number: usize) {
        let (epoch, rate) = (
            self.nodes[number].incarnation.epoch + 1,
            self.nodes[number].rate,
        );
        self.nodes[number] = self.fresh(number, epoch, rate);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.next_u32() % 100 < percent
    }

    fn at(&self, number: usize) -> f64 {
        let node = &self.nodes[number];
        let (by, period) = node.swing;
        node.rate * (1.0 + by * (self.now.as_secs_f64() / period * std::f64::consts::TAU).sin())
    }

    /// What all callers ask a second, now.
    pub fn truth(&self) -> f64 {
        (0..self.nodes.len()).map(|number| self.at(number)).sum()
    }

    fn calls(&mut self, number: usize) {
        let inflation = self.nodes[number].inflation;
        let mut owed = self.nodes[number].owed + self.at(number) * TICK.as_secs_f64() * inflation;
        // Calls come by chance.
        while owed >= self.nodes[number].gap {
            owed -= self.nodes[number].gap;
            self.nodes[number].gap =
                -(1.0 - f64::from(self.random.next_u32()) / 2f64.powi(32)).ln();
            let backend = self.random.next_u32() as usize % self.backends;
            let good = self.good[backend];
            let end = if inflation > 1.0 || !self.chance(good) {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::InTime
            };
            let now = self.now;
            let cell = BackendClass {
                backend: BackendId::of(1 + backend as u64),
                class: class(),
            };
            let counts = self.nodes[number].exchange.counts(now);
            counts.record_call(class(), false);
            counts.record_attempt(cell, Duration::ZERO);
            counts.record_outcome(
                cell,
                end,
                (end == AttemptOutcome::InTime).then(|| ms(20 + backend as u64)),
            );
        }
        self.nodes[number].owed = owed;
    }

    fn post(&mut self, from: usize, actions: Vec<Action>) {
        for Action::Send { to, bytes, .. } in actions {
            self.bytes += bytes.len() as u64 + 64;
            let to = to.as_str()[1..].parse().expect("a node");
            let lost = self.chance(self.network.lost);
            let late = self
                .network
                .late
                .mul_f64(f64::from(self.random.next_u32()) / 2f64.powi(32));
            self.numbers += 1;
            let incarnation = self.nodes[from].incarnation;
            if !lost {
                self.under_way.push(Reverse((
                    self.now + late + ms(1),
                    self.numbers,
                    from,
                    to,
                    incarnation,
                    bytes,
                )));
            }
        }
    }

    fn apart(&self, a: usize, b: usize) -> bool {
        self.cut.is_some_and(|cut| (a < cut) != (b < cut))
    }

    /// Lets time pass. Who lives is known to all throughout: membership is another part's.
    pub fn pass(&mut self, time: Duration) {
        let (end, before) = (self.now + time, self.bytes);
        while self.now < end {
            self.now += TICK;
            while self
                .under_way
                .peek()
                .is_some_and(|Reverse((at, ..))| *at <= self.now)
            {
                let Some(Reverse((at, _, from, to, incarnation, bytes))) = self.under_way.pop()
                else {
                    break;
                };
                if self.apart(from, to) || self.nodes[from].incarnation != incarnation {
                    continue;
                }
                let actions =
                    self.nodes[to]
                        .exchange
                        .handle_message(at, &name(from), incarnation, &bytes);
                self.post(to, actions);
            }
            let living: Vec<(Name, Incarnation)> = self
                .nodes
                .iter()
                .enumerate()
                .map(|(number, node)| (name(number), node.incarnation))
                .collect();
            for number in 0..self.nodes.len() {
                self.calls(number);
                let node = &mut self.nodes[number];
                if node.exchange.next_wakeup() <= self.now {
                    let others = living
                        .iter()
                        .enumerate()
                        .filter(|(other, _)| *other != number);
                    let others = others.map(|(_, (name, incarnation))| (name, *incarnation));
                    let actions = node.exchange.tick(self.now, node.incarnation, others);
                    self.post(number, actions);
                }
            }
        }
        let each = (self.bytes - before) as f64 / time.as_secs_f64() / self.nodes.len() as f64;
        self.most_bytes = self.most_bytes.max(each);
    }

    pub fn view(&self, number: usize) -> FleetEstimate {
        self.nodes[number].exchange.estimate(self.now)
    }

    /// What a node reads that all callers ask a second, and by how much it may be wrong.
    pub fn read(&self, number: usize) -> (f64, f64) {
        let demand = self
            .view(number)
            .demand
            .get(&class())
            .copied()
            .unwrap_or_default();
        (demand.first + demand.retries, demand.error)
    }
}

pub fn with_bug(bug: InjectedBug) -> StatsConfig {
    StatsConfig {
        injected_bug: Some(bug),
        ..StatsConfig::default()
    }
}
