//! Fleets of [`Membership`] instances with a simulated clock and network: loss, delay, duplicates, one-way partitions,
//! pauses and restarts. Checks compare the actual state of a member with its state in the tables of the others.
#![allow(dead_code, unreachable_pub)]

mod agreement;

use prost::Message;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use sillward_membership::wire::{Frame, SyncMessage};
use sillward_membership::{
    Action, Event, Incarnation, LocalNode, Membership, MembershipSettings, Name, NodeMetadata,
    ReceivedSync,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

pub const MS: Duration = Duration::from_millis(1);
pub const SECOND: Duration = Duration::from_secs(1);

/// A frame or an anti-entropy message in flight to a node.
#[derive(Clone)]
pub enum Packet {
    Frame {
        name: Name,
        from: SocketAddr,
        incarnation: Incarnation,
        to: u32,
        frame: Frame,
    },
    Sync {
        name: Name,
        incarnation: Incarnation,
        to_incarnation: Incarnation,
        message: SyncMessage,
    },
}

/// A simulated node.
pub struct Node {
    /// `None` while the process is down.
    pub membership: Option<Membership>,
    pub name: Name,
    pub address: SocketAddr,
    /// The epoch in the node's state directory.
    pub stored_epoch: u32,
    pub paused: bool,
    received_while_paused: Vec<Packet>,
    /// The number of times that the process was started.
    process_starts: u64,
    /// The number of frames sent.
    pub sent: usize,
}

/// A simulated fleet.
pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Node>,
    /// Receivers and packets, by time of arrival and then by order of sending.
    pub in_flight: BTreeMap<(Duration, u64), (usize, Packet)>,
    packets_sent: u64,
    random: Pcg32,
    pub settings: MembershipSettings,
    seeds: Vec<SocketAddr>,
    /// The share of frames lost, in percent.
    pub loss_percent: u32,
    /// The share of frames delivered twice, in percent.
    pub duplicate_percent: u32,
    /// The shortest and the longest delay of a packet, in milliseconds.
    pub delay_ms: (u32, u32),
    /// Pairs of a sender and a receiver between which all packets are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// A slow node, and the additional delay of all packets to it in milliseconds.
    pub slow_node: Option<(usize, u32)>,
    /// For each name, the incarnations that its processes began and the process start of each.
    pub process_runs: BTreeMap<Name, BTreeMap<Incarnation, u64>>,
    /// Pairs of a node and a running member that is dead in the node's table, and since when.
    false_deaths: BTreeMap<(usize, usize), Duration>,
    pub longest_false_death: Duration,
    pub false_death_count: usize,
    /// The hash of all actions and deadlines so far.
    trace_hash: Xxh3,
}

pub fn name(i: usize) -> Name {
    Name::new(&format!("n{i}")).expect("a valid name")
}

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 9, (i / 200) as u8, (i % 200) as u8 + 1], 7000))
}

impl Fleet {
    pub fn new(count: usize, seed: u64) -> Self {
        let node = |i| Node {
            membership: None,
            name: name(i),
            address: address(i),
            stored_epoch: 0,
            paused: false,
            received_while_paused: Vec::new(),
            process_starts: 0,
            sent: 0,
        };
        let mut fleet = Fleet {
            now: SECOND,
            nodes: (0..count).map(node).collect(),
            in_flight: BTreeMap::new(),
            packets_sent: 0,
            random: Pcg32::seed_from_u64(seed),
            settings: MembershipSettings::default(),
            seeds: vec![address(0), address(1)],
            loss_percent: 0,
            duplicate_percent: 0,
            delay_ms: (1, 3),
            blocked_links: BTreeSet::new(),
            slow_node: None,
            process_runs: BTreeMap::new(),
            false_deaths: BTreeMap::new(),
            longest_false_death: Duration::ZERO,
            false_death_count: 0,
            trace_hash: Xxh3::new(),
        };
        (0..count).for_each(|i| fleet.start(i));
        fleet
    }

    pub fn start(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.process_starts += 1;
        node.received_while_paused.clear();
        let metadata = NodeMetadata {
            zone: format!("z{}", i % 3),
            ..NodeMetadata::default()
        };
        let local = LocalNode {
            name: node.name.clone(),
            address: node.address,
            metadata,
            seeds: self.seeds.clone(),
        };
        let seed = u64::from(self.random.next_u32()) << 32 | u64::from(self.random.next_u32());
        self.nodes[i].membership = Some(Membership::new(
            self.settings.clone(),
            local,
            self.nodes[i].stored_epoch,
            seed,
            self.now,
        ));
        self.tick(i);
    }

    /// The membership of a running node.
    pub fn membership(&self, i: usize) -> &Membership {
        self.nodes[i].membership.as_ref().expect("the node runs")
    }

    /// The membership of a running node, for changes.
    pub fn membership_mut(&mut self, i: usize) -> &mut Membership {
        self.nodes[i].membership.as_mut().expect("the node runs")
    }

    /// The digest of all actions in order, and of all deadlines.
    pub fn trace_digest(&self) -> u64 {
        self.trace_hash.digest()
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].membership = None;
        self.false_deaths.retain(|(_, of), _| *of != i);
        self.false_deaths.retain(|(by, _), _| *by != i);
    }

    fn tick(&mut self, i: usize) {
        let now = self.now;
        let actions = self.nodes[i]
            .membership
            .as_mut()
            .map(|membership| membership.handle(now, Event::Tick));
        self.execute_actions(i, actions.unwrap_or_default());
    }

    pub fn draw(&mut self, bound: u32) -> u32 {
        self.random.next_u32() % bound.max(1)
    }

    /// Adds an action to the trace hash. Only the digits of log lines are hashed, so that their wording may change.
    fn trace_action(&mut self, i: usize, action: &Action) {
        let (header, content) = match action {
            Action::Send { to, to_salt, frame } => {
                (format!("send {to} {to_salt}"), frame.encode_to_vec())
            }
            Action::Sync {
                to,
                address,
                message,
            } => (format!("sync {to} {address}"), message.encode_to_vec()),
            Action::StoreIncarnation(incarnation) => (format!("store {incarnation}"), Vec::new()),
            Action::Log(line) => {
                let digits = line.bytes().filter(u8::is_ascii_digit).collect();
                ("log".to_owned(), digits)
            }
        };
        let deadline = self.membership(i).next_deadline();
        let entry = format!("{i} {:?} {deadline:?} {header} ", self.now);
        self.trace_hash.update(entry.as_bytes());
        self.trace_hash.update(&content);
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, packet: Packet, reliable: bool) {
        let Some(to) = self.nodes.iter().position(|node| node.address == to) else {
            return;
        };
        if self.blocked_links.contains(&(from, to))
            || (!reliable && self.draw(100) < self.loss_percent)
        {
            return;
        }
        let copies = if !reliable && self.draw(100) < self.duplicate_percent {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let extra_delay = self
                .slow_node
                .filter(|(node, _)| *node == to)
                .map_or(0, |(_, delay)| delay);
            let delay =
                extra_delay + self.delay_ms.0 + self.draw(self.delay_ms.1 - self.delay_ms.0 + 1);
            self.packets_sent += 1;
            self.in_flight.insert(
                (self.now + MS * delay, self.packets_sent),
                (to, packet.clone()),
            );
        }
    }

    pub fn execute_actions(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            self.trace_action(i, &action);
            let name = self.nodes[i].name.clone();
            let incarnation = self.membership(i).incarnation();
            match action {
                Action::Send { to, to_salt, frame } => {
                    self.nodes[i].sent += 1;
                    let bytes = frame.encoded_len();
                    let fits = frame.updates.len() <= 1 || bytes <= self.settings.max_frame_bytes;
                    assert!(fits, "a frame has {bytes} bytes, more than the limit");
                    let packet = Packet::Frame {
                        name,
                        from: self.nodes[i].address,
                        incarnation,
                        to: to_salt,
                        frame,
                    };
                    self.transmit(i, to, packet, false);
                }
                Action::Sync {
                    to,
                    address,
                    message,
                } => {
                    let to_incarnation = self.nodes.iter().find(|node| node.name == to);
                    let to_incarnation = to_incarnation
                        .and_then(|node| node.membership.as_ref())
                        .map(Membership::incarnation);
                    if let Some(to_incarnation) = to_incarnation {
                        self.transmit(
                            i,
                            address,
                            Packet::Sync {
                                name,
                                incarnation,
                                to_incarnation,
                                message,
                            },
                            true,
                        );
                    }
                }
                Action::StoreIncarnation(incarnation) => {
                    self.nodes[i].stored_epoch = incarnation.epoch;
                    let run = self.nodes[i].process_starts;
                    let previous = self
                        .process_runs
                        .entry(name.clone())
                        .or_default()
                        .insert(incarnation, run);
                    assert!(
                        previous.is_none(),
                        "{name} began incarnation {incarnation} twice"
                    );
                }
                Action::Log(_) => {}
            }
        }
    }

    pub fn deliver(&mut self, to: usize, packet: Packet) {
        if self.nodes[to].paused {
            self.nodes[to].received_while_paused.push(packet);
            return;
        }
        let now = self.now;
        let Some(membership) = self.nodes[to].membership.as_mut() else {
            return;
        };
        let event = match packet {
            Packet::Frame {
                name,
                from,
                incarnation,
                to,
                frame,
            } => Event::Frame {
                sender: name,
                address: from,
                incarnation,
                to_salt: to,
                frame,
            },
            Packet::Sync {
                name,
                incarnation,
                to_incarnation,
                message,
            } if to_incarnation == membership.incarnation() => Event::Sync(ReceivedSync {
                sender: name,
                incarnation,
                message,
            }),
            Packet::Sync { .. } => return,
        };
        let actions = membership.handle(now, event);
        self.execute_actions(to, actions);
    }

    pub fn resume(&mut self, i: usize) {
        self.nodes[i].paused = false;
        for packet in std::mem::take(&mut self.nodes[i].received_while_paused) {
            self.deliver(i, packet);
        }
        self.tick(i);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut next_death_check = self.now;
        loop {
            let running = self
                .nodes
                .iter()
                .enumerate()
                .filter(|(_, node)| !node.paused);
            let ticks = running
                .filter_map(|(i, node)| Some((node.membership.as_ref()?.next_deadline(), i)));
            let tick = ticks.min();
            let arrival = self.in_flight.keys().next().map(|(at, _)| *at);
            let next = tick
                .map(|(at, _)| at)
                .into_iter()
                .chain(arrival)
                .min()
                .unwrap_or(end);
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            if self.now >= next_death_check {
                self.record_false_deaths();
                next_death_check = self.now + MS * 50;
            }
            if arrival == Some(next) {
                let ((_, _), (to, packet)) =
                    self.in_flight.pop_first().expect("a packet is in flight");
                self.deliver(to, packet);
            } else if let Some((_, i)) = tick {
                self.tick(i);
            }
        }
    }
}
