//! A simulated cluster: nodes with their own clocks, disks and network links, on one virtual time line.
#![allow(dead_code, unreachable_pub)] // each test file uses a part of it

mod links;
mod observations;
mod proposals;
mod random_faults;
mod schedule;

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use sillward_consensus::messages::{Envelope, LeaseRequest, LeaseResponse, Proposal};
use sillward_consensus::node::{self, Node};
use sillward_consensus::voter::Voter;
use sillward_consensus::voter_state::VoterState;
use sillward_consensus::{Timing, voter::Event};
use sillward_fleet_settings::{Key, Value, Version};
use sillward_membership::Name;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const LOG: u64 = 77;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    Healthy,
    Full,
    Slow(Duration),
}

#[derive(Clone, Debug)]
pub enum Fault {
    /// One process is partitioned from all others.
    Isolate(usize),
    /// These processes are partitioned from all others.
    Partition(Vec<usize>),
    /// All links work again, without loss and delay.
    Heal,
    /// Messages to and from a process are delayed.
    Delay(usize, Duration),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Start(usize),
    Disk(usize, Disk),
    ReplaceFolder(usize, Option<Vec<u8>>),
}

#[derive(Clone, Debug)]
enum InFlight {
    LeaseRequest(LeaseRequest),
    LeaseResponse(LeaseResponse),
    VoterMessage(Envelope),
    Fetch(u64),
    Versions(Vec<Version>),
    Propose(Proposal),
    /// The end of a write: the start count of its process, its number, the file's new contents, whether it succeeded.
    WriteDone(u64, u64, Vec<u8>, bool),
}

struct Process {
    name: Name,
    node: Option<Node>,
    voter: Option<Voter>,
    folder: Option<Vec<u8>>,
    disk: Disk,
    clock_rate: f64,
    clock_offset: Duration,
    paused: bool,
    /// How often the process was started; results of writes of an earlier run are ignored.
    start_count: u64,
    /// Messages that were received during a pause, with their senders.
    backlog: Vec<(usize, InFlight)>,
    /// When the process is next woken up, in the cluster's time.
    next_wakeup: Duration,
    /// Past uses of values other than conservative ones: from, to, value.
    used_values: Vec<(Duration, Duration, Value)>,
    /// The value in use and since when, unless it is conservative.
    current_value: Option<(Duration, Value)>,
    leased_time: Duration,
}

pub struct Cluster {
    timing: Timing,
    now: Duration,
    voters: usize,
    processes: Vec<Process>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    in_flight: BTreeMap<u64, (usize, usize, InFlight)>,
    sequence: u64,
    random: Pcg32,
    isolated: BTreeSet<usize>,
    partition: BTreeSet<usize>,
    delays: BTreeMap<usize, Duration>,
    loss_percent: u32,
    last_delivery: BTreeMap<(usize, usize), Duration>,
    pending: Vec<(usize, Proposal)>,
    resend_at: Duration,
    committed: BTreeMap<u64, u64>,
    log_violation: Option<String>,
    /// The numbers of messages: lease requests, lease responses, messages between voters, all others.
    pub messages: [u64; 4],
    key: Key,
}

impl Cluster {
    pub fn new(seed: u64, voters: usize, nodes: usize, timing: Timing) -> Self {
        let process = |index: usize| Process {
            name: Name::new(&format!("n{index}")).expect("a valid name"),
            node: None,
            voter: None,
            folder: (index < voters).then(|| {
                VoterState::initial(LOG, index as u64 + 1, voters, index as u64 + 500).encode()
            }),
            disk: Disk::Healthy,
            clock_rate: 1.0,
            clock_offset: Duration::from_secs(5 + index as u64 * 1000),
            paused: false,
            start_count: 0,
            backlog: Vec::new(),
            next_wakeup: Duration::ZERO,
            used_values: Vec::new(),
            current_value: None,
            leased_time: Duration::ZERO,
        };
        let mut cluster = Cluster {
            timing,
            now: Duration::ZERO,
            voters,
            processes: (0..nodes).map(process).collect(),
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            random: Pcg32::seed_from_u64(seed),
            isolated: BTreeSet::new(),
            partition: BTreeSet::new(),
            delays: BTreeMap::new(),
            loss_percent: 0,
            last_delivery: BTreeMap::new(),
            pending: Vec::new(),
            resend_at: ms(500),
            committed: BTreeMap::new(),
            log_violation: None,
            messages: [0; 4],
            key: Key::Idempotency("tally-correct".to_owned()),
        };
        (0..nodes).for_each(|process| cluster.start(process));
        cluster
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        u64::from(self.random.next_u32()) % bound.max(1)
    }

    pub fn now(&self) -> Duration {
        self.now
    }

    fn local_time(&self, process: usize) -> Duration {
        self.processes[process].clock_offset + self.now.mul_f64(self.processes[process].clock_rate)
    }

    /// The cluster's time at which a process's clock shows this time.
    fn true_time(&self, process: usize, local: Duration) -> Duration {
        let process = &self.processes[process];
        local
            .saturating_sub(process.clock_offset)
            .div_f64(process.clock_rate)
            + Duration::from_micros(1)
    }

    pub fn set_clock_rate(&mut self, process: usize, rate: f64) {
        self.processes[process].clock_rate = rate;
    }

    pub fn advance_clock(&mut self, process: usize, by: Duration) {
        self.processes[process].clock_offset += by;
        self.reschedule(process);
    }

    fn start(&mut self, index: usize) {
        if self.processes[index].node.is_some() {
            return;
        }
        let now = self.local_time(index);
        let session = self
            .random_below(u64::MAX)
            .wrapping_add(self.sequence << 32)
            | 1;
        let (timing, voters) = (self.timing, self.voters);
        let process = &mut self.processes[index];
        process.start_count += 1;
        process.node = Some(Node::new(timing, LOG, voters, session, now));
        let state = process
            .folder
            .as_ref()
            .map(|bytes| VoterState::decode(bytes, LOG, index as u64 + 1, voters));
        process.voter = state
            .and_then(Result::ok)
            .map(|state| Voter::new(timing, state, session, now));
        let known = process
            .voter
            .as_ref()
            .map(|voter| voter.history().iter().cloned().collect::<Vec<_>>());
        if let Some(known) = known.filter(|known| !known.is_empty()) {
            self.handle_as_node(index, node::Event::Versions(known));
        }
        self.reschedule(index);
    }

    pub fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Isolate(process) => drop(self.isolated.insert(process)),
            Fault::Partition(group) => self.partition = group.into_iter().collect(),
            Fault::Heal => {
                self.isolated.clear();
                self.partition.clear();
                self.delays.clear();
                self.loss_percent = 0;
            }
            Fault::Delay(process, by) => drop(self.delays.insert(process, by)),
            Fault::Pause(process) => {
                self.end_value_interval(process);
                self.processes[process].paused = true;
                self.reschedule(process);
            }
            Fault::Resume(process) => {
                self.processes[process].paused = false;
                let waiting = std::mem::take(&mut self.processes[process].backlog);
                self.reschedule(process);
                waiting
                    .into_iter()
                    .for_each(|(from, message)| self.deliver(from, process, message));
            }
            Fault::Kill(index) => {
                self.end_value_interval(index);
                let process = &mut self.processes[index];
                (process.node, process.voter, process.paused) = (None, None, false);
                process.backlog.clear();
                self.reschedule(index);
            }
            Fault::Start(process) => self.start(process),
            Fault::Disk(process, disk) => self.processes[process].disk = disk,
            Fault::ReplaceFolder(process, folder) => self.processes[process].folder = folder,
        }
    }

    pub fn folder(&self, process: usize) -> Option<Vec<u8>> {
        self.processes[process].folder.clone()
    }
}
