//! Places with clocks, disks and ways of their own, in one true time.
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
    /// One place's ways are cut.
    Isolate(usize),
    /// These are cut off from the others.
    Halves(Vec<usize>),
    /// All ways are whole, and in time.
    Heal,
    /// What goes to and from a place is late.
    Late(usize, Duration),
    Pause(usize),
    GoOn(usize),
    Kill(usize),
    Start(usize),
    Disk(usize, Disk),
    Folder(usize, Option<Vec<u8>>),
}

#[derive(Clone, Debug)]
enum What {
    LeaseRequest(LeaseRequest),
    LeaseResponse(LeaseResponse),
    VoterMessage(Envelope),
    Fetch(u64),
    Versions(Vec<Version>),
    Propose(Proposal),
    Written(u64, u64, Vec<u8>, bool),
}

struct Place {
    name: Name,
    node: Option<Node>,
    voter: Option<Voter>,
    folder: Option<Vec<u8>>,
    disk: Disk,
    rate: f64,
    offset: Duration,
    paused: bool,
    run: u64,
    backlog: Vec<(usize, What)>,
    due: Duration,
    /// Plain readings: from, to, value.
    acted: Vec<(Duration, Duration, Value)>,
    acts: Option<(Duration, Value)>,
    plain: Duration,
    ran: Duration,
}

pub struct World {
    timing: Timing,
    now: Duration,
    voters: usize,
    places: Vec<Place>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    on_way: BTreeMap<u64, (usize, usize, What)>,
    sequence: u64,
    random: Pcg32,
    cut: BTreeSet<usize>,
    halves: BTreeSet<usize>,
    late: BTreeMap<usize, Duration>,
    lost_percent: u32,
    last: BTreeMap<(usize, usize), Duration>,
    pending: Vec<(usize, Proposal)>,
    resend_at: Duration,
    confirmed: BTreeMap<u64, u64>,
    disorder: Option<String>,
    /// Words by kind: askings, answers, between voters, fetches.
    pub words: [u64; 4],
    key: Key,
}

impl World {
    pub fn new(seed: u64, voters: usize, nodes: usize, timing: Timing) -> Self {
        let place = |at: usize| Place {
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
            plain: Duration::ZERO,
            ran: Duration::ZERO,
        };
        let mut world = World {
            timing,
            now: Duration::ZERO,
            voters,
            places: (0..nodes).map(place).collect(),
            queue: BinaryHeap::new(),
            on_way: BTreeMap::new(),
            sequence: 0,
            random: Pcg32::seed_from_u64(seed),
            cut: BTreeSet::new(),
            halves: BTreeSet::new(),
            late: BTreeMap::new(),
            lost_percent: 0,
            last: BTreeMap::new(),
            pending: Vec::new(),
            resend_at: ms(500),
            confirmed: BTreeMap::new(),
            disorder: None,
            words: [0; 4],
            key: Key::Idempotency("tally-correct".to_owned()),
        };
        (0..nodes).for_each(|place| world.start(place));
        world
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

    fn truly(&self, place: usize, local: Duration) -> Duration {
        let place = &self.places[place];
        local.saturating_sub(place.offset).div_f64(place.rate) + Duration::from_micros(1)
    }

    pub fn rate(&mut self, place: usize, rate: f64) {
        self.places[place].rate = rate;
    }

    pub fn jump(&mut self, place: usize, by: Duration) {
        self.places[place].offset += by;
        self.look(place);
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
        self.look(at);
    }

    pub fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Isolate(place) => drop(self.cut.insert(place)),
            Fault::Halves(some) => self.halves = some.into_iter().collect(),
            Fault::Heal => {
                self.cut.clear();
                self.halves.clear();
                self.late.clear();
                self.lost_percent = 0;
            }
            Fault::Late(place, by) => drop(self.late.insert(place, by)),
            Fault::Pause(place) => {
                self.close(place);
                self.places[place].paused = true;
                self.look(place);
            }
            Fault::GoOn(place) => {
                self.places[place].paused = false;
                let waiting = std::mem::take(&mut self.places[place].backlog);
                self.look(place);
                waiting
                    .into_iter()
                    .for_each(|(from, what)| self.deliver(from, place, what));
            }
            Fault::Kill(place) => {
                self.close(place);
                let at = place;
                let place = &mut self.places[at];
                (place.node, place.voter, place.paused) = (None, None, false);
                place.backlog.clear();
                self.look(at);
            }
            Fault::Start(place) => self.start(place),
            Fault::Disk(place, disk) => self.places[place].disk = disk,
            Fault::Folder(place, folder) => self.places[place].folder = folder,
        }
    }

    pub fn folder(&self, place: usize) -> Option<Vec<u8>> {
        self.places[place].folder.clone()
    }

    // ---- Ways ---------------------------------------------------------------------------------

    fn put(&mut self, at: Duration, from: usize, to: usize, what: What) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.on_way.insert(self.sequence, (from, to, what));
    }

    fn whole(&self, from: usize, to: usize) -> bool {
        let cut = self.cut.contains(&from) || self.cut.contains(&to);
        from == to || !cut && self.halves.contains(&from) == self.halves.contains(&to)
    }

    fn send(&mut self, from: usize, to: usize, what: What) {
        let late = [from, to]
            .iter()
            .filter_map(|place| self.late.get(place))
            .max()
            .copied()
            .unwrap_or_default();
        let late = if from == to { Duration::ZERO } else { late };
        let mut at = self.now + Duration::from_micros(200 + self.draw(4_000)) + late;
        let datagram = matches!(
            what,
            What::LeaseRequest(_) | What::LeaseResponse(_) | What::Fetch(_)
        );
        let kind = match what {
            What::LeaseRequest(_) => 0,
            What::LeaseResponse(_) => 1,
            What::VoterMessage(_) => 2,
            _ => 3,
        };
        self.words[kind] += 1;
        if !self.whole(from, to) || datagram && (self.draw(100) as u32) < self.lost_percent {
            return;
        }
        if datagram && self.lost_percent > 0 && self.draw(10) == 0 {
            let again = at + ms(self.draw(2_000));
            self.put(again, from, to, what.clone());
        }
        if !datagram {
            let last = self.last.entry((from, to)).or_default();
            at = at.max(*last);
            *last = at;
        }
        self.put(at, from, to, what);
    }

    fn deliver(&mut self, from: usize, to: usize, what: What) {
        if self.places[to].paused {
            if self.places[to].backlog.len() < 500 {
                self.places[to].backlog.push((from, what));
            }
            return;
        }
        let name = self.places[from].name.clone();
        match what {
            What::LeaseRequest(ask) => self.voter(to, Event::LeaseRequest(name, ask)),
            What::LeaseResponse(answer) => self.node(to, node::Event::LeaseResponse(from, answer)),
            What::VoterMessage(sealed) => self.voter(to, Event::VoterMessage(from + 1, sealed)),
            What::Propose(proposal) => self.voter(to, Event::Propose(proposal)),
            What::Versions(versions) => self.node(to, node::Event::Versions(versions)),
            What::Fetch(after) => {
                let versions = self.places[to]
                    .node
                    .as_ref()
                    .map(|node| node.history().versions_after(after, 32 << 10));
                if let Some(versions) = versions.filter(|versions| !versions.is_empty()) {
                    self.send(to, from, What::Versions(versions));
                }
            }
            What::Written(run, number, bytes, done) => {
                if self.places[to].run == run && self.places[to].voter.is_some() {
                    if done {
                        self.places[to].folder = Some(bytes);
                    }
                    self.voter(to, Event::Persisted(number, done));
                }
            }
        }
        self.look(to);
    }

    fn voter(&mut self, at: usize, event: Event) {
        let now = self.local(at);
        let Some(voter) = &mut self.places[at].voter else {
            return;
        };
        for action in voter.handle(now, event) {
            match action {
                voter::Action::SendToVoter(to, sealed) => {
                    self.send(at, to - 1, What::VoterMessage(sealed))
                }
                voter::Action::SendLeaseResponse(to, answer) => {
                    let to = to.as_str()[1..].parse().expect("a place");
                    self.send(at, to, What::LeaseResponse(answer));
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
                        What::Written(run, number, bytes, done),
                    );
                }
                voter::Action::Committed(versions) => {
                    versions.iter().for_each(|version| self.note(at, version));
                    self.node(at, node::Event::Versions(versions));
                }
                voter::Action::StatusChanged(_) => {}
            }
        }
        self.look(at);
    }

    fn node(&mut self, at: usize, event: node::Event) {
        let now = self.local(at);
        if let node::Event::Versions(versions) = &event {
            versions.iter().for_each(|version| self.note(at, version));
        }
        let Some(node) = &mut self.places[at].node else {
            return;
        };
        for action in node.handle(now, event) {
            match action {
                node::Action::RequestLease(ask) => {
                    (0..self.voters)
                        .for_each(|voter| self.send(at, voter, What::LeaseRequest(ask.clone())));
                }
                node::Action::Fetch { after, from_voter } => {
                    let among = if from_voter {
                        self.voters
                    } else {
                        self.places.len()
                    };
                    let to = self.draw(among as u64) as usize;
                    self.send(at, to, What::Fetch(after));
                }
                node::Action::StatusChanged => {}
            }
        }
        self.look(at);
    }

    /// A version that somebody holds to be confirmed.
    fn note(&mut self, at: usize, version: &Version) {
        let first = *self.confirmed.entry(version.number).or_insert(version.id);
        if first != version.id {
            self.disorder = Some(format!(
                "n{at} has {} as version {}, another had {first}",
                version.id, version.number
            ));
        }
    }

    // ---- Time ---------------------------------------------------------------------------------

    /// Looks when a place is due, and what it acts on from now on.
    fn look(&mut self, at: usize) {
        let local = self.local(at);
        let place = &self.places[at];
        if place.paused || place.node.is_none() {
            self.places[at].due = Duration::MAX;
            return;
        }
        let node = place.node.as_ref().map(|node| node.next_wakeup(local));
        let voter = place.voter.as_ref().map(|voter| voter.next_wakeup(local));
        let due = node.into_iter().chain(voter).min().expect("a node");
        self.places[at].due = self.truly(at, due);
        let reading = self.reading(at, &self.key.clone());
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
            place.plain += now - from;
            place.acted.push((from, now, value));
        }
    }

    pub fn run(&mut self, span: Duration) {
        self.until(span, |_| false);
    }

    /// Runs until that holds, at most so long; how long it took.
    pub fn until(&mut self, most: Duration, holds: impl Fn(&World) -> bool) -> Option<Duration> {
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
                if let Some((from, to, what)) = self.on_way.remove(&sequence) {
                    // What is cut while it is on its way is lost with it.
                    if self.whole(from, to) || matches!(what, What::Written(..)) {
                        self.deliver(from, to, what);
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

    /// Another sends it too, as whoever proposed it may have died.
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
        self.send(place, to, What::Propose(proposal));
    }

    fn resend(&mut self) {
        let known = |world: &World, at: usize| {
            let (place, proposal) = &world.pending[at];
            let newest = world.places[*place]
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
        self.confirmed
            .iter()
            .find(|(_, known)| **known == id)
            .map(|(number, _)| *number)
    }

    // ---- What is seen -------------------------------------------------------------------------

    pub fn reading(&self, place: usize, key: &Key) -> EffectiveValue {
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
        self.in_force_but(version, &[])
    }

    pub fn in_force_but(&self, version: u64, but: &[usize]) -> bool {
        let acts = |place: usize| {
            let reading = self.reading(place, &self.key);
            !reading.conservative && reading.version == version
        };
        (0..self.places.len())
            .filter(|place| !but.contains(place))
            .all(|place| self.places[place].node.is_some() && acts(place))
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |place: &Place| place.voter.as_ref().is_some_and(|voter| voter.is_leader());
        self.places.iter().position(leads)
    }

    pub fn stands(&self, place: usize) -> Option<&VoterStatus> {
        self.places[place].voter.as_ref().map(Voter::status)
    }

    pub fn votes(&self, place: usize) -> bool {
        self.stands(place) == Some(&VoterStatus::Voting)
    }

    pub fn refuses(&self, place: usize) -> bool {
        matches!(self.stands(place), Some(VoterStatus::Disabled(_)))
    }

    pub fn log_length(&self, place: usize) -> LogLength {
        self.places[place]
            .voter
            .as_ref()
            .map_or(LogLength::default(), Voter::log_length)
    }

    pub fn plain_share(&self) -> f64 {
        let plain: Duration = self
            .places
            .iter()
            .map(|place| {
                place.plain
                    + place
                        .acts
                        .as_ref()
                        .map_or(Duration::ZERO, |(from, _)| self.now - *from)
            })
            .sum();
        plain.as_secs_f64() / (self.now.as_secs_f64() * self.places.len() as f64)
    }

    /// The longest time for which two places acted on values that differ, each by a plain reading.
    pub fn longest_contradiction(&mut self) -> Duration {
        let all = 0..self.places.len();
        for at in all.clone() {
            self.close(at);
            if self.places[at].node.is_some() && !self.places[at].paused {
                self.look(at);
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

    pub fn order(&self) -> Result<(), String> {
        if let Some(disorder) = &self.disorder {
            return Err(disorder.clone());
        }
        // What was confirmed once is there still, wherever somebody votes and has caught up.
        let newest = self.confirmed.keys().last().copied().unwrap_or_default();
        let most = (0..self.voters)
            .filter(|place| self.votes(*place))
            .map(|place| {
                self.places[place]
                    .voter
                    .as_ref()
                    .map_or(0, |voter| voter.history().newest())
            });
        match most.max() {
            Some(most) if most < newest => {
                Err(format!("version {newest} was confirmed, and is lost"))
            }
            _ => Ok(()),
        }
    }

    pub fn check_order(&self) {
        assert_eq!(self.order(), Ok(()));
    }

    pub fn check(&mut self) {
        assert_eq!(self.longest_contradiction(), Duration::ZERO);
        self.check_order();
    }

    /// Faults as drawn, with changes between them; and a time without any at the end.
    pub fn night(&mut self, span: Duration, settings: impl Fn(u64) -> FleetSettings) {
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
                    self.fault(Fault::Halves(some));
                    ends.push((later, Fault::Heal));
                }
                2 => {
                    let late = ms(100 + self.draw(4_000));
                    self.fault(Fault::Late(place, late));
                    ends.push((later, Fault::Heal));
                }
                3 => {
                    self.fault(Fault::Pause(place));
                    ends.push((later, Fault::GoOn(place)));
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
                self.fault(Fault::GoOn(place));
            }
            self.fault(Fault::Start(place));
        }
        self.run(ms(10_000));
    }
}
