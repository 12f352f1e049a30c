//! A simulated cluster: nodes with clocks, disks and network links of their own, in one true time.
#![allow(dead_code, unreachable_pub)] // each test file uses its part

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use sillward_consensus::messages::{Envelope, LeaseRequest, LeaseResponse, Proposal};
use sillward_consensus::node::{self, Node};
use sillward_consensus::voter::{self, Voter, VoterStatus};
use sillward_consensus::voter_state::{LogLength, VoterState};
use sillward_consensus::{Timing, voter::Event};
use sillward_fleet_settings::{EffectiveValue, FleetSettings, Key, Value, Version};
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

    // ---- Links ---------------------------------------------------------------------------------

    fn put(&mut self, at: Duration, from: usize, to: usize, message: InFlight) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.in_flight.insert(self.sequence, (from, to, message));
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        let cut = self.cut.contains(&from) || self.cut.contains(&to);
        from == to || !cut && self.partition.contains(&from) == self.partition.contains(&to)
    }

    fn send(&mut self, from: usize, to: usize, message: InFlight) {
        let late = [from, to]
            .iter()
            .filter_map(|place| self.delays.get(place))
            .max()
            .copied()
            .unwrap_or_default();
        let late = if from == to { Duration::ZERO } else { late };
        let mut at = self.now + Duration::from_micros(200 + self.draw(4_000)) + late;
        let datagram = matches!(
            message,
            InFlight::LeaseRequest(_) | InFlight::LeaseResponse(_) | InFlight::Fetch(_)
        );
        let kind = match message {
            InFlight::LeaseRequest(_) => 0,
            InFlight::LeaseResponse(_) => 1,
            InFlight::VoterMessage(_) => 2,
            _ => 3,
        };
        self.messages[kind] += 1;
        if !self.is_connected(from, to) || datagram && (self.draw(100) as u32) < self.lost_percent {
            return;
        }
        if datagram && self.lost_percent > 0 && self.draw(10) == 0 {
            let again = at + ms(self.draw(2_000));
            self.put(again, from, to, message.clone());
        }
        if !datagram {
            let last = self.last.entry((from, to)).or_default();
            at = at.max(*last);
            *last = at;
        }
        self.put(at, from, to, message);
    }

    fn deliver(&mut self, from: usize, to: usize, message: InFlight) {
        if self.places[to].paused {
            if self.places[to].backlog.len() < 500 {
                self.places[to].backlog.push((from, message));
            }
            return;
        }
        let name = self.places[from].name.clone();
        match message {
            InFlight::LeaseRequest(ask) => self.voter(to, Event::LeaseRequest(name, ask)),
            InFlight::LeaseResponse(answer) => {
                self.node(to, node::Event::LeaseResponse(from, answer))
            }
            InFlight::VoterMessage(sealed) => self.voter(to, Event::VoterMessage(from + 1, sealed)),
            InFlight::Propose(proposal) => self.voter(to, Event::Propose(proposal)),
            InFlight::Versions(versions) => self.node(to, node::Event::Versions(versions)),
            InFlight::Fetch(after) => {
                let versions = self.places[to]
                    .node
                    .as_ref()
                    .map(|node| node.history().versions_after(after, 32 << 10));
                if let Some(versions) = versions.filter(|versions| !versions.is_empty()) {
                    self.send(to, from, InFlight::Versions(versions));
                }
            }
            InFlight::Written(run, number, bytes, done) => {
                if self.places[to].run == run && self.places[to].voter.is_some() {
                    if done {
                        self.places[to].folder = Some(bytes);
                    }
                    self.voter(to, Event::Persisted(number, done));
                }
            }
        }
        self.reschedule(to);
    }

    fn voter(&mut self, at: usize, event: Event) {
        let now = self.local(at);
        let Some(voter) = &mut self.places[at].voter else {
            return;
        };
        for action in voter.handle(now, event) {
            match action {
                voter::Action::SendToVoter(to, sealed) => {
                    self.send(at, to - 1, InFlight::VoterMessage(sealed))
                }
                voter::Action::SendLeaseResponse(to, answer) => {
                    let to = to.as_str()[1..].parse().expect("a place");
                    self.send(at, to, InFlight::LeaseResponse(answer));
                }
                voter::Action::Persist(number, bytes) => {
                    let (takes, done) = match self.places[at].disk {
                        Disk::Good => (ms(1 + self.draw(12)), true),
                        Disk::Full => (ms(1), false),
                        Disk::Slow(by) => (by, true),
                    };
                    let run = self.places[at].run;
                    self.put(
                        self.now + takes,
                        at,
                        at,
                        InFlight::Written(run, number, bytes, done),
                    );
                }
                voter::Action::Committed(versions) => {
                    versions
                        .iter()
                        .for_each(|version| self.record_committed(at, version));
                    self.node(at, node::Event::Versions(versions));
                }
                voter::Action::StatusChanged(_) => {}
            }
        }
        self.reschedule(at);
    }

    fn node(&mut self, at: usize, event: node::Event) {
        let now = self.local(at);
        if let node::Event::Versions(versions) = &event {
            versions
                .iter()
                .for_each(|version| self.record_committed(at, version));
        }
        let Some(node) = &mut self.places[at].node else {
            return;
        };
        for action in node.handle(now, event) {
            match action {
                node::Action::RequestLease(ask) => {
                    (0..self.voters).for_each(|voter| {
                        self.send(at, voter, InFlight::LeaseRequest(ask.clone()))
                    });
                }
                node::Action::Fetch { after, from_voter } => {
                    let among = if from_voter {
                        self.voters
                    } else {
                        self.places.len()
                    };
                    let to = self.draw(among as u64) as usize;
                    self.send(at, to, InFlight::Fetch(after));
                }
                node::Action::StatusChanged => {}
            }
        }
        self.reschedule(at);
    }

    /// A version that a process takes to be committed.
    fn record_committed(&mut self, at: usize, version: &Version) {
        let first = *self.committed.entry(version.number).or_insert(version.id);
        if first != version.id {
            self.log_violation = Some(format!(
                "n{at} has {} as version {}, another had {first}",
                version.id, version.number
            ));
        }
    }

    // ---- Time ---------------------------------------------------------------------------------

    /// Looks when a place is due, and what it acts on from now on.
    fn reschedule(&mut self, at: usize) {
        let local = self.local(at);
        let place = &self.places[at];
        if place.paused || place.node.is_none() {
            self.places[at].due = Duration::MAX;
            return;
        }
        let node = place.node.as_ref().map(|node| node.next_wakeup(local));
        let voter = place.voter.as_ref().map(|voter| voter.next_wakeup(local));
        let due = node.into_iter().chain(voter).min().expect("a node");
        self.places[at].due = self.true_time(at, due);
        let reading = self.effective_value(at, &self.key.clone());
        let acts = (!reading.conservative).then_some(reading.value);
        if self.places[at].acts.as_ref().map(|(_, value)| value) != acts.as_ref() {
            self.close(at);
            self.places[at].acts = acts.map(|value| (self.now, value));
        }
    }

    fn close(&mut self, at: usize) {
        let now = self.now;
        let place = &mut self.places[at];
        if let Some((from, value)) = place.acts.take() {
            place.leased_time += now - from;
            place.acted.push((from, now, value));
        }
    }

    pub fn run(&mut self, span: Duration) {
        self.until(span, |_| false);
    }

    /// Runs until that holds, at most so long; how long it took.
    pub fn until(&mut self, most: Duration, holds: impl Fn(&Cluster) -> bool) -> Option<Duration> {
        let (begun, end) = (self.now, self.now + most);
        let mut looked = begun;
        loop {
            // Looked at every millisecond at most: readings are as of then.
            if self.now >= looked {
                if holds(self) {
                    return Some(self.now - begun);
                }
                looked = self.now + ms(1);
            }
            let message = self
                .queue
                .peek()
                .map_or(Duration::MAX, |Reverse((at, _))| *at);
            let (place, due) = self
                .places
                .iter()
                .map(|place| place.due)
                .enumerate()
                .min_by_key(|(_, due)| *due)
                .expect("places");
            let next = message.min(due).min(self.resend_at);
            if next > end {
                self.now = end;
                return holds(self).then_some(self.now - begun);
            }
            self.now = self.now.max(next);
            if next == self.resend_at {
                self.resend_at = self.now + ms(500);
                self.resend();
            } else if next == message {
                let Some(Reverse((_, sequence))) = self.queue.pop() else {
                    continue;
                };
                if let Some((from, to, message)) = self.in_flight.remove(&sequence) {
                    // A message is lost if its link is cut before it arrives.
                    if self.is_connected(from, to) || matches!(message, InFlight::Written(..)) {
                        self.deliver(from, to, message);
                    }
                }
            } else {
                self.node(place, node::Event::Tick);
                self.voter(place, Event::Tick);
            }
        }
    }

    // ---- Changes ------------------------------------------------------------------------------

    pub fn propose(&mut self, place: usize, base: u64, settings: FleetSettings) -> u64 {
        self.sequence += 1;
        let id = self.sequence;
        let version = Version {
            number: 0,
            id,
            author: "test".to_owned(),
            reason: "a test".to_owned(),
            settings: settings.to_json(),
        };
        self.pending.push((place, Proposal { base, version }));
        self.hand_in(self.pending.len() - 1);
        id
    }

    /// Another process sends the proposal too, as the first may have crashed.
    pub fn propose_again(&mut self, place: usize, id: u64) {
        if let Some(at) = self
            .pending
            .iter()
            .position(|(_, proposal)| proposal.version.id == id)
        {
            self.pending[at].0 = place;
            self.hand_in(at);
        }
    }

    fn hand_in(&mut self, at: usize) {
        let (place, proposal) = self.pending[at].clone();
        if self.places[place].node.is_none() || self.places[place].paused {
            return;
        }
        let to = if place < self.voters {
            place
        } else {
            self.draw(self.voters as u64) as usize
        };
        self.send(place, to, InFlight::Propose(proposal));
    }

    fn resend(&mut self) {
        let known = |cluster: &Cluster, at: usize| {
            let (place, proposal) = &cluster.pending[at];
            let newest = cluster.places[*place]
                .node
                .as_ref()
                .map_or(0, |node| node.history().newest());
            newest > proposal.base // it became a version, or never will
        };
        let mut at = 0;
        while at < self.pending.len() {
            if known(self, at) {
                self.pending.remove(at);
            } else {
                self.hand_in(at);
                at += 1;
            }
        }
    }

    pub fn version_of(&self, id: u64) -> Option<u64> {
        self.committed
            .iter()
            .find(|(_, known)| **known == id)
            .map(|(number, _)| *number)
    }

    // ---- Observations ------------------------------------------------------------------------

    pub fn effective_value(&self, place: usize, key: &Key) -> EffectiveValue {
        let node = self.places[place].node.as_ref().expect("it runs");
        node.history()
            .effective_value(node.status(self.local(place)), key)
    }

    pub fn newest(&self, place: usize) -> u64 {
        self.places[place]
            .node
            .as_ref()
            .map_or(0, |node| node.history().newest())
    }

    pub fn in_force(&self, version: u64) -> bool {
        self.in_force_except(version, &[])
    }

    pub fn in_force_except(&self, version: u64, except: &[usize]) -> bool {
        let acts = |place: usize| {
            let reading = self.effective_value(place, &self.key);
            !reading.conservative && reading.version == version
        };
        (0..self.places.len())
            .filter(|place| !except.contains(place))
            .all(|place| self.places[place].node.is_some() && acts(place))
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |place: &Process| place.voter.as_ref().is_some_and(|voter| voter.is_leader());
        self.places.iter().position(leads)
    }

    pub fn status(&self, place: usize) -> Option<&VoterStatus> {
        self.places[place].voter.as_ref().map(Voter::status)
    }

    pub fn is_voting(&self, place: usize) -> bool {
        self.status(place) == Some(&VoterStatus::Voting)
    }

    pub fn is_disabled(&self, place: usize) -> bool {
        matches!(self.status(place), Some(VoterStatus::Disabled(_)))
    }

    pub fn log_length(&self, place: usize) -> LogLength {
        self.places[place]
            .voter
            .as_ref()
            .map_or(LogLength::default(), Voter::log_length)
    }

    pub fn leased_share(&self) -> f64 {
        let leased_time: Duration = self
            .places
            .iter()
            .map(|place| {
                place.leased_time
                    + place
                        .acts
                        .as_ref()
                        .map_or(Duration::ZERO, |(from, _)| self.now - *from)
            })
            .sum();
        leased_time.as_secs_f64() / (self.now.as_secs_f64() * self.places.len() as f64)
    }

    /// The longest time for which two places acted on values that differ, neither of them conservatively.
    pub fn longest_conflict(&mut self) -> Duration {
        let all = 0..self.places.len();
        for at in all.clone() {
            self.close(at);
            if self.places[at].node.is_some() && !self.places[at].paused {
                self.reschedule(at);
            }
        }
        let mut longest = Duration::ZERO;
        for one in all.clone() {
            for other in one + 1..self.places.len() {
                for (from, to, value) in &self.places[one].acted {
                    for (since, until, second) in &self.places[other].acted {
                        if value != second {
                            let (begins, ends) = (*from.max(since), *to.min(until));
                            longest = longest.max(ends.saturating_sub(begins));
                        }
                    }
                }
            }
        }
        longest
    }

    pub fn log_check(&self) -> Result<(), String> {
        if let Some(log_violation) = &self.log_violation {
            return Err(log_violation.clone());
        }
        // Some voter still has every version that was committed.
        let newest = self.committed.keys().last().copied().unwrap_or_default();
        let most = (0..self.voters)
            .filter(|place| self.is_voting(*place))
            .map(|place| {
                self.places[place]
                    .voter
                    .as_ref()
                    .map_or(0, |voter| voter.history().newest())
            });
        match most.max() {
            Some(most) if most < newest => {
                Err(format!("version {newest} was committed, and is lost"))
            }
            _ => Ok(()),
        }
    }

    pub fn check_log(&self) {
        assert_eq!(self.log_check(), Ok(()));
    }

    pub fn check(&mut self) {
        assert_eq!(self.longest_conflict(), Duration::ZERO);
        self.check_log();
    }

    /// Random faults and proposals, and a time without faults at the end.
    pub fn random_faults(&mut self, span: Duration, settings: impl Fn(u64) -> FleetSettings) {
        self.run(ms(2_500));
        let nodes = self.places.len();
        let mut ends: Vec<(Duration, Fault)> = Vec::new();
        let mut number = 0;
        while self.now < span {
            let pause = ms(100 + self.draw(700));
            self.run(pause);
            let now = self.now;
            let (over, rest): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(at, _)| *at <= now);
            ends = rest;
            over.into_iter().for_each(|(_, fault)| self.fault(fault));
            let place = self.draw(nodes as u64) as usize;
            let later = now + ms(200 + self.draw(4_000));
            match self.draw(9) {
                0 => {
                    self.fault(Fault::Isolate(place));
                    ends.push((later, Fault::Heal));
                }
                1 => {
                    let some = (0..nodes)
                        .filter(|_| self.random.next_u32() % 2 == 0)
                        .collect();
                    self.fault(Fault::Partition(some));
                    ends.push((later, Fault::Heal));
                }
                2 => {
                    let late = ms(100 + self.draw(4_000));
                    self.fault(Fault::Delay(place, late));
                    ends.push((later, Fault::Heal));
                }
                3 => {
                    self.fault(Fault::Pause(place));
                    ends.push((later, Fault::Resume(place)));
                }
                4 => {
                    self.fault(Fault::Kill(place));
                    ends.push((later, Fault::Start(place)));
                }
                5 => {
                    // Voters that are started anew almost at once, while somebody is cut off.
                    self.fault(Fault::Isolate(self.voters + place % (nodes - self.voters)));
                    for voter in 0..self.voters {
                        if self.draw(4) > 0 {
                            self.fault(Fault::Kill(voter));
                            ends.push((now + ms(20 + self.draw(100)), Fault::Start(voter)));
                        }
                    }
                    ends.push((later, Fault::Heal));
                }
                6 => self.lost_percent = self.draw(40) as u32,
                7 => {
                    let voter = place % self.voters;
                    let disk = if self.draw(2) == 0 {
                        Disk::Full
                    } else {
                        Disk::Slow(ms(3_000))
                    };
                    self.fault(Fault::Disk(voter, disk));
                    ends.push((later, Fault::Disk(voter, Disk::Good)));
                }
                _ => {}
            }
            let from = self.draw(nodes as u64) as usize;
            if self.places[from].node.is_some() {
                number += 1;
                let base = self.newest(from);
                self.propose(from, base, settings(number));
            }
        }
        self.fault(Fault::Heal);
        ends.into_iter().for_each(|(_, fault)| self.fault(fault));
        (0..self.voters).for_each(|place| self.fault(Fault::Disk(place, Disk::Good)));
        self.fault(Fault::Heal);
        for place in 0..nodes {
            if self.places[place].paused {
                self.fault(Fault::Resume(place));
            }
            self.fault(Fault::Start(place));
        }
        self.run(ms(10_000));
    }
}
