//! A simulated fleet with a virtual clock: a network with loss, delay and partitions, a call rate for each node, and a success
//! rate for each backend. Tests compare the estimates of the nodes with the true demand.
#![allow(dead_code, unreachable_pub)] // each test file uses only a part of this module

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
    Name::new(&format!("n{number}")).expect("a valid name")
}

pub fn class() -> ClassId {
    ClassId::of("read")
}

/// The conditions of the simulated network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// The percentage of messages that are lost.
    pub loss_percent: u32,
    /// The maximum random delay of a message.
    pub max_delay: Duration,
}

pub struct Node {
    pub exchange: StatsExchange,
    pub incarnation: Incarnation,
    /// Calls per second.
    pub rate: f64,
    /// The relative amplitude of a sinusoidal change of the rate, and its period in seconds.
    pub swing: (f64, f64),
    /// Above 1, the node multiplies its counts by this factor, and counts every attempt as failed.
    pub inflation: f64,
    pending_calls: f64,
    /// The time until the next call, in units of the mean time between calls.
    next_gap: f64,
}

type Delivery = Reverse<(Duration, u64, usize, usize, Incarnation, Vec<u8>)>;

pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub backends: usize,
    /// The percentage of attempts that each backend serves in time.
    pub in_time_percent: Vec<u32>,
    pub network: Network,
    /// Partitions the nodes below this number from the others.
    pub partition_at: Option<usize>,
    pub config: StatsConfig,
    in_flight: BinaryHeap<Delivery>,
    messages_sent: u64,
    random: Pcg32,
    seed: u64,
    pub bytes: u64,
    pub max_bytes_per_second: f64,
}

impl Fleet {
    pub fn new(count: usize, backends: usize, rate: f64, seed: u64, config: StatsConfig) -> Self {
        let mut fleet = Fleet {
            now: ms(10_000),
            nodes: Vec::new(),
            backends,
            in_time_percent: vec![97; backends],
            network: Network {
                loss_percent: 0,
                max_delay: ms(2),
            },
            partition_at: None,
            config,
            in_flight: BinaryHeap::new(),
            messages_sent: 0,
            random: Pcg32::seed_from_u64(seed),
            seed,
            bytes: 0,
            max_bytes_per_second: 0.0,
        };
        for number in 0..count {
            let node = fleet.new_node(number, 1, rate);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn new_node(&self, number: usize, epoch: u32, rate: f64) -> Node {
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
            pending_calls: 0.0,
            next_gap: 1.0,
        }
    }

    /// Replaces a node by a new incarnation of the same name.
    pub fn restart(&mut self, number: usize) {
        let (epoch, rate) = (
            self.nodes[number].incarnation.epoch + 1,
            self.nodes[number].rate,
        );
        self.nodes[number] = self.new_node(number, epoch, rate);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.next_u32() % 100 < percent
    }

    fn call_rate(&self, number: usize) -> f64 {
        let node = &self.nodes[number];
        let (by, period) = node.swing;
        node.rate * (1.0 + by * (self.now.as_secs_f64() / period * std::f64::consts::TAU).sin())
    }

    /// The current call rate of the whole fleet, per second.
    pub fn true_demand(&self) -> f64 {
        (0..self.nodes.len())
            .map(|number| self.call_rate(number))
            .sum()
    }

    fn generate_calls(&mut self, number: usize) {
        let inflation = self.nodes[number].inflation;
        let mut pending_calls = self.nodes[number].pending_calls
            + self.call_rate(number) * TICK.as_secs_f64() * inflation;
        // Calls form a Poisson process.
        while pending_calls >= self.nodes[number].next_gap {
            pending_calls -= self.nodes[number].next_gap;
            self.nodes[number].next_gap =
                -(1.0 - f64::from(self.random.next_u32()) / 2f64.powi(32)).ln();
            let backend = self.random.next_u32() as usize % self.backends;
            let in_time_percent = self.in_time_percent[backend];
            let end = if inflation > 1.0 || !self.chance(in_time_percent) {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::InTime
            };
            let now = self.now;
            let key = BackendClass {
                backend: BackendId::of(1 + backend as u64),
                class: class(),
            };
            let counts = self.nodes[number].exchange.counts(now);
            counts.record_call(class(), false);
            counts.record_attempt(key, Duration::ZERO);
            counts.record_outcome(
                key,
                end,
                (end == AttemptOutcome::InTime).then(|| ms(20 + backend as u64)),
            );
        }
        self.nodes[number].pending_calls = pending_calls;
    }

    fn send_messages(&mut self, from: usize, actions: Vec<Action>) {
        for Action::Send { to, bytes, .. } in actions {
            self.bytes += bytes.len() as u64 + 64;
            let to = to.as_str()[1..].parse().expect("a node");
            let is_lost = self.chance(self.network.loss_percent);
            let delay = self
                .network
                .max_delay
                .mul_f64(f64::from(self.random.next_u32()) / 2f64.powi(32));
            self.messages_sent += 1;
            let incarnation = self.nodes[from].incarnation;
            if !is_lost {
                self.in_flight.push(Reverse((
                    self.now + delay + ms(1),
                    self.messages_sent,
                    from,
                    to,
                    incarnation,
                    bytes,
                )));
            }
        }
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partition_at
            .is_some_and(|partition_at| (a < partition_at) != (b < partition_at))
    }

    /// Advances the virtual clock. All nodes know the living members at all times; membership is not simulated.
    pub fn advance(&mut self, time: Duration) {
        let (end, before) = (self.now + time, self.bytes);
        while self.now < end {
            self.now += TICK;
            while self
                .in_flight
                .peek()
                .is_some_and(|Reverse((at, ..))| *at <= self.now)
            {
                let Some(Reverse((at, _, from, to, incarnation, bytes))) = self.in_flight.pop()
                else {
                    break;
                };
                if self.is_partitioned(from, to) || self.nodes[from].incarnation != incarnation {
                    continue;
                }
                let actions =
                    self.nodes[to]
                        .exchange
                        .handle_message(at, &name(from), incarnation, &bytes);
                self.send_messages(to, actions);
            }
            let living: Vec<(Name, Incarnation)> = self
                .nodes
                .iter()
                .enumerate()
                .map(|(number, node)| (name(number), node.incarnation))
                .collect();
            for number in 0..self.nodes.len() {
                self.generate_calls(number);
                let node = &mut self.nodes[number];
                if node.exchange.next_wakeup() <= self.now {
                    let others = living
                        .iter()
                        .enumerate()
                        .filter(|(other, _)| *other != number);
                    let others = others.map(|(_, (name, incarnation))| (name, *incarnation));
                    let actions = node.exchange.tick(self.now, node.incarnation, others);
                    self.send_messages(number, actions);
                }
            }
        }
        let each = (self.bytes - before) as f64 / time.as_secs_f64() / self.nodes.len() as f64;
        self.max_bytes_per_second = self.max_bytes_per_second.max(each);
    }

    pub fn estimate(&self, number: usize) -> FleetEstimate {
        self.nodes[number].exchange.estimate(self.now)
    }

    /// A node's estimate of the call rate of the whole fleet per second, and its error bound.
    pub fn estimated_demand(&self, number: usize) -> (f64, f64) {
        let demand = self
            .estimate(number)
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
