//! A simulated cluster: nodes with clocks, disks and network links of their own, in one true time.
#![allow(dead_code, unreachable_pub)] // each test file uses its part

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
    Good,
    Full,
    Slow(Duration),
}

#[derive(Clone, Debug)]
pub enum Fault {
    /// One process is partitioned from all others.
    Isolate(usize),
    /// These are partitioned from the others.
    Partition(Vec<usize>),
    /// All links work, without delay.
    Heal,
    /// Messages to and from a process are delayed.
    Delay(usize, Duration),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Start(usize),
    Disk(usize, Disk),
    Folder(usize, Option<Vec<u8>>),
}

#[derive(Clone, Debug)]
enum InFlight {
    LeaseRequest(LeaseRequest),
    LeaseResponse(LeaseResponse),
    VoterMessage(Envelope),
    Fetch(u64),
    Versions(Vec<Version>),
    Propose(Proposal),
    Written(u64, u64, Vec<u8>, bool),
}

struct Process {
    name: Name,
    node: Option<Node>,
    voter: Option<Voter>,
    folder: Option<Vec<u8>>,
    disk: Disk,
    rate: f64,
    offset: Duration,
    paused: bool,
    run: u64,
    backlog: Vec<(usize, InFlight)>,
    due: Duration,
    /// Values used that are not conservative: from, to, value.
    acted: Vec<(Duration, Duration, Value)>,
    acts: Option<(Duration, Value)>,
    leased_time: Duration,
    ran: Duration,
}

pub struct Cluster {
    timing: Timing,
    now: Duration,
    voters: usize,
    places: Vec<Process>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    in_flight: BTreeMap<u64, (usize, usize, InFlight)>,
    sequence: u64,
    random: Pcg32,
    cut: BTreeSet<usize>,
    partition: BTreeSet<usize>,
    delays: BTreeMap<usize, Duration>,
    lost_percent: u32,
    last: BTreeMap<(usize, usize), Duration>,
    pending: Vec<(usize, Proposal)>,
    resend_at: Duration,
    committed: BTreeMap<u64, u64>,
    log_violation: Option<String>,
    /// Messages by kind: lease requests, responses, between voters, fetches.
    pub messages: [u64; 4],
    key: Key,
}

impl Cluster {
    pub fn new(seed: u64, voters: usize, nodes: usize, timing: Timing) -> Self {
        let place = |at: usize| Process {
            name: Name::new(&format!("n{at}")).expect("a name"),
            node: None,
            voter: None,
            folder: (at < voters)
                .then(|| VoterState::initial(LOG, at as u64 + 1, voters, at as u64 + 500).encode()),
            disk: Disk::Good,
            rate: 1.0,
            offset: Duration::from_secs(5 + at as u64 * 1000),
            paused: false,
            run: 0,
            backlog: Vec::new(),
            due: Duration::ZERO,
            acted: Vec::new(),
            acts: None,
            leased_time: Duration::ZERO,
            ran: Duration::ZERO,
        };
        let mut cluster = Cluster {
            timing,
            now: Duration::ZERO,
            voters,
            places: (0..nodes).map(place).collect(),
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            random: Pcg32::seed_from_u64(seed),
            cut: BTreeSet::new(),
            partition: BTreeSet::new(),
            delays: BTreeMap::new(),
            lost_percent: 0,
            last: BTreeMap::new(),
            pending: Vec::new(),
            resend_at: ms(500),
            committed: BTreeMap::new(),
            log_violation: None,
            messages: [0; 4],
            key: Key::Idempotency("tally-correct".to_owned()),
        };
        (0..nodes).for_each(|place| cluster.start(place));
        cluster
    }

    fn draw(&mut self, below: u64) -> u64 {
        u64::from(self.random.next_u32()) % below.max(1)
    }

    pub fn now(&self) -> Duration {
        self.now
    }

    fn local(&self, place: usize) -> Duration {
        self.places[place].offset + self.now.mul_f64(self.places[place].rate)
    }

    fn true_time(&self, place: usize, local: Duration) -> Duration {
        let place = &self.places[place];
        local.saturating_sub(place.offset).div_f64(place.rate) + Duration::from_micros(1)
    }

    pub fn rate(&mut self, place: usize, rate: f64) {
        self.places[place].rate = rate;
    }

    pub fn jump(&mut self, place: usize, by: Duration) {
        self.places[place].offset += by;
        self.reschedule(place);
    }

    fn start(&mut self, at: usize) {
        if self.places[at].node.is_some() {
            return;
        }
        let now = self.local(at);
        let session = self.draw(u64::MAX).wrapping_add(self.sequence << 32) | 1;
        let (timing, voters) = (self.timing, self.voters);
        let place = &mut self.places[at];
        place.run += 1;
        place.node = Some(Node::new(timing, LOG, voters, session, now));
        let kept = place
            .folder
            .as_ref()
            .map(|bytes| VoterState::decode(bytes, LOG, at as u64 + 1, voters));
        place.voter = kept
            .and_then(Result::ok)
            .map(|kept| Voter::new(timing, kept, session, now));
        let known = place
            .voter
            .as_ref()
            .map(|voter| voter.history().iter().cloned().collect::<Vec<_>>());
        if let Some(known) = known.filter(|known| !known.is_empty()) {
            self.node(at, node::Event::Versions(known));
        }
        self.reschedule(at);
    }

    pub fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Isolate(place) => drop(self.cut.insert(place)),
            Fault::Partition(some) => self.partition = some.into_iter().collect(),
            Fault::Heal => {
                self.cut.clear();
                self.partition.clear();
                self.delays.clear();
                self.lost_percent = 0;
            }
            Fault::Delay(place, by) => drop(self.delays.insert(place, by)),
            Fault::Pause(place) => {
                self.close(place);
                self.places[place].paused = true;
                self.reschedule(place);
            }
            Fault::Resume(place) => {
                self.places[place].paused = false;
                let waiting = std::mem::take(&mut self.places[place].backlog);
                self.reschedule(place);
                waiting
                    .into_iter()
                    .for_each(|(from, message)| self.deliver(from, place, message));
            }
            Fault::Kill(place) => {
                self.close(place);
                let at = place;
                let place = &mut self.places[at];
                (place.node, place.voter, place.paused) = (None, None, false);
                place.backlog.clear();
                self.reschedule(at);
            }
            Fault::Start(place) => self.start(place),
            Fault::Disk(place, disk) => self.places[place].disk = disk,
            Fault::Folder(place, folder) => self.places[place].folder = folder,
        }
    }

    pub fn folder(&self, place: usize) -> Option<Vec<u8>> {
        self.places[place].folder.clone()
    }
}
