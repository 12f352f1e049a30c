//! Random faults and proposals.

use super::{Cluster, Disk, Fault, ms};
use rand_pcg::rand_core::RngCore;
use sillward_fleet_settings::FleetSettings;
use std::time::Duration;

impl Cluster {
    /// Injects random faults and proposals for this time, then ends all faults and runs on for a while.
    pub fn random_faults(&mut self, span: Duration, settings: impl Fn(u64) -> FleetSettings) {
        self.run(ms(2_500));
        let nodes = self.processes.len();
        let mut recoveries: Vec<(Duration, Fault)> = Vec::new();
        let mut number = 0;
        while self.now < span {
            let interval = ms(100 + self.random_below(700));
            self.run(interval);
            let now = self.now;
            let (due, pending): (Vec<_>, Vec<_>) =
                recoveries.into_iter().partition(|(at, _)| *at <= now);
            recoveries = pending;
            due.into_iter().for_each(|(_, fault)| self.fault(fault));
            let process = self.random_below(nodes as u64) as usize;
            let later = now + ms(200 + self.random_below(4_000));
            match self.random_below(9) {
                0 => {
                    self.fault(Fault::Isolate(process));
                    recoveries.push((later, Fault::Heal));
                }
                1 => {
                    let group = (0..nodes)
                        .filter(|_| self.random.next_u32() % 2 == 0)
                        .collect();
                    self.fault(Fault::Partition(group));
                    recoveries.push((later, Fault::Heal));
                }
                2 => {
                    let delay = ms(100 + self.random_below(4_000));
                    self.fault(Fault::Delay(process, delay));
                    recoveries.push((later, Fault::Heal));
                }
                3 => {
                    self.fault(Fault::Pause(process));
                    recoveries.push((later, Fault::Resume(process)));
                }
                4 => {
                    self.fault(Fault::Kill(process));
                    recoveries.push((later, Fault::Start(process)));
                }
                5 => {
                    // Voters that restart almost at once, while a node is isolated and may still hold a lease.
                    self.fault(Fault::Isolate(
                        self.voters + process % (nodes - self.voters),
                    ));
                    for voter in 0..self.voters {
                        if self.random_below(4) > 0 {
                            self.fault(Fault::Kill(voter));
                            recoveries
                                .push((now + ms(20 + self.random_below(100)), Fault::Start(voter)));
                        }
                    }
                    recoveries.push((later, Fault::Heal));
                }
                6 => self.loss_percent = self.random_below(40) as u32,
                7 => {
                    let voter = process % self.voters;
                    let disk = if self.random_below(2) == 0 {
                        Disk::Full
                    } else {
                        Disk::Slow(ms(3_000))
                    };
                    self.fault(Fault::Disk(voter, disk));
                    recoveries.push((later, Fault::Disk(voter, Disk::Healthy)));
                }
                _ => {}
            }
            let from = self.random_below(nodes as u64) as usize;
            if self.processes[from].node.is_some() {
                number += 1;
                let base = self.newest(from);
                self.propose(from, base, settings(number));
            }
        }
        self.fault(Fault::Heal);
        recoveries
            .into_iter()
            .for_each(|(_, fault)| self.fault(fault));
        (0..self.voters).for_each(|process| self.fault(Fault::Disk(process, Disk::Healthy)));
        self.fault(Fault::Heal);
        for process in 0..nodes {
            if self.processes[process].paused {
                self.fault(Fault::Resume(process));
            }
            self.fault(Fault::Start(process));
        }
        self.run(ms(10_000));
    }
}
