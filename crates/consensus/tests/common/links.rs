//! Delivery of messages between processes, and the actions of nodes and voters.

use super::{Cluster, Disk, Event, InFlight, ms};
use sillward_consensus::{node, voter};
use sillward_fleet_settings::Version;
use std::cmp::Reverse;
use std::time::Duration;

impl Cluster {
    pub(super) fn schedule_delivery(
        &mut self,
        at: Duration,
        from: usize,
        to: usize,
        message: InFlight,
    ) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.in_flight.insert(self.sequence, (from, to, message));
    }

    pub(super) fn is_connected(&self, from: usize, to: usize) -> bool {
        let is_isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        from == to || !is_isolated && self.partition.contains(&from) == self.partition.contains(&to)
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: InFlight) {
        let delay = [from, to]
            .iter()
            .filter_map(|process| self.delays.get(process))
            .max()
            .copied()
            .unwrap_or_default();
        let delay = if from == to { Duration::ZERO } else { delay };
        let mut at = self.now + Duration::from_micros(200 + self.random_below(4_000)) + delay;
        let is_datagram = matches!(
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
        if !self.is_connected(from, to)
            || is_datagram && (self.random_below(100) as u32) < self.loss_percent
        {
            return;
        }
        if is_datagram && self.loss_percent > 0 && self.random_below(10) == 0 {
            let duplicate_at = at + ms(self.random_below(2_000));
            self.schedule_delivery(duplicate_at, from, to, message.clone());
        }
        if !is_datagram {
            let last_delivery = self.last_delivery.entry((from, to)).or_default();
            at = at.max(*last_delivery);
            *last_delivery = at;
        }
        self.schedule_delivery(at, from, to, message);
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, message: InFlight) {
        if self.processes[to].paused {
            if self.processes[to].backlog.len() < 500 {
                self.processes[to].backlog.push((from, message));
            }
            return;
        }
        let name = self.processes[from].name.clone();
        match message {
            InFlight::LeaseRequest(request) => {
                self.handle_as_voter(to, Event::LeaseRequest(name, request))
            }
            InFlight::LeaseResponse(response) => {
                self.handle_as_node(to, node::Event::LeaseResponse(from, response))
            }
            InFlight::VoterMessage(envelope) => {
                self.handle_as_voter(to, Event::VoterMessage(from + 1, envelope))
            }
            InFlight::Propose(proposal) => self.handle_as_voter(to, Event::Propose(proposal)),
            InFlight::Versions(versions) => {
                self.handle_as_node(to, node::Event::Versions(versions))
            }
            InFlight::Fetch(after) => {
                let versions = self.processes[to]
                    .node
                    .as_ref()
                    .map(|node| node.history().versions_after(after, 32 << 10));
                if let Some(versions) = versions.filter(|versions| !versions.is_empty()) {
                    self.send(to, from, InFlight::Versions(versions));
                }
            }
            InFlight::WriteDone(start_count, number, bytes, succeeded) => {
                if self.processes[to].start_count == start_count
                    && self.processes[to].voter.is_some()
                {
                    if succeeded {
                        self.processes[to].folder = Some(bytes);
                    }
                    self.handle_as_voter(to, Event::Persisted(number, succeeded));
                }
            }
        }
        self.reschedule(to);
    }

    pub(super) fn handle_as_voter(&mut self, index: usize, event: Event) {
        let now = self.local_time(index);
        let Some(voter) = &mut self.processes[index].voter else {
            return;
        };
        for action in voter.handle(now, event) {
            match action {
                voter::Action::SendToVoter(to, envelope) => {
                    self.send(index, to - 1, InFlight::VoterMessage(envelope))
                }
                voter::Action::SendLeaseResponse(to, response) => {
                    let to = to.as_str()[1..].parse().expect("a process index");
                    self.send(index, to, InFlight::LeaseResponse(response));
                }
                voter::Action::Persist(number, bytes) => {
                    let (duration, succeeded) = match self.processes[index].disk {
                        Disk::Healthy => (ms(1 + self.random_below(12)), true),
                        Disk::Full => (ms(1), false),
                        Disk::Slow(duration) => (duration, true),
                    };
                    let start_count = self.processes[index].start_count;
                    self.schedule_delivery(
                        self.now + duration,
                        index,
                        index,
                        InFlight::WriteDone(start_count, number, bytes, succeeded),
                    );
                }
                voter::Action::Committed(versions) => {
                    versions
                        .iter()
                        .for_each(|version| self.record_committed(index, version));
                    self.handle_as_node(index, node::Event::Versions(versions));
                }
                voter::Action::StatusChanged(_) => {}
            }
        }
        self.reschedule(index);
    }

    pub(super) fn handle_as_node(&mut self, index: usize, event: node::Event) {
        let now = self.local_time(index);
        if let node::Event::Versions(versions) = &event {
            versions
                .iter()
                .for_each(|version| self.record_committed(index, version));
        }
        let Some(node) = &mut self.processes[index].node else {
            return;
        };
        for action in node.handle(now, event) {
            match action {
                node::Action::RequestLease(request) => {
                    (0..self.voters).for_each(|voter| {
                        self.send(index, voter, InFlight::LeaseRequest(request.clone()))
                    });
                }
                node::Action::Fetch { after, from_voter } => {
                    let candidates = if from_voter {
                        self.voters
                    } else {
                        self.processes.len()
                    };
                    let to = self.random_below(candidates as u64) as usize;
                    self.send(index, to, InFlight::Fetch(after));
                }
                node::Action::StatusChanged => {}
            }
        }
        self.reschedule(index);
    }

    /// Records that a process considers a version committed, and checks that all processes agree on it.
    pub(super) fn record_committed(&mut self, index: usize, version: &Version) {
        let first = *self.committed.entry(version.number).or_insert(version.id);
        if first != version.id {
            self.log_violation = Some(format!(
                "n{index} has {} as version {}, another had {first}",
                version.id, version.number
            ));
        }
    }
}
