//! Messages between processes, and what they do there.

use super::{Cluster, Disk, Event, InFlight, ms};
use sillward_consensus::{node, voter};
use sillward_fleet_settings::Version;
use std::cmp::Reverse;
use std::time::Duration;

impl Cluster {
    pub(super) fn put(&mut self, at: Duration, from: usize, to: usize, message: InFlight) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.in_flight.insert(self.sequence, (from, to, message));
    }

    pub(super) fn is_connected(&self, from: usize, to: usize) -> bool {
        let cut = self.cut.contains(&from) || self.cut.contains(&to);
        from == to || !cut && self.partition.contains(&from) == self.partition.contains(&to)
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: InFlight) {
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

    pub(super) fn deliver(&mut self, from: usize, to: usize, message: InFlight) {
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

    pub(super) fn voter(&mut self, at: usize, event: Event) {
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

    pub(super) fn node(&mut self, at: usize, event: node::Event) {
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
    pub(super) fn record_committed(&mut self, at: usize, version: &Version) {
        let first = *self.committed.entry(version.number).or_insert(version.id);
        if first != version.id {
            self.log_violation = Some(format!(
                "n{at} has {} as version {}, another had {first}",
                version.id, version.number
            ));
        }
    }
}
